/** Body of `POST /v1/requests`. */
export interface InteractiveRequest {
  readonly queue: string;
  /** Whether the request may be run again after an execution with an unknown outcome. */
  readonly idempotent: boolean;
  /** How long the caller waits for the response, in milliseconds. */
  readonly deadlineMilliseconds: number;
  /** Opaque to the scheduler. */
  readonly payload: unknown;
}

/** Response of `POST /v1/requests`. */
export interface InteractiveResponse {
  readonly requestId: string;
  readonly endpointId: string;
  readonly result: unknown;
}
