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
import { readOrCreateCellSettings } from './cellSettings.js';
import { createConfigurationService } from './configurationService.js';
import { createDaemonLifecycle } from './daemonLifecycle.js';
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

const INITIAL_FACTS: HeartbeatFacts = {
  configurationRevision: 0,
  freshnessAgeMilliseconds: Number.MAX_SAFE_INTEGER,
  isDraining: false,
};
const INITIAL_LOADS: HeartbeatLoads = { owned: [], loads: [] };

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

/** Optional settings of a daemon. */
export interface DaemonOptions {
  /** Additional sinks of metrics, such as StatsD. */
  readonly counterSinks?: readonly Counters[];
  /** Called when another process asks this daemon to drain. */
  readonly onDrainRequested?: () => void;
}

/**
 * Starts a daemon: joins the cell, then claims partitions and serves.
 *
 * @param settings checked settings
 * @param options optional metric sinks and callback
 * @returns the running daemon, once it serves
 * @throws if a port cannot be listened on
 */
export async function startDaemon(settings: Settings, options: DaemonOptions): Promise<Daemon> {
  const clock = createSystemClock();
  const log = createLog(settings.id, settings.logLevel);
  const counters = createLocalCounters(options.counterSinks);
  const incarnation = randomUUID();
  const lifecycle = createDaemonLifecycle(log);
  const store = createStoreClient({ address: settings.storeAddress, clock });
  const vmDirectory = createVmDirectory({
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
      membershipForLink?.record()?.members.find((member) => member.daemonId === daemonId)
        ?.peerAddress ?? null,
  });
  const http = createHttpServer({
    host: settings.host,
    port: settings.apiPort,
    log,
    counters,
    readiness,
  });
  const shared = { clock, log, counters, random: Math.random, store, link };
  let facts = (): HeartbeatFacts => INITIAL_FACTS;
  let loads = (): HeartbeatLoads => INITIAL_LOADS;
  // The link resolves addresses of peers through the membership, which is created after it.
  let membershipForLink: ReturnType<typeof createMembership> | null = null;

  await vmDirectory.start();
  const peerPort = await link.listen();
  const cell = await readOrCreateCellSettings(
    store,
    { partitions: settings.partitions },
    clock,
    log,
  );
  const membership = createMembership({
    ...shared,
    vmDirectory,
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
  membershipForLink = membership;
  const configuration = createConfigurationService({ ...shared, membership });
  const ownership = createOwnership({
    ...shared,
    selfId: settings.id,
    incarnation,
    partitionCount: cell.partitions,
    storeWritesPerSecond: settings.storeWritesPerSecond,
    membership,
    services: () => services.partitionServices,
  });
  const services = createDaemonServices({
    ...shared,
    daemonId: settings.id,
    localAddress: settings.host,
    vmDirectory,
    configuration,
    directory: ownership,
    peerLoads: membership,
  });
  const callerApi = registerCallerApi(http, {
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
    membership,
    directory: ownership,
  });
  facts = () => ({
    ...configuration.heartbeatFields(),
    isDraining: lifecycle.state() === 'draining',
  });
  loads = () => ({ owned: ownership.describeServedPartitions(), loads: services.loads.ownLoads() });
  link.handle('daemon.read', () => Promise.resolve(Ok(describe())));
  link.handle('daemon.drain', () => {
    options.onDrainRequested?.();
    return Promise.resolve(Ok({}));
  });
  const listeningAddress = await http.listen();
  const apiAddress = settings.apiAdvertise ?? listeningAddress;
  log.info('listening for callers and peers', { apiAddress, peerPort });

  await membership.start();
  await configuration.start();
  services.allotments.start();
  ownership.start();
  lifecycle.advance('JOINED');

  function readiness(): Result<void, Failure> {
    const ready = lifecycle.readiness();
    if (ready.isErr() || configuration.isFresh()) return ready;
    return Err(createFailure('configuration-not-fresh'));
  }

  function describe(): DaemonView {
    return {
      daemonId: settings.id,
      state: lifecycle.state(),
      dataCentre: settings.dataCentre,
      apiAddress,
      partitions: ownership.servedPartitions(),
      configurationRevision: configuration.current()?.revision ?? 0,
      isFresh: configuration.isFresh(),
      counters: counters.snapshot(),
    };
  }

  async function closeAll(): Promise<void> {
    configuration.stop();
    services.allotments.stop();
    ownership.stop();
    membership.stop();
    await http.close();
    await vmDirectory.stop();
    await services.workerClient.close();
    await link.close();
    await store.close();
  }

  const stop = createDaemonStop({
    clock,
    lifecycle,
    callerApi,
    http,
    router: services.router,
    ownership,
    membership,
    drainDeadlineMilliseconds: settings.drainDeadlineMilliseconds,
    closeAll,
  });
  return { apiAddress, stop };
}
