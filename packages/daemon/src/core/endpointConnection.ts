import { Client } from 'undici';
import type { Dispatcher } from 'undici';

import type { Clock } from '@chicorybend/common';

/** What a connection to an endpoint needs. */
export interface EndpointConnectionOptions {
  readonly clock: Clock;
  /** Base address of the endpoint. */
  readonly address: string;
  /** Local IP address to call from. */
  readonly localAddress: string;
}

/** A call on a connection. */
export interface ConnectionCall {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body: string | null;
  /** Asked in the same turn in which the first byte is written; false keeps the call from being sent. */
  readonly confirmSend: () => boolean;
}

/** How a call on a connection ended. */
export type ConnectionOutcome =
  /** A whole answer. */
  | { readonly kind: 'answered'; readonly status: number; readonly body: string }
  /** Certainly no byte was sent. */
  | { readonly kind: 'not-sent'; readonly reason: string; readonly isWithdrawn: boolean }
  /** Sent at least in part, without a whole answer. */
  | { readonly kind: 'lost'; readonly reason: string };

/** One connection to an endpoint, with at most one call at a time. */
export interface EndpointConnection {
  call(call: ConnectionCall): Promise<ConnectionOutcome>;
  /** @returns whether another call may follow on this connection */
  isReusable(): boolean;
  /** Closes the connection; a call in flight is lost. */
  destroy(reason: string): void;
}

const CONNECT_TIMEOUT_MILLISECONDS = 1_000;

/**
 * Idle time after which a connection is replaced instead of reused, in milliseconds. A connection that went
 * silent while idle then costs no request, because a new one has to be answered first.
 */
const IDLE_REUSE_MILLISECONDS = 1_000;

const MAXIMUM_ANSWER_BYTES = 8_388_608;
const FIRST_FINAL_STATUS = 200;

function hasLength(headers: Readonly<Record<string, string | string[] | undefined>>): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}

/** The client catches what is thrown here, but a broken invariant has to stop the process. */
function confirmSendOrCrash(confirmSend: () => boolean): boolean {
  try {
    return confirmSend();
  } catch (error) {
    queueMicrotask(() => {
      throw error;
    });
    return false;
  }
}

/** Collects one answer; the transport reports a body that differs from its content length as an error. */
function createResponseHandler(
  confirmSend: () => boolean,
  settle: (outcome: ConnectionOutcome) => void,
): Dispatcher.DispatchHandler {
  let isSent = false;
  let isWithdrawn = false;
  let status = 0;
  const chunks: Buffer[] = [];
  return {
    onRequestStart(controller) {
      isWithdrawn = !confirmSendOrCrash(confirmSend);
      if (isWithdrawn) controller.abort(new Error('withdrawn before it was sent'));
      else isSent = true;
    },
    onResponseStart(controller, statusCode, headers) {
      if (statusCode < FIRST_FINAL_STATUS) return;
      status = statusCode;
      // Without a length, an answer that was cut off looks like a whole one.
      if (!hasLength(headers)) controller.abort(new Error('answer without a length'));
    },
    onResponseData(_controller, chunk) {
      chunks.push(chunk);
    },
    onResponseEnd() {
      settle({ kind: 'answered', status, body: Buffer.concat(chunks).toString('utf8') });
    },
    onResponseError(_controller, error) {
      const reason = error.message || error.name;
      settle(isSent ? { kind: 'lost', reason } : { kind: 'not-sent', reason, isWithdrawn });
    },
  };
}

/**
 * Creates a connection to an endpoint; it opens with its first call.
 *
 * @param options address and clock
 * @returns the connection
 */
export function createEndpointConnection(options: EndpointConnectionOptions): EndpointConnection {
  const { clock } = options;
  const client = new Client(options.address, {
    pipelining: 1,
    localAddress: options.localAddress,
    connect: { timeout: CONNECT_TIMEOUT_MILLISECONDS },
    keepAliveTimeout: IDLE_REUSE_MILLISECONDS,
    keepAliveMaxTimeout: IDLE_REUSE_MILLISECONDS,
    // Deadlines of calls are kept by the endpoint pool.
    headersTimeout: 0,
    bodyTimeout: 0,
    maxResponseSize: MAXIMUM_ANSWER_BYTES,
  });
  let isBusy = false;
  let isBroken = false;
  let answeredAt: number | null = null;

  function completeCall(outcome: ConnectionOutcome): ConnectionOutcome {
    isBusy = false;
    if (outcome.kind === 'answered') answeredAt = clock.monotonicMilliseconds();
    else isBroken = true;
    return outcome;
  }

  function destroy(reason: string): void {
    isBroken = true;
    client.destroy(new Error(reason)).catch(() => undefined);
  }

  return {
    destroy,
    call(call) {
      isBusy = true;
      return new Promise((resolve) => {
        const handler = createResponseHandler(call.confirmSend, (outcome) =>
          resolve(completeCall(outcome)),
        );
        client.dispatch(
          {
            method: call.method,
            path: call.path,
            body: call.body,
            headers: call.body === null ? {} : { 'content-type': 'application/json' },
          },
          handler,
        );
      });
    },
    isReusable() {
      if (isBusy || isBroken || answeredAt === null) return false;
      return clock.monotonicMilliseconds() - answeredAt < IDLE_REUSE_MILLISECONDS;
    },
  };
}
