import { randomUUID } from 'node:crypto';

import {
  createFailure,
  createLocalCounters,
  createLog,
  createStoreClient,
  createSystemClock,
  Err,
  Ok,
} from '@chicorybend/common';
import type { Counters, Failure, Result } from '@chicorybend/common';

import type { DaemonView, HeartbeatLoads } from '../types/peerMethods.js';
import type { Settings } from '../types/settings.js';
import { registerCallerApi } from './callerApi.js';
import { readOrCreateCell } from './cellSettings.js';
import { createConfigurationService } from './configurationService.js';
import { createDaemonLife } from './daemonLife.js';
import { createDaemonServices } from './daemonServices.js';
import { createDaemonStop } from './daemonStop.js';
import type { StopOutcome } from './daemonStop.js';
import { createHttpServer } from './httpServer.js';
import { createMembership } from './membership.js';
import type { HeartbeatFacts } from './membership.js';
import { registerOperatorApi } from './operatorApi.js';
import { createOwnership } from './ownership.js';
import { createPeerLink } from './peerLink.js';
import { createVmDirectory } from './vmDirectory.js';

const NO_FACTS: HeartbeatFacts = {
  configurationRevision: 0,
  freshnessAgeMilliseconds: Number.MAX_SAFE_INTEGER,
  isDraining: false,
};
const NO_LOADS: HeartbeatLoads = { owned: [], loads: [] };

/** A running daemon. */
export interface Daemon {
  /** Base address of the HTTP interface. */
  readonly apiAddress: string;
  /**
   * Drains and stops. A second call shortens the drain deadline.
   *
   * @returns how the stop ended
   */
  stop(): Promise<StopOutcome>;
}

/** Optional parts of a daemon. */
export interface DaemonOptions {
  /** Further sinks of metrics. */
  readonly counterSinks?: readonly Counters[];
  /** Called when another process asks this daemon to drain. */
  readonly onDrainRequested?: () => void;
}

/**
 * Starts a daemon: joins the cell, then claims partitions and serves.
 *
 * @param settings checked settings
 * @param options optional parts
 * @returns the running daemon
 * @throws if an address cannot be listened on
 */
export async function startDaemon(settings: Settings, options: DaemonOptions): Promise<Daemon> {
  const clock = createSystemClock();
  const log = createLog(settings.id, settings.logLevel);
  const counters = createLocalCounters(options.counterSinks);
  const incarnation = randomUUID();
  const life = createDaemonLife(log);
  const store = createStoreClient({ address: settings.storeAddress, clock });
  const vms = createVmDirectory({
    address: settings.vmListAddress,
    selfId: settings.id,
    clock,
    counters,
  });
  const link = createPeerLink({
    selfId: settings.id,
    host: settings.host,
    port: settings.peerPort,
    token: settings.peerToken,
    clock,
    counters,
    log,
    resolveAddress: (daemonId) =>
      membership?.record()?.members.find((member) => member.daemonId === daemonId)?.peerAddress ??
      null,
  });
  const http = createHttpServer({
    host: settings.host,
    port: settings.apiPort,
    log,
    counters,
    readiness,
  });
  const shared = { clock, log, counters, random: Math.random, store, link };
  let facts = (): HeartbeatFacts => NO_FACTS;
  let loads = (): HeartbeatLoads => NO_LOADS;
  let membership: ReturnType<typeof createMembership> | null = null;

  await vms.start();
  const peerPort = await link.listen();
  const cell = await readOrCreateCell(store, { partitions: settings.partitions }, clock, log);
  const joined = createMembership({
    ...shared,
    vms,
    self: {
      daemonId: settings.id,
      incarnation,
      dataCentre: settings.dataCentre,
      peerAddress: settings.peerAdvertise ?? `${settings.host}:${peerPort}`,
      get apiAddress() {
        return apiAddress;
      },
    },
    facts: () => facts(),
    loads: () => loads(),
  });
  membership = joined;
  const configuration = createConfigurationService({ ...shared, membership: joined });
  const ownership = createOwnership({
    ...shared,
    selfId: settings.id,
    incarnation,
    partitionCount: cell.partitions,
    storeWritesPerSecond: settings.storeWritesPerSecond,
    membership: joined,
    services: () => services.inOrder,
  });
  const services = createDaemonServices({
    ...shared,
    daemonId: settings.id,
    localAddress: settings.host,
    vms,
    configuration,
    directory: ownership,
    heardLoads: joined,
  });
  const callers = registerCallerApi(http, {
    ...shared,
    configuration,
    directory: ownership,
    router: services.router,
  });
  registerOperatorApi(http, {
    clock,
    operatorToken: settings.operatorToken,
    configuration,
    link,
    membership: joined,
    directory: ownership,
  });
  facts = () => ({
    ...configuration.heartbeatFacts(),
    isDraining: life.state() === 'draining',
  });
  loads = () => ({ owned: ownership.describeOwned(), loads: services.loads.ownLoads() });
  link.handle('daemon.read', () => Promise.resolve(Ok(describe())));
  link.handle('daemon.drain', () => {
    options.onDrainRequested?.();
    return Promise.resolve(Ok({}));
  });
  const listenedAt = await http.listen();
  const apiAddress = settings.apiAdvertise ?? listenedAt;
  log.info('listening', { apiAddress, peerPort });

  await joined.start();
  await configuration.start();
  services.allotments.start();
  ownership.start();
  life.advance('JOINED');

  function readiness(): Result<void, Failure> {
    const ready = life.readiness();
    if (ready.isErr() || configuration.isFresh()) return ready;
    return Err(createFailure('configuration-not-fresh'));
  }

  function describe(): DaemonView {
    return {
      daemonId: settings.id,
      state: life.state(),
      dataCentre: settings.dataCentre,
      apiAddress,
      partitions: ownership.owned(),
      configurationRevision: configuration.current()?.revision ?? 0,
      isFresh: configuration.isFresh(),
      counters: counters.snapshot(),
    };
  }

  async function closeAll(): Promise<void> {
    configuration.stop();
    services.allotments.stop();
    ownership.stop();
    joined.stop();
    await http.close();
    await vms.stop();
    await services.workerClient.close();
    await link.close();
    await store.close();
  }

  const stop = createDaemonStop({
    clock,
    life,
    callers,
    http,
    router: services.router,
    ownership,
    membership: joined,
    drainDeadlineMilliseconds: settings.drainDeadlineMilliseconds,
    closeAll,
  });
  return { apiAddress, stop };
}
