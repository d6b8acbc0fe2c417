import fastify from 'fastify';
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import type { z } from 'zod';

import { createFailure, Err, InvariantError, Ok } from '@chicorybend/common';
import type { Counters, Failure, Log, Result } from '@chicorybend/common';

import type { HttpReply, HttpRoute, HttpRouteRegistry, ReadHeader } from '../types/http.js';
import {
  BODY_LIMIT_BYTES,
  classifyHttpError,
  describeIssues,
  FailureError,
} from '../utils/httpFailures.js';
import { isDeeperThan, MAXIMUM_JSON_DEPTH } from '../utils/jsonDepth.js';

export interface HttpServerOptions {
  readonly host: string;
  /** Port; 0 selects a free one. */
  readonly port: number;
  readonly log: Log;
  readonly counters: Counters;
  /** Result of `/health/ready`, with which the load balancer decides whether to send calls to this daemon. */
  readonly readiness: () => Result<void, Failure>;
}

/** The HTTP interface of the daemon. */
export interface HttpServer extends HttpRouteRegistry {
  readonly instance: FastifyInstance;
  /** @returns base address, for example `http://127.0.0.1:4000` */
  listen(): Promise<string>;
  /** Adds `connection: close` to all responses from now on, so that clients end their connections before a stop. */
  closeConnectionsAfterAnswers(): void;
  /** Stops listening and waits for the calls in flight. */
  close(): Promise<void>;
}

const MILLISECONDS_PER_SECOND = 1_000;
/** Time limit for receiving a whole call; slower clients would occupy connections. */
const RECEIVE_TIMEOUT_MILLISECONDS = 30_000;

const STATUS_OK = 200;
const STATUS_SERVER_ERROR = 500;
const RAW_ERROR_RESPONSE_HEAD =
  'HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-type: application/json\r\n';

function encodeFailure(failure: Failure): object {
  const { status, ...body } = failure;
  return body;
}

/**
 * Stops the process after a broken invariant. The error is thrown outside of the promise chain, which would
 * otherwise turn it into a failed call.
 */
function stopProcess(error: InvariantError): void {
  queueMicrotask(() => {
    throw error;
  });
}

function parseWithSchema<Output>(
  schema: z.ZodType<Output> | undefined,
  value: unknown,
): Result<Output, Failure> {
  if (!schema) return Ok(undefined as Output);
  const checked = schema.safeParse(value, { reportInput: true });
  if (checked.success) return Ok(checked.data);
  return Err(createFailure('invalid-body', {}, { details: describeIssues(checked.error) }));
}

function createHeaderReader(request: FastifyRequest): ReadHeader {
  return (name) => {
    const value = request.headers[name];
    return (Array.isArray(value) ? value[0] : value) ?? null;
  };
}

function pathOf(request: FastifyRequest): string {
  return request.url.split('?')[0] ?? request.url;
}

/**
 * Replaces the body parser. An empty body counts as absent, so that the schema names the missing fields, and a limit
 * of the nesting depth applies.
 */
function addJsonParser(instance: FastifyInstance): void {
  const parse = instance.getDefaultJsonParser('error', 'error');
  instance.removeAllContentTypeParsers();
  instance.addContentTypeParser<string>(
    'application/json',
    { parseAs: 'string' },
    (request, text, done) => {
      if (text === '') {
        done(null, undefined);
        return;
      }
      if (isDeeperThan(text, MAXIMUM_JSON_DEPTH)) {
        const reason = `it nests deeper than ${MAXIMUM_JSON_DEPTH} levels`;
        done(new FailureError(createFailure('malformed-json', { reason })));
        return;
      }
      parse(request, text, done);
    },
  );
}

async function runRoute<Body, Query>(
  route: HttpRoute<Body, Query>,
  request: FastifyRequest,
): Promise<Result<HttpReply, Failure>> {
  const body = parseWithSchema(route.bodySchema, request.body);
  if (body.isErr()) return body;
  const query = parseWithSchema(route.querySchema, request.query);
  if (query.isErr()) return query;
  return route.handle({
    body: body.value,
    query: query.value,
    params: request.params as Record<string, string>,
    header: createHeaderReader(request),
  });
}

