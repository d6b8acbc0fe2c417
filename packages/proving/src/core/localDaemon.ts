import { join } from 'node:path';

import { request } from 'undici';

import { startRelay } from '@chicorybend/standins';
import type { Relay } from '@chicorybend/standins';

import { reservePort } from '../utils/reservePort.js';
import { waitUntil } from '../utils/waitUntil.js';
import { createDaemonProcess, DAEMON_PROGRAM } from './daemonProcess.js';
import type { DaemonProcess } from './daemonProcess.js';

/** A daemon of a local cell, with a relay in front of its peer port and one in front of the store. */
export interface LocalDaemon extends DaemonProcess {
  readonly id: string;
  readonly dataCentre: string;
  /** The daemon's own loopback address, which it listens on and opens connections from. */
  readonly host: string;
  /** Base address of its HTTP interface. */
  readonly apiAddress: string;
  /** Relay in front of its peer port; faults can be limited to callers by their address. */
  readonly peerRelay: Relay;
  /** Relay between this daemon and the store. */
  readonly storeRelay: Relay;
  readonly outputFile: string;
  /** @returns whether `GET /health/ready` answers with status 200 */
  isReady(): Promise<boolean>;
  /** @returns whether the daemon became ready within the limit, in milliseconds */
  waitReady(limitMilliseconds: number): Promise<boolean>;
  /** Kills the process, even if it is paused, and closes the relays. */
  close(): Promise<void>;
}

/** Settings that all daemons of a cell share. */
export interface SharedDaemonSettings {
  readonly storeAddress: string;
  readonly vmListAddress: string;
  readonly peerToken: string;
  readonly operatorToken: string;
  readonly partitions: number;
  readonly outputFolder: string;
  readonly program?: string;
  /** Preferred port of the HTTP interface; a free one if it is absent or taken. */
  readonly apiPort?: number;
  /** Additional command-line flags of each daemon. */
  readonly extraArguments?: readonly string[];
}

/** Id, data centre and address of one daemon. */
export interface DaemonIdentity {
  readonly id: string;
  readonly dataCentre: string;
  readonly host: string;
}

const HEALTH_TIMEOUT_MILLISECONDS = 500;
const STATUS_OK = 200;

async function isHealthy(apiAddress: string, path: string): Promise<boolean> {
  try {
    const response = await request(`${apiAddress}${path}`, {
      signal: AbortSignal.timeout(HEALTH_TIMEOUT_MILLISECONDS),
    });
    await response.body.dump();
    return response.statusCode === STATUS_OK;
  } catch {
    return false;
  }
}

/**
 * Starts the relays of a daemon and prepares its process, which is not started yet.
 *
 * @param shared settings that are the same for all daemons of the cell
 */
export async function createLocalDaemon(
  identity: DaemonIdentity,
  shared: SharedDaemonSettings,
): Promise<LocalDaemon> {
  const { id, dataCentre, host } = identity;
  // Reserved until the relays listen, so that no relay is bound to one of the daemon's ports.
  const api = await reservePort(host, shared.apiPort);
  const peer = await reservePort(host);
  const store = new URL(shared.storeAddress);
  const peerRelay = await startRelay({ host, targetHost: host, targetPort: peer.port });
  const storeRelay = await startRelay({
    host,
    targetHost: store.hostname,
    targetPort: Number(store.port),
  });
  await Promise.all([api.release(), peer.release()]);
  const apiAddress = `http://${host}:${api.port}`;
  const flags = {
    id,
    'data-centre': dataCentre,
    host,
    'api-port': api.port,
    'peer-port': peer.port,
    'api-advertise': apiAddress,
    'peer-advertise': `${host}:${peerRelay.port}`,
    'store-address': `http://${host}:${storeRelay.port}`,
    'vm-list-address': shared.vmListAddress,
    'peer-token': shared.peerToken,
    'operator-token': shared.operatorToken,
    partitions: shared.partitions,
  };
  const outputFile = join(shared.outputFolder, `${id}.log`);
  const daemonProcess = createDaemonProcess(
    shared.program ?? DAEMON_PROGRAM,
    [
      ...Object.entries(flags).flatMap(([flag, value]) => [`--${flag}`, String(value)]),
      ...(shared.extraArguments ?? []),
    ],
    outputFile,
  );
  const isReady = (): Promise<boolean> => isHealthy(apiAddress, '/health/ready');

  return {
    ...daemonProcess,
    id,
    dataCentre,
    host,
    apiAddress,
    peerRelay,
    storeRelay,
    outputFile,
    isReady,
    waitReady: (limitMilliseconds) => waitUntil(isReady, limitMilliseconds),
    async close() {
      daemonProcess.resume();
      await daemonProcess.kill();
      await Promise.all([peerRelay.close(), storeRelay.close()]);
    },
  };
}
