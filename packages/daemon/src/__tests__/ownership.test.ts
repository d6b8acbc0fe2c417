import { createStoreClient, createSystemClock } from '@chicorybend/common';
import { startRelay, startStoreStandIn } from '@chicorybend/standins';
import type { StoreStandIn } from '@chicorybend/standins';
import test from 'ava';
import type { ExecutionContext } from 'ava';

import { createRemovalChange, MEMBERSHIP_KEY } from '../core/membershipRecord.js';
import type { MembershipRecord } from '../types/membershipView.js';
import {
  findOverlaps,
  isFullyServed,
  startTestDaemon,
  startTestDaemons,
  waitUntil,
} from './ownershipFixture.js';
import type { ActingInterval, TestDaemon } from './ownershipFixture.js';

const PARTITIONS = 12;
/** Urgent work starts within 6.4 s, so a partition must be served again before that. */
const URGENT_START_MILLISECONDS = 6_400;
const SETTLE_MILLISECONDS = 15_000;

interface Cell {
  readonly store: StoreStandIn;
  readonly daemons: TestDaemon[];
  readonly intervals: ActingInterval[];
}

async function startCell(t: ExecutionContext, count: number): Promise<Cell> {
  const store = await startStoreStandIn();
  const intervals: ActingInterval[] = [];
  const daemons = await startTestDaemons(store, count, PARTITIONS, intervals);
  t.teardown(async () => {
    await Promise.all(daemons.map((node) => node.kill()));
    await store.close();
  });
  const settled = await waitUntil(() => isFullyServed(daemons, PARTITIONS), SETTLE_MILLISECONDS);
  t.not(settled, null, 'every partition is served');
  return { store, daemons: daemons, intervals };
}

function assertOneOwner(t: ExecutionContext, cell: Cell): void {
  t.deepEqual(findOverlaps(cell.intervals), []);
}

test('six daemons that start together serve each partition once, evenly', async (t) => {
  const cell = await startCell(t, 6);
  const even = await waitUntil(
    () => cell.daemons.every((node) => node.ownership.servedPartitions().length === 2),
    SETTLE_MILLISECONDS,
  );
  t.not(even, null);
  assertOneOwner(t, cell);
});

test('the partitions of a killed daemon are taken over within the time of an urgent start', async (t) => {
  const cell = await startCell(t, 4);
  await waitUntil(
    () => cell.daemons.every((node) => node.ownership.servedPartitions().length === 3),
    15_000,
  );
  const [victim, ...others] = cell.daemons;
  await victim?.kill();
  const gap = await waitUntil(() => isFullyServed(others, PARTITIONS), SETTLE_MILLISECONDS);
  t.log(`takeover after ${gap?.toFixed(0)} ms`);
  t.true(gap !== null && gap < URGENT_START_MILLISECONDS);
  assertOneOwner(t, cell);
});

test('an outage of the store for all neither stops the owners nor makes two', async (t) => {
  const cell = await startCell(t, 4);
  await waitUntil(
    () => cell.daemons.every((node) => node.ownership.servedPartitions().length === 3),
    15_000,
  );
  cell.store.faults.isDown = true;
  await waitUntil(() => false, 8_000);
  t.true(isFullyServed(cell.daemons, PARTITIONS));
  t.true(cell.daemons.every((node) => node.membership.mayAct()));
  cell.store.faults.isDown = false;
  await waitUntil(() => false, 4_000);
  t.true(isFullyServed(cell.daemons, PARTITIONS));
  t.true(cell.daemons.every((node) => node.counters.read('partitions.taken-over') === 0));
  assertOneOwner(t, cell);
});

test('a daemon cut off from its peers keeps its partitions through its session at the store', async (t) => {
  const cell = await startCell(t, 4);
  await waitUntil(
    () => cell.daemons.every((node) => node.ownership.servedPartitions().length === 3),
    15_000,
  );
  const [isolated] = cell.daemons;
  isolated?.setIsolated(true);
  await waitUntil(() => false, 6_000);
  t.is(isolated?.ownership.servedPartitions().length, 3);
  assertOneOwner(t, cell);
});

test('a daemon cut off from store and peers stops acting before another one takes over', async (t) => {
  const store = await startStoreStandIn();
  const intervals: ActingInterval[] = [];
  const others = await startTestDaemons(store, 3, PARTITIONS, intervals);
  const { hostname, port } = new URL(store.address);
  const ownStore = await startRelay({ targetHost: hostname, targetPort: Number(port) });
  const isolated = await startTestDaemon({
    daemonId: 'entry-9',
    storeAddress: `http://${ownStore.host}:${ownStore.port}`,
    partitionCount: PARTITIONS,
    intervals,
  });
  t.teardown(async () => {
    await Promise.all([...others, isolated].map((node) => node.kill()));
    await ownStore.close();
    await store.close();
  });
  await waitUntil(() => isolated.ownership.servedPartitions().length === 3, 20_000);
  ownStore.addFault({}, { kind: 'cut' });
  isolated.setIsolated(true);
  const gap = await waitUntil(() => isFullyServed(others, PARTITIONS), SETTLE_MILLISECONDS);
  t.true(gap !== null && gap < URGENT_START_MILLISECONDS, `gap ${gap}`);
  t.false(isolated.membership.mayAct());
  t.deepEqual(findOverlaps(intervals), []);
});

test('a drained daemon hands its partitions over without a takeover', async (t) => {
  const cell = await startCell(t, 3);
  await waitUntil(
    () => cell.daemons.every((node) => node.ownership.servedPartitions().length === 4),
    15_000,
  );
  const [leaving, ...others] = cell.daemons;
  t.is(await leaving?.ownership.drain(() => 10_000), 'handed-over');
  t.not(await waitUntil(() => isFullyServed(others, PARTITIONS), 3_000), null);
  t.true(others.every((node) => node.counters.read('partitions.taken-over') === 0));
  assertOneOwner(t, cell);
});

test('a daemon that was removed while it was cut off joins again and gets partitions', async (t) => {
  const cell = await startCell(t, 3);
  const isEven = () => cell.daemons.every((node) => node.ownership.servedPartitions().length === 4);
  t.not(await waitUntil(isEven, SETTLE_MILLISECONDS), null);
  const [removed, ...others] = cell.daemons;
  if (!removed) throw new Error('three daemons are needed');
  removed.setIsolated(true);
  const store = createStoreClient({ address: cell.store.address, clock: createSystemClock() });
  const entry = (await store.get<MembershipRecord>(MEMBERSHIP_KEY)).unwrap();
  const members = entry?.data.members ?? [];
  const own = members.find(({ daemonId }) => daemonId === removed.daemonId);
  const remaining = createRemovalChange(removed.daemonId, own?.incarnation ?? '')(members);
  const next = { version: (entry?.data.version ?? 0) + 1, members: remaining };
  await store.put({ key: MEMBERSHIP_KEY, data: next, expectedVersion: entry?.version ?? 0 });
  await store.close();
  const isRemoved = () => others.every((node) => node.membership.record()?.members.length === 2);
  t.not(await waitUntil(isRemoved, SETTLE_MILLISECONDS), null);
  removed.setIsolated(false);
  const isWhole = () => cell.daemons.every((node) => node.membership.liveMembers().length === 3);
  t.not(await waitUntil(isWhole, SETTLE_MILLISECONDS), null, 'it is a member again');
  t.not(await waitUntil(isEven, 2 * SETTLE_MILLISECONDS), null, 'the partitions are even again');
  assertOneOwner(t, cell);
});
