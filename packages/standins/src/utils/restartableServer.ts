import type { AddressInfo, Server, Socket } from 'node:net';

import fastify from 'fastify';
import type { FastifyInstance } from 'fastify';

/** An HTTP server that can go down and come back on the same port. */
export interface RestartableServer {
  readonly app: FastifyInstance;
  /** Base address; stays the same over restarts. */
  readonly address: string;
  readonly port: number;
  /** @returns open connections */
  sockets(): ReadonlySet<Socket>;
  /** Stops listening and breaks all connections. */
  stop(): Promise<void>;
  /** Listens again on the same port. */
  restart(): Promise<void>;
}

/** Where a server listens. */
export interface ListenAddress {
  readonly host?: string;
  /** 0 takes a free port. */
  readonly port?: number;
}

// Below the range of ephemeral ports, so that no outgoing connection takes the port while the server is down.
const FIRST_PORT = 10_000;
const PORT_COUNT = 20_000;
const LISTEN_ATTEMPTS = 50;

function listenOnce(server: Server, host: string, port: number): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({ host, port }, () => {
      server.off('error', reject);
      resolve();
    });
  });
}

function isPortTaken(error: unknown): boolean {
  return error instanceof Error && 'code' in error && error.code === 'EADDRINUSE';
}

/**
 * Listens on a free port outside the range of ephemeral ports.
 *
 * @param server server to listen with
 * @param listenAddress address, and port if it is fixed
 * @returns the port
 */
export async function listenOnStablePort(
  server: Server,
  listenAddress: ListenAddress,
): Promise<number> {
  const { host = '127.0.0.1', port = 0 } = listenAddress;
  for (let attempt = 1; ; attempt += 1) {
    const candidate = port || FIRST_PORT + Math.floor(Math.random() * PORT_COUNT);
    try {
      await listenOnce(server, host, candidate);
      return (server.address() as AddressInfo).port;
    } catch (error) {
      if (!isPortTaken(error) || port || attempt >= LISTEN_ATTEMPTS) throw error;
    }
  }
}

/**
 * Starts an HTTP server.
 *
 * @param listenAddress where to listen
 * @param addRoutes adds hooks and routes before the server starts
 * @returns the running server
 */
export async function startRestartableServer(
  listenAddress: ListenAddress,
  addRoutes: (app: FastifyInstance) => void,
): Promise<RestartableServer> {
  const host = listenAddress.host ?? '127.0.0.1';
  const app = fastify({ bodyLimit: 16 * 1_048_576, keepAliveTimeout: 0 });
  const openSockets = new Set<Socket>();
  app.server.on('connection', (socket: Socket) => {
    openSockets.add(socket);
    socket.once('close', () => openSockets.delete(socket));
  });
  addRoutes(app);
  await app.ready();
  const port = await listenOnStablePort(app.server, listenAddress);

  return {
    app,
    port,
    address: `http://${host}:${port}`,
    sockets: () => openSockets,
    stop() {
      const closed = new Promise<void>((resolve) => {
        app.server.close(() => resolve());
      });
      openSockets.forEach((socket) => socket.destroy());
      return closed;
    },
    restart: () => listenOnce(app.server, host, port),
  };
}
