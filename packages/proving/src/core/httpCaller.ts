import { Agent } from 'undici';

import type { Failure } from '@chicorybend/common';

import type { CallOutcome } from '../types/observation.js';

/** One HTTP call. */
export interface HttpCall {
  readonly method: 'GET' | 'POST' | 'DELETE';
  /** Base address of the daemon. */
  readonly address: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: unknown;
  /** Time-out until the complete response has arrived, in milliseconds. */
  readonly timeoutMilliseconds: number;
}

/** HTTP client that classifies each call as answered, failed or lost; it does not throw. */
export interface HttpCaller {
  call<Value>(call: HttpCall): Promise<CallOutcome<Value>>;
  close(): Promise<void>;
}

const FIRST_FAILURE_STATUS = 400;
const CONNECT_TIMEOUT_MILLISECONDS = 1_000;

function toFailed(status: number, body: Partial<Failure>): CallOutcome<never> {
  if (body.run === undefined || body.code === undefined) {
    return { kind: 'lost', reason: `status ${status} without a valid failure body` };
  }
  const { run, code, message = '', retryAfterMilliseconds } = body;
  return {
    kind: 'failed',
    status,
    run,
    code,
    message,
    ...(retryAfterMilliseconds === undefined ? {} : { retryAfterMilliseconds }),
  };
}

function describeError(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  return 'code' in error ? `${String(error.code)}: ${error.message}` : error.message;
}

/** Creates a caller with its own connection pool. */
export function createHttpCaller(): HttpCaller {
  const agent = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MILLISECONDS } });
  return {
    async call<Value>(call: HttpCall): Promise<CallOutcome<Value>> {
      const hasBody = call.body !== undefined;
      try {
        const response = await agent.request({
          origin: call.address,
          path: call.path,
          method: call.method,
          headers: {
            ...(hasBody ? { 'content-type': 'application/json' } : {}),
            ...call.headers,
          },
          body: hasBody ? JSON.stringify(call.body) : null,
          signal: AbortSignal.timeout(call.timeoutMilliseconds),
        });
        const body: unknown = await response.body.json();
        return response.statusCode < FIRST_FAILURE_STATUS
          ? { kind: 'answered', value: body as Value }
          : toFailed(response.statusCode, body as Partial<Failure>);
      } catch (error) {
        return { kind: 'lost', reason: describeError(error) };
      }
    },
    close: () => agent.destroy(),
  };
}
