import { Client } from 'undici';
import type { Dispatcher } from 'undici';

import type { Clock } from '@chicorybend/common';

export interface EndpointConnectionOptions {
  readonly clock: Clock;
  /** Base URL of the endpoint. */
  readonly address: string;
  /** Local IP address to call from. */
  readonly localAddress: string;
}

/** A call on a connection. */
export interface ConnectionCall {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body: string | null;
  /** Called in the same turn in which the first byte is written; false withdraws the call. */
  readonly confirmSend: () => boolean;
}

/** How a call on a connection ended. */
export type ConnectionOutcome =
  /** A complete HTTP response. */
  | { readonly kind: 'answered'; readonly status: number; readonly body: string }
  /** Certainly no byte was sent; `isWithdrawn` if `confirmSend` returned false. */
  | { readonly kind: 'not-sent'; readonly reason: string; readonly isWithdrawn: boolean }
  /** Sent at least in part, without a complete response. */
  | { readonly kind: 'lost'; readonly reason: string };

/** One connection to an endpoint, with at most one call at a time. */
export interface EndpointConnection {
  call(call: ConnectionCall): Promise<ConnectionOutcome>;
  /** @returns whether another call may follow on this connection */
  isReusable(): boolean;
  /** Closes the connection; a call in flight ends as lost, or as not sent if none of it was written. */
  destroy(reason: string): void;
}

const CONNECT_TIMEOUT_MILLISECONDS = 1_000;

/**
 * Idle time after which a connection is replaced instead of reused, in milliseconds. A connection may die
 * unnoticed while idle; the next request would be lost on it. On a new connection, a request is sent only after the
 * endpoint has accepted the connection.
 */
const IDLE_REUSE_MILLISECONDS = 1_000;

const MAXIMUM_ANSWER_BYTES = 8_388_608;
const FIRST_FINAL_STATUS = 200;

function hasLength(headers: Readonly<Record<string, string | string[] | undefined>>): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}

/** Rethrows outside the HTTP client, which would catch the error; a broken invariant has to stop the process. */
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

/** Collects one response; the HTTP client reports a body that differs from its content length as an error. */
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
      // Without a length, a truncated response looks like a complete one.
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

/** Creates a connection to an endpoint; it is opened by its first call. */
export function createEndpointConnection(options: EndpointConnectionOptions): EndpointConnection {
  const { clock } = options;
  const client = new Client(options.address, {
    pipelining: 1,
    localAddress: options.localAddress,
    connect: { timeout: CONNECT_TIMEOUT_MILLISECONDS },
    keepAliveTimeout: IDLE_REUSE_MILLISECONDS,
    keepAliveMaxTimeout: IDLE_REUSE_MILLISECONDS,
    // The endpoint enforces the deadlines of calls.
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
