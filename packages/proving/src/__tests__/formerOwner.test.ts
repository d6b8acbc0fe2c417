import { createSilentLog, createSystemClock, sleep } from '@chicorybend/common';
import { createScheduler, createSchedulerMetrics } from '@chicorybend/scheduler';
import type { CallerAnswer, CallerRequest, Scheduler } from '@chicorybend/scheduler';
import { createClusterStoreStandIn, createEndpointFleetStandIn } from '@chicorybend/standins';
import type { ClusterStoreStandIn } from '@chicorybend/standins';
import test from 'ava';
import type { ExecutionContext } from 'ava';

import { reservePort } from '../utils/reservePort.js';
import { waitUntil } from '../utils/waitUntil.js';
import { CONFIGURATION, createJobId, createJobSpecification } from '../core/schedulerCell.js';

const HOST = '127.0.0.1';
const START_LIMIT_MILLISECONDS = 10_000;
const CAPACITY = { processors: 1, linkMegabitsPerSecond: 100 };
const clock = createSystemClock();

/** Schedulers of a cell, each with its own faults of the store. */
interface Cell {
  readonly store: ClusterStoreStandIn;
  start(name: string, capacity?: typeof CAPACITY): Promise<Scheduler>;
  /** @returns name of the process that is the owner; null if there is none */
  ownerName(): string | null;
}

function createCell(t: ExecutionContext): Cell {
  const store = createClusterStoreStandIn(clock, () => 0.5);
  const fleet = createEndpointFleetStandIn({
    clock,
    count: 1,
    service: 'ledger',
    capacity: { processors: 8, memoryBytes: 1_000, accelerators: 0 },
    rackSize: 1,
    durationOf: () => 100,
  });
  const names = new Map<string, string>();
  return {
    store,
    ownerName() {
      const item = store.get('chicorybend/owner');
      if (!item) return null;
      return names.get((JSON.parse(item.value) as { address: string }).address) ?? null;
    },
    async start(name, capacity = CAPACITY) {
      const reservation = await reservePort(HOST);
      await reservation.release();
      names.set(`${HOST}:${reservation.port}`, name);
      const scheduler = createScheduler({
        store: store.client(name),
        electionStore: store.client(name),
        clock,
        log: createSilentLog(),
        metrics: createSchedulerMetrics(),
        endpoints: fleet.client,
        directory: fleet.directory,
        configurationSource: {
          read: () => Promise.resolve({ kind: 'answered', configuration: CONFIGURATION }),
        },
        evacuation: null,
        timeLimits: {
          maximumLeaseMilliseconds: 10_000,
          maximumOrderDelayMilliseconds: 12_000,
          maximumStopMilliseconds: 200,
          heartbeatMilliseconds: 1_500,
        },
        maximumValueBytes: 1_048_576,
        retentionMilliseconds: 60_000,
        advice: fleet.advice,
        leaseMilliseconds: 1_200,
        claimDelayMilliseconds: 0,
        ...capacity,
        peerAddress: `${HOST}:${reservation.port}`,
      });
      await scheduler.start();
      t.teardown(() => scheduler.stop());
      return scheduler;
    },
  };
}

function submit(scheduler: Scheduler, limitMilliseconds: number): Promise<CallerAnswer> {
  const request: CallerRequest = {
    action: 'submit',
    host: 'cell.example',
    path: `/work/${createJobId(1)}`,
    key: 'key-1',
    specification: createJobSpecification({ count: 1 }),
    bodyBytes: 100,
  };
  return scheduler.handle(request, limitMilliseconds);
}

test('a VM that learns of the end of a term only from the former owner refuses calls as not run, and is not ready', async (t) => {
  t.timeout(30_000);
  const { store, start } = createCell(t);
  const owner = await start('owner');
  t.true(await waitUntil(owner.isReady, START_LIMIT_MILLISECONDS));
  const standby = await start('standby');
  t.true(await waitUntil(standby.isReady, START_LIMIT_MILLISECONDS));
  store.faultsOf('standby').outage = 'silent';
  await owner.handOver();
  const answer = await submit(standby, 700);
  t.is(answer.kind, 'failed');
  if (answer.kind === 'failed') t.is(answer.failure.run, 'not-run');
  t.false(standby.isReady());
});

test('a VM that connects to an owner whose claim has not been answered stays with it', async (t) => {
  t.timeout(30_000);
  const { store, start } = createCell(t);
  const faults = store.faultsOf('owner');
  faults.lostAnswerFraction = 1;
  const owner = await start('owner');
  const isClaimed = () => store.get('chicorybend/owner') !== null;
  t.true(await waitUntil(isClaimed, START_LIMIT_MILLISECONDS));
  Object.assign(faults, { lostAnswerFraction: 0, outage: 'silent' });
  const standby = await start('standby');
  t.true(await waitUntil(standby.isReady, START_LIMIT_MILLISECONDS));
  const answer = submit(standby, 2_500);
  await sleep(clock, 200);
  t.false(owner.isReady());
  faults.outage = null;
  t.is((await answer).kind, 'accepted');
  t.true(owner.isReady());
  t.true(standby.isReady());
});

test('a lost owner is followed by a VM as strong as it, and by a weaker one if there is none', async (t) => {
  t.timeout(30_000);
  const { store, start, ownerName } = createCell(t);
  const owner = await start('owner');
  t.true(await waitUntil(owner.isReady, START_LIMIT_MILLISECONDS));
  const others = await Promise.all([
    start('slow-link', { processors: 1, linkMegabitsPerSecond: 10 }),
    start('few-processors', { processors: 0.6, linkMegabitsPerSecond: 100 }),
    start('equal'),
  ]);
  t.true(await waitUntil(() => others.every(({ isReady }) => isReady()), START_LIMIT_MILLISECONDS));
  await sleep(clock, 200);
  // Without an order of claims, the others are faster.
  store.faultsOf('equal').latencyMilliseconds = 30;
  owner.stop();
  t.true(await waitUntil(() => ownerName() === null, START_LIMIT_MILLISECONDS));
  t.true(await waitUntil(() => ownerName() !== null, START_LIMIT_MILLISECONDS));
  t.is(ownerName(), 'equal');
  others[2].stop();
  t.true(await waitUntil(() => ownerName() === null, START_LIMIT_MILLISECONDS));
  t.true(await waitUntil(() => ownerName() !== null, 1_000));
  t.is(ownerName(), 'few-processors');
});
