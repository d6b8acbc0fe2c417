import { createServer } from 'node:net';

import { listenOnStablePort } from '@chicorybend/standins';

/** A port that nothing else takes until it is released. */
export interface PortReservation {
  readonly port: number;
  /** Frees the port for the process that is to listen on it. */
  release(): Promise<void>;
}

/**
 * Takes a port that a process can be started on, also again after a kill.
 *
 * @param host loopback address
 * @param preferred port to take if nothing listens on it; 0 for any
 * @returns reservation
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
