import type { Failure, Result } from '@chicorybend/common';
import type { z } from 'zod';

/** One call of an HTTP route, with its body and query checked. */
export interface HttpCall<Body, Query> {
  readonly body: Body;
  readonly query: Query;
  /** Parts of the path, by name. */
  readonly params: Readonly<Record<string, string>>;
  /**
   * @param name name of a header, in lower case
   * @returns value of the header, or null if it is absent
   */
  header(name: string): string | null;
}

/** A successful answer. */
export interface HttpReply {
  readonly status: number;
  readonly body: unknown;
}

/** A route of the HTTP interface. */
export interface HttpRoute<Body = undefined, Query = undefined> {
  readonly method: 'GET' | 'POST' | 'DELETE';
  /** Path with `:name` for its variable parts. */
  readonly path: string;
  /** Schema of the JSON body; absent if the route takes no body. */
  readonly bodySchema?: z.ZodType<Body>;
  /** Schema of the query; absent if the route takes no query. */
  readonly querySchema?: z.ZodType<Query>;
  handle(call: HttpCall<Body, Query>): Promise<Result<HttpReply, Failure>>;
}

/** Takes the routes of the interfaces for callers and operators. */
export interface HttpRoutes {
  register<Body, Query>(route: HttpRoute<Body, Query>): void;
}
