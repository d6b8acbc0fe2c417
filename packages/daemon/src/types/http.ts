import type { Failure, Result } from '@chicorybend/common';
import type { z } from 'zod';

/**
 * Reads a header of a call.
 *
 * @param name name of a header, in lower case
 * @returns value of the header, or null if it is absent
 */
export type ReadHeader = (name: string) => string | null;

/** One call of an HTTP route, with validated body and query. */
export interface HttpCall<Body, Query> {
  readonly body: Body;
  readonly query: Query;
  /** Values of the variable path segments by name. */
  readonly params: Readonly<Record<string, string>>;
  readonly header: ReadHeader;
}

/** A successful response. */
export interface HttpReply {
  readonly status: number;
  readonly body: unknown;
}

/** A route of the HTTP interface. */
export interface HttpRoute<Body = undefined, Query = undefined> {
  readonly method: 'GET' | 'POST' | 'DELETE';
  /** Path with `:name` for its variable segments. */
  readonly path: string;
  /** Schema of the JSON body; absent if the route takes no body. */
  readonly bodySchema?: z.ZodType<Body>;
  /** Schema of the query; absent if the route takes no query. */
  readonly querySchema?: z.ZodType<Query>;
  /** Largest body in bytes; `BODY_LIMIT_BYTES` by default. */
  readonly bodyLimitBytes?: number;
  /** Authenticates the caller before the body is read, so that only authenticated callers can send large bodies. */
  authorize?(header: ReadHeader): Result<unknown, Failure>;
  handle(call: HttpCall<Body, Query>): Promise<Result<HttpReply, Failure>>;
}

/** Registers the routes of the interfaces for callers and operators. */
export interface HttpRouteRegistry {
  register<Body, Query>(route: HttpRoute<Body, Query>): void;
}