/**
 * Creates the HTTP server of the daemon. All failures, also those of the HTTP framework, are sent as the same
 * failure body.
 *
 * @returns the server; it listens after `listen`, which rejects if the address is not available
 */
export function createHttpServer(options: HttpServerOptions): HttpServer {
  const { log, counters } = options;
  let isClosing = false;

  function sendFailure(reply: FastifyReply, failure: Failure): FastifyReply {
    counters.increment('http.failures', 1, { code: failure.code });
    if (failure.retryAfterMilliseconds !== undefined) {
      const seconds = Math.ceil(failure.retryAfterMilliseconds / MILLISECONDS_PER_SECOND);
      reply.header('retry-after', String(seconds));
    }
    return reply.status(failure.status).send(encodeFailure(failure));
  }

  function sendError(error: unknown, request: FastifyRequest, reply: FastifyReply): FastifyReply {
    if (error instanceof InvariantError) stopProcess(error);
    const failure = classifyHttpError(error, {
      method: request.method,
      path: pathOf(request),
      bodyLimitBytes: request.routeOptions?.bodyLimit ?? BODY_LIMIT_BYTES,
    });
    if (failure.status >= STATUS_SERVER_ERROR) log.error('HTTP call failed unexpectedly', error);
    return sendFailure(reply, failure);
  }

  const instance = fastify({
    bodyLimit: BODY_LIMIT_BYTES,
    requestTimeout: RECEIVE_TIMEOUT_MILLISECONDS,
    forceCloseConnections: 'idle',
    // The 503 response of the framework while closing does not have the failure body of this interface.
    return503OnClosing: false,
    frameworkErrors: sendError,
    clientErrorHandler(error, socket) {
      counters.increment('http.failures', 1, { code: 'malformed-http' });
      if (!socket.writable) return;
      const failure = createFailure('invalid-header', { header: 'line', reason: error.message });
      const body = JSON.stringify(encodeFailure(failure));
      const length = Buffer.byteLength(body);
      socket.end(`${RAW_ERROR_RESPONSE_HEAD}content-length: ${length}\r\n\r\n${body}`);
    },
  });
  addJsonParser(instance);
  instance.setErrorHandler((error, request, reply) => sendError(error, request, reply));
  instance.setNotFoundHandler((request, reply) =>
    sendFailure(
      reply,
      createFailure('unknown-route', { method: request.method, path: pathOf(request) }),
    ),
  );
  instance.addHook('onSend', async (_request, reply) => {
    if (isClosing) reply.header('connection', 'close');
  });

  function register<Body, Query>(route: HttpRoute<Body, Query>): void {
    instance.route({
      method: route.method,
      url: route.path,
      bodyLimit: route.bodyLimitBytes ?? BODY_LIMIT_BYTES,
      async onRequest(request, reply) {
        const authorization = route.authorize?.(createHeaderReader(request));
        if (authorization?.isErr()) await sendFailure(reply, authorization.error);
      },
      async handler(request, reply) {
        const outcome = await runRoute(route, request);
        if (outcome.isErr()) return sendFailure(reply, outcome.error);
        return reply.status(outcome.value.status).send(outcome.value.body);
      },
    });
  }

  register({
    method: 'GET',
    path: '/health/live',
    handle: async () => Ok({ status: STATUS_OK, body: { live: true } }),
  });
  register({
    method: 'GET',
    path: '/health/ready',
    handle: async () =>
      options.readiness().map(() => ({ status: STATUS_OK, body: { ready: true } })),
  });

  return {
    instance,
    register,
    listen: () => instance.listen({ host: options.host, port: options.port }),
    closeConnectionsAfterAnswers() {
      isClosing = true;
    },
    close: () => instance.close(),
  };
}
