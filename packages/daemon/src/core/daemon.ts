import { randomUUID } from 'node:crypto';

import {
  createFailure,
  createLocalCounters,
  createLog,
  createStoreClient,
  createSystemClock,
  Err,
  Ok,
  sleep,
} from '@chicorybend/common';
import type { Counters, Failure, Result } from '@chicorybend/common';

import type { Member } from '../types/membershipView.js';
import type { DaemonView } from '../types/peerMethods.js';
import type { Settings } from '../types/settings.js';
import { DRAIN_GRACE_MILLISECONDS, registerCallerApi } from './callerApi.js';
import { readOrCreateCell } from './cellSettings.js';
import { createConfigurationService } from './configurationService.js';
import { createDaemonLife } from './daemonLife.js';
import { createDaemonServices } from './daemonServices.js';
import { createHttpServer } from './httpServer.js';
import { createMembership } from './membership.js';
import type { HeartbeatFacts } from './membership.js';
import { registerOperatorApi } from './operatorApi.js';
import { createOwnership } from './ownership.js';
import { createPeerLink } from './peerLink.js';
import { createVmDirectory } from './vmDirectory.js';

/** A second request to stop leaves this much time, in milliseconds. */
const SECOND_STOP_MILLISECONDS = 2_000;
const DRAIN_PAUSE_MILLISECONDS = 20;
const NO_FACTS: HeartbeatFacts = {
  configurationRevision: 0,
  freshnessAgeMilliseconds: Number.MAX_SAFE_INTEGER,
  isDraining: false,
  owned: [],
  loads: [],
};

/** How a planned stop ended. */
export type StopOutcome = 'drained' | 'deadline';

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
  const self: Member = {
    daemonId: settings.id,
    incarnation,
    peerAddress: '',
    apiAddress: '',
    dataCentre: settings.dataCentre,
  };
  let facts = (): HeartbeatFacts => NO_FACTS;
  let membership: ReturnType<typeof createMembership> | null = null;

  await vms.start();
  const peerPort = await link.listen();
  const cell = await readOrCreateCell(store, { partitions: settings.partitions }, clock, log);
  const joined = createMembership({
    ...shared,
    vms,
    self: {
      ...self,
      peerAddress: settings.peerAdvertise ?? `${settings.host}:${peerPort}`,
      get apiAddress() {
        return apiAddress;
      },
    },
    facts: () => facts(),
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
  registerOperatorApi(http.instance, {
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
    owned: ownership.describeOwned(),
    loads: services.loads.own(),
  });
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

  let stopDeadline = Infinity;
  let stopping: Promise<StopOutcome> | null = null;

  function remainingMilliseconds(): number {
    return Math.max(0, stopDeadline - clock.monotonicMilliseconds());
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

  /** Stops accepting, hands partitions over, finishes the requests in flight and leaves. */
  async function drain(): Promise<StopOutcome> {
    life.advance('TERMINATE');
    callers.startDrain();
    // The load balancer needs this time to notice that the daemon is no longer ready.
    await sleep(clock, Math.min(DRAIN_GRACE_MILLISECONDS, remainingMilliseconds()));
    http.closeConnectionsAfterAnswers();
    const isHandedOver = await ownership.drain(remainingMilliseconds());
    // Requests that run here for callers of other daemons are finished too.
    const inFlight = (): number => callers.inFlight() + services.router.inFlight();
    while (inFlight() > 0 && remainingMilliseconds() > 0) {
      await sleep(clock, DRAIN_PAUSE_MILLISECONDS);
    }
    const isIdle = inFlight() === 0;
    await joined.leave();
    const outcome: StopOutcome = isIdle && isHandedOver ? 'drained' : 'deadline';
    life.advance(outcome === 'drained' ? 'DRAINED' : 'DEADLINE');
    await closeAll();
    return outcome;
  }

  return {
    apiAddress,
    stop() {
      const now = clock.monotonicMilliseconds();
      const allowed = stopping ? SECOND_STOP_MILLISECONDS : settings.drainDeadlineMilliseconds;
      stopDeadline = Math.min(stopDeadline, now + allowed);
      stopping ??= drain();
      return stopping;
    },
  };
}
