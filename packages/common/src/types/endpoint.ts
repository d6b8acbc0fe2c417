/**
 * `POST /run` at an endpoint. Status 200 carries an {@link EndpointResponse} and status 500 means that the
 * request was run and failed; the outcome of any other status is unknown. Answers have a content length or
 * are chunked. `GET /health` is answered without a slot; any status below 500 means that the endpoint is alive.
 */
export interface EndpointRequest {
  readonly requestId: string;
  readonly team: string;
  readonly payload: unknown;
}

/** Answer of an endpoint. The request's identity comes back, so that a crossed answer is noticed. */
export interface EndpointResponse {
  readonly requestId: string;
  readonly endpointId: string;
  readonly result: unknown;
}
