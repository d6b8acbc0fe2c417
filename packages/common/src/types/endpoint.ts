/**
 * Body of `POST /run` at an endpoint. Status 200 carries an {@link EndpointResponse}; status 500 means that the
 * request was run and failed; after any other status it is unknown whether it was run. Responses have a content
 * length or are chunked. `GET /health` occupies no slot; any status below 500 means that the endpoint is alive.
 */
export interface EndpointRequest {
  readonly requestId: string;
  readonly team: string;
  readonly payload: unknown;
}

/** Response of an endpoint. It repeats the request id, so that a response to another request is detected. */
export interface EndpointResponse {
  readonly requestId: string;
  readonly endpointId: string;
  readonly result: unknown;
}
