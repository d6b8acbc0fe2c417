/** `POST /run` at an endpoint. */
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
