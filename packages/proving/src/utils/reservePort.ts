import { createServer } from 'node:net';

import { listenOnStablePort } from '@chicorybend/standins';

/** A port that no other process can bind until it is released. */
export interface PortReservation {
  readonly port: number;
  /** Frees the port for the process that is to listen on it. */
  release(): Promise<void>;
}

/**
 * Reserves a port for a process that may be killed and restarted on it.
 *
 * @param host loopback address
 * @param preferred port to reserve if it is free; another one is reserved if it is taken; 0 for any
 */
export async function reservePort(host: string, preferred = 0): Promise<PortReservation> {
  const server = createServer();
  const port = await listenOnStablePort(server, { host, port: preferred }).catch(
    (error: unknown) => {
      if (preferred === 0) throw error;
      return listenOnStablePort(server, { host });
    },
  );
  return {
    port,
    release: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
      }),
  };
}
