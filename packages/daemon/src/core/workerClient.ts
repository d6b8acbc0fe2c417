/**
 * Calls to workers over HTTP. A call that gave no whole answer is told apart from one that was not sent.
 */
import { Err, Ok } from '@chicorybend/common';
import type {
  RenewRequest,
  RenewResponse,
  Result,
  SealRequest,
  SealResponse,
  StartRequest,
  StartResponse,
  TaskCommand,
  TaskCommandResponse,
  WorkerRefusal,
} from '@chicorybend/common';
import { Agent, request } from 'undici';

/** Why a call to a worker gave no answer to use. */
export type WorkerCallError =
  /** Certainly not received. */
  | { readonly kind: 'not-sent'; readonly reason: string }
  /** Possibly received and processed. */
  | { readonly kind: 'lost'; readonly reason: string }
  /** Refused before any effect. */
  | { readonly kind: 'refused'; readonly refusal: WorkerRefusal };

/** Ways to change how a running task goes on. */
export type TaskCommandMode = 'stop' | 'checkpoint' | 'throttle';

/** Answer of a call to a worker. */
export type WorkerCallResult<Response> = Promise<Result<Response, WorkerCallError>>;

/** Calls to workers. */
export interface WorkerClient {
  seal(address: string, body: SealRequest): WorkerCallResult<SealResponse>;
  start(address: string, body: StartRequest): WorkerCallResult<StartResponse>;
  renew(address: string, body: RenewRequest): WorkerCallResult<RenewResponse>;
  command(
    address: string,
    mode: TaskCommandMode,
    body: TaskCommand,
  ): WorkerCallResult<TaskCommandResponse>;
  close(): Promise<void>;
}

const HTTP_OK = 200;
const HTTP_CONFLICT = 409;
/** Errors raised before a byte of the request was sent. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

function toCallError(error: unknown): WorkerCallError {
  const { code, message } = error as { code?: unknown; message?: string };
  // An aborted call has a number as its code.
  const reason = typeof code === 'string' ? code : (message ?? String(error));
  return { kind: NOT_SENT_CODES.has(reason) ? 'not-sent' : 'lost', reason: reason };
}

/**
 * Creates the client. Each call opens its own connection if none is idle, so that a connection that went
 * silent holds up only the call that used it.
 *
 * @param timeoutMilliseconds time for a whole call, in milliseconds
 * @returns the client
 */
export function createWorkerClient(timeoutMilliseconds: number): WorkerClient {
  const agent = new Agent({
    connect: { timeout: timeoutMilliseconds },
    pipelining: 1,
    keepAliveTimeout: 4 * timeoutMilliseconds,
  });

  async function call<Response>(
    address: string,
    path: string,
    body: object,
  ): WorkerCallResult<Response> {
    try {
      const response = await request(`${address}/${path}`, {
        method: 'POST',
        dispatcher: agent,
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(body),
        signal: AbortSignal.timeout(timeoutMilliseconds),
      });
      const responseBody: unknown = await response.body.json();
      if (response.statusCode === HTTP_OK) return Ok(responseBody as Response);
      if (response.statusCode === HTTP_CONFLICT) {
        return Err({ kind: 'refused', refusal: responseBody as WorkerRefusal });
      }
      return Err({ kind: 'lost', reason: `status ${response.statusCode}` });
    } catch (error) {
      return Err(toCallError(error));
    }
  }

  return {
    seal: (address, body) => call(address, 'seal', body),
    start: (address, body) => call(address, 'start', body),
    renew: (address, body) => call(address, 'renew', body),
    command: (address, mode, body) => call(address, mode, body),
    close: () => agent.destroy(),
  };
}
