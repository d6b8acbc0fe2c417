import { createHash, timingSafeEqual } from 'node:crypto';
import { createServer } from 'node:http';
import type { IncomingMessage } from 'node:http';
import type { AddressInfo } from 'node:net';

import { createFailure, Err } from '@chicorybend/common';
import type { Failure, Log, Result } from '@chicorybend/common';
import { JSONRPCErrorException, JSONRPCServer } from 'json-rpc-2.0';
import type { JSONRPCRequest } from 'json-rpc-2.0';
import { WebSocketServer } from 'ws';
import type { WebSocket } from 'ws';

import type { PeerCallContext } from '../types/peer.js';

/** JSON-RPC error code of a failure that a handler returned. */
export const FAILURE_RPC_CODE = -32_000;
const MAXIMUM_MESSAGE_BYTES = 8 * 1_048_576;

/** JSON-RPC parameters of a call: the remaining time of the caller and the parameters of the method. */
export interface WireParams {
  readonly remainingMilliseconds: number;
  readonly body: unknown;
}

/** Handler of a call without the parameter type of its method. */
export type UntypedHandler = (
  body: unknown,
  context: PeerCallContext,
) => Promise<Result<unknown, Failure>>;

export interface PeerServerOptions {
  readonly host: string;
  readonly port: number;
  readonly token: string;
  readonly log: Log;
  readonly handlers: ReadonlyMap<string, UntypedHandler>;
}

/** A listening server for calls of other daemons. */
export interface PeerServer {
  readonly port: number;
  close(): Promise<void>;
}

function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}

/**
 * Starts the server for calls of other daemons. Handlers that are added to `options.handlers` later are used too.
 *
 * @returns the listening server
 * @throws if the address is not available
 */
export async function startPeerServer(options: PeerServerOptions): Promise<PeerServer> {
  const { token, log, handlers } = options;
  const expected = digest(`Bearer ${token}`);
  const rpc = new JSONRPCServer<PeerCallContext>({
    errorListener: (message, data) => log.error('peer call failed', { message, data }),
  });

  async function dispatch(
    method: string,
    params: WireParams,
    context: PeerCallContext,
  ): Promise<unknown> {
    const handler = handlers.get(method);
    const result: Result<unknown, Failure> = handler
      ? await handler(params.body, {
          ...context,
          remainingMilliseconds: params.remainingMilliseconds,
        })
      : Err(createFailure('not-ready'));
    if (result.isOk()) return result.value;
    const failure = result.error;
    throw new JSONRPCErrorException(failure.message, FAILURE_RPC_CODE, failure);
  }

  async function handleRequest(
    socket: WebSocket,
    request: JSONRPCRequest,
    from: string,
  ): Promise<void> {
    if (!rpc.hasMethod(request.method)) {
      rpc.addMethod(request.method, (params, context) =>
        dispatch(request.method, params as WireParams, context),
      );
    }
    const response = await rpc.receive(request, { from, remainingMilliseconds: 0 });
    if (response && socket.readyState === socket.OPEN) socket.send(JSON.stringify(response));
  }

  function isAuthorized(request: IncomingMessage): boolean {
    return timingSafeEqual(digest(request.headers.authorization ?? ''), expected);
  }

  const httpServer = createServer((_, response) => {
    response.writeHead(426).end();
  });
  const socketServer = new WebSocketServer({
    server: httpServer,
    maxPayload: MAXIMUM_MESSAGE_BYTES,
    perMessageDeflate: false,
    verifyClient: (info: { req: IncomingMessage }) => isAuthorized(info.req),
  });
  socketServer.on('connection', (socket, request) => {
    const from = String(request.headers['x-daemon-id'] ?? '');
    socket.on('error', () => socket.terminate());
    socket.on('message', (data: Buffer) => {
      void handleRequest(socket, JSON.parse(data.toString()) as JSONRPCRequest, from);
    });
  });
  await new Promise<void>((resolve, reject) => {
    httpServer.once('error', reject);
    httpServer.listen(options.port, options.host, resolve);
  });
  return {
    port: (httpServer.address() as AddressInfo).port,
    async close() {
      socketServer.clients.forEach((socket) => socket.terminate());
      await new Promise((resolve) => {
        httpServer.close(resolve);
      });
    },
  };
}
