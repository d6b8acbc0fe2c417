import { randomUUID } from 'node:crypto';

import {
  createLocalCounters,
  createSilentLog,
  createStoreClient,
  createSystemClock,
  Ok,
  sleep,
} from '@chicorybend/common';
import type { LocalCounters } from '@chicorybend/common';
import type { StoreStandIn } from '@chicorybend/standins';

import { createMembership } from '../core/membership.js';
import type { Membership } from '../core/membership.js';
import { createOwnership } from '../core/ownership.js';
import type { Ownership } from '../core/ownership.js';
import { createPeerLink } from '../core/peerLink.js';
import type { PartitionService, VmDirectory } from '../index.js';

const TOKEN = 'token-of-the-test-cell';

/** Interval in which a daemon believed that it may act as the owner of a partition. */
export interface ActingInterval {
  readonly daemonId: string;
  readonly partition: number;
  readonly epoch: number;
  from: number;
  to: number;
}

/** One daemon's membership and ownership in the process of the test. */
export interface TestDaemon {
  readonly daemonId: string;
  readonly membership: Membership;
  readonly ownership: Ownership;
  readonly counters: LocalCounters;
  /** Cuts the daemon off from its peers in both directions. */
  setIsolated(isIsolated: boolean): void;
  /** Ends the daemon without telling anybody, as `kill -9` does. */
  kill(): Promise<void>;
}

/** What a test node needs. */
export interface TestDaemonOptions {
  readonly daemonId: string;
  /** Address of the store as this daemon reaches it. */
  readonly storeAddress: string;
  readonly partitionCount: number;
  readonly intervals: ActingInterval[];
}

const clock = createSystemClock();

function createDirectory(): VmDirectory {
  return { workers: () => [], endpoints: () => [], isEntryVmGone: () => false, onChange: () => {} };
}

/** Records when a daemon acts for a partition, by asking its lease every few milliseconds. */
function createActingRecorder(daemonId: string, intervals: ActingInterval[]): PartitionService {
  const timers = new Map<number, NodeJS.Timeout>();
  return {
    name: 'recorder',
    async open({ lease }) {
      let current: ActingInterval | null = null;
      const timer = setInterval(() => {
        const now = clock.monotonicMilliseconds();
        if (!lease.mayAct()) {
          current = null;
          return;
        }
        if (!current) {
          const { partition, epoch } = lease;
          current = { daemonId, partition, epoch, from: now, to: now };
          intervals.push(current);
        }
        current.to = now;
      }, 5);
      timers.set(lease.partition, timer);
      return Ok(undefined);
    },
    release(partition) {
      clearInterval(timers.get(partition));
      return Promise.resolve({ from: daemonId });
    },
    close(partition) {
      clearInterval(timers.get(partition));
    },
    snapshot: () => [],
  };
}

/**
 * Starts one daemon's membership and ownership in this process.
 *
 * @param options identity, store and where to record
 * @returns the node, joined
 */
export async function startTestDaemon(options: TestDaemonOptions): Promise<TestDaemon> {
  const { daemonId } = options;
  const counters = createLocalCounters();
  const log = createSilentLog();
  const store = createStoreClient({ address: options.storeAddress, clock });
  const incarnation = randomUUID();
  let isIsolated = false;
  let isKilled = false;
  const link = createPeerLink({
    selfId: daemonId,
    host: '127.0.0.1',
    port: 0,
    token: TOKEN,
    clock,
    counters,
    log,
    resolveAddress(target) {
      const member = membership.record()?.members.find((other) => other.daemonId === target);
      return isIsolated ? null : (member?.peerAddress ?? null);
    },
  });
  const inbound = link.handle.bind(link);
  // An isolated daemon neither answers nor hears calls.
  link.handle = (method, handler) =>
    inbound(method, (params, context) =>
      isIsolated && context.from !== daemonId ? new Promise(() => {}) : handler(params, context),
    );
  const port = await link.listen();
  const shared = { link, store, clock, counters, log, random: Math.random };
  let isDraining = false;
  const membership: Membership = createMembership({
    ...shared,
    self: {
      daemonId,
      incarnation,
      peerAddress: `127.0.0.1:${port}`,
      apiAddress: 'http://127.0.0.1:1',
      dataCentre: 'a',
    },
    vmDirectory: createDirectory(),
    facts: () => ({
      configurationRevision: 0,
      freshnessAgeMilliseconds: 0,
      isDraining,
    }),
    loads: () => ({ owned: ownership.describeServedPartitions(), loads: [] }),
  });
  const recorder = createActingRecorder(daemonId, options.intervals);
  const ownership: Ownership = createOwnership({
    ...shared,
    selfId: daemonId,
    incarnation,
    partitionCount: options.partitionCount,
    storeWritesPerSecond: 300,
    membership,
    services: () => [recorder],
  });
  await membership.start();
  ownership.start();
  return {
    daemonId,
    membership,
    ownership: {
      ...ownership,
      drain(remainingMilliseconds) {
        isDraining = true;
        return ownership.drain(remainingMilliseconds);
      },
    },
    counters,
    setIsolated(value) {
      isIsolated = value;
    },
    async kill() {
      if (isKilled) return;
      isKilled = true;
      isIsolated = true;
      ownership.stop();
      membership.stop();
      await link.close();
      await store.close();
    },
  };
}

/**
 * Waits until a condition holds.
 *
 * @param condition condition
 * @param timeoutMilliseconds limit in milliseconds
 * @returns time waited in milliseconds, or null if it did not come to hold
 */
export async function waitUntil(
  condition: () => boolean,
  timeoutMilliseconds: number,
): Promise<number | null> {
  const startedAt = clock.monotonicMilliseconds();
  while (!condition()) {
    if (clock.monotonicMilliseconds() - startedAt > timeoutMilliseconds) return null;
    await sleep(clock, 10);
  }
  return clock.monotonicMilliseconds() - startedAt;
}

/**
 * Finds two daemons that acted for one partition at the same time.
 *
 * @param intervals recorded intervals
 * @returns description of each overlap
 */
export function findOverlaps(intervals: readonly ActingInterval[]): string[] {
  return intervals.flatMap((left, index) =>
    intervals
      .slice(index + 1)
      .filter(
        (right) =>
          left.partition === right.partition &&
          left.daemonId !== right.daemonId &&
          left.from < right.to &&
          right.from < left.to,
      )
      .map((right) => `partition ${left.partition}: ${left.daemonId} and ${right.daemonId}`),
  );
}

/**
 * @param daemons daemons
 * @param partitionCount number of partitions
 * @returns whether each partition is served by exactly one of the daemons
 */
export function isFullyServed(daemons: readonly TestDaemon[], partitionCount: number): boolean {
  const served = daemons.flatMap((node) => [...node.ownership.servedPartitions()]);
  return served.length === partitionCount && new Set(served).size === partitionCount;
}

/**
 * Starts several daemons on one store.
 *
 * @param store running store stand-in
 * @param count number of daemons
 * @param partitionCount number of partitions
 * @param intervals where to record
 * @returns the daemons, joined
 */
export function startTestDaemons(
  store: StoreStandIn,
  count: number,
  partitionCount: number,
  intervals: ActingInterval[],
): Promise<TestDaemon[]> {
  return Promise.all(
    Array.from({ length: count }, (_, index) =>
      startTestDaemon({
        daemonId: `entry-${index + 1}`,
        storeAddress: store.address,
        partitionCount,
        intervals,
      }),
    ),
  );
}
