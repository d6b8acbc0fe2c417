import type { Resources } from '@chicorybend/common';
import test from 'ava';

import {
  CONFIGURATION,
  createSchedulerCell,
  createJobId,
  createJobSpecification,
} from '../core/schedulerCell.js';
import type { SchedulerCell } from '../core/schedulerCell.js';

const MEMORY_BYTES = 1_000;

function withProcessors(processors: number): Resources {
  return { processors, memoryBytes: MEMORY_BYTES, accelerators: 0 };
}

/** @returns highest number of runs that an endpoint executed at the same time from a given time on */
function maximumRunsSince(cell: SchedulerCell, endpointId: string, time: number): number {
  const runs = cell.fleet.history.filter((run) => run.endpointId === endpointId);
  const counts = runs
    .filter(({ startedAt }) => startedAt >= time)
    .map(
      ({ startedAt }) =>
        runs.filter(
          (other) => other.startedAt <= startedAt && (other.endedAt ?? Infinity) > startedAt,
        ).length,
    );
  return Math.max(0, ...counts);
}

/** Writes of the process still take effect, but only after this time and without an answer. */
function delayWrites(cell: SchedulerCell, name: string, milliseconds: number): void {
  Object.assign(cell.store.faultsOf(name), {
    lostAnswerFraction: 1,
    unansweredWriteDelayMilliseconds: milliseconds,
  });
}

function endDelay(cell: SchedulerCell, name: string): void {
  cell.store.faultsOf(name).lostAnswerFraction = 0;
}

test('starts that wait for the store are withdrawn, newest first, when the capacity shrinks meanwhile', async (t) => {
  const cell = createSchedulerCell({ count: 1, durationOf: () => 2_000 });
  cell.startProcess('first');
  await cell.advance(200);
  await cell.call({ specification: createJobSpecification({ count: 6 }) });
  const shrunkAt = cell.clock.monotonicMilliseconds();
  cell.fleet.resize('endpoint-0', withProcessors(2));
  delayWrites(cell, 'first', 1_000);
  await cell.advance(900);
  t.is(cell.fleet.history.length, 0);
  endDelay(cell, 'first');
  await cell.advance(1_500);
  t.deepEqual(
    cell.fleet.history.map(({ taskId }) => taskId),
    [0, 1].map((index) => `${createJobId(1)}.0.0.${index}`),
  );
  await cell.advance(6_000);
  t.is(maximumRunsSince(cell, 'endpoint-0', shrunkAt), 2);
  t.deepEqual(await cell.call({ action: 'status' }), { kind: 'status', status: 'completed' });
  t.deepEqual(cell.fleet.violations(), []);
});

test('a gang that waits for the store is withdrawn as a whole when the capacity shrinks meanwhile', async (t) => {
  const cell = createSchedulerCell({ count: 2, durationOf: () => 500 });
  cell.startProcess('first');
  await cell.advance(200);
  await cell.call({ specification: createJobSpecification({ count: 12, isGang: true }) });
  cell.fleet.resize('endpoint-0', withProcessors(3));
  delayWrites(cell, 'first', 1_000);
  await cell.advance(900);
  endDelay(cell, 'first');
  await cell.advance(1_500);
  t.is(cell.fleet.history.length, 0);
  cell.fleet.resize('endpoint-0', withProcessors(4));
  await cell.advance(2_000);
  t.is(cell.fleet.history.length, 12);
  t.deepEqual(await cell.call({ action: 'status' }), { kind: 'status', status: 'completed' });
  t.deepEqual(cell.fleet.violations(), []);
});

test('nothing is started by capacities that have not been read for some seconds', async (t) => {
  const cell = createSchedulerCell({ count: 1, durationOf: () => 5_000 });
  cell.startProcess('first');
  await cell.advance(1_000);
  cell.isDirectoryReadable = false;
  cell.fleet.resize('endpoint-0', withProcessors(2));
  await cell.advance(3_000);
  await cell.call({ specification: createJobSpecification({ count: 6 }) });
  await cell.advance(1_000);
  t.is(cell.fleet.history.length, 0);
  t.regex(cell.metrics.expose(), /^chicorybend_starts_withdrawn_total 0$/m);
  cell.isDirectoryReadable = true;
  await cell.advance(2_500);
  t.is(cell.fleet.history.length, 2);
});

test('a start is withdrawn if the directory could not be read until its placement was durable', async (t) => {
  const cell = createSchedulerCell({ count: 1, durationOf: () => 5_000 });
  cell.startProcess('first');
  await cell.advance(200);
  await cell.call({ specification: createJobSpecification({ count: 6 }) });
  cell.isDirectoryReadable = false;
  cell.fleet.resize('endpoint-0', withProcessors(2));
  delayWrites(cell, 'first', 3_500);
  await cell.advance(3_400);
  endDelay(cell, 'first');
  await cell.advance(1_000);
  t.is(cell.fleet.history.length, 0);
  t.regex(cell.metrics.expose(), /^chicorybend_starts_withdrawn_total 6$/m);
  t.regex(cell.metrics.expose(), /^chicorybend_starts_sent_total 0$/m);
  cell.isDirectoryReadable = true;
  await cell.advance(3_000);
  t.is(cell.fleet.history.length, 2);
});

test('a new owner starts nothing by capacities that it read long before its recovery was complete', async (t) => {
  const cell = createSchedulerCell({ count: 1, durationOf: () => 5_000 });
  const first = cell.startProcess('first');
  await cell.advance(200);
  cell.fleet.faultsOf('endpoint-0').isCutOff = true;
  await cell.advance(3_000);
  await cell.call({ specification: createJobSpecification({ count: 6 }) });
  first.kill();
  cell.isConfigurationReadable = false;
  cell.startProcess('second');
  await cell.advance(2_000);
  t.not(cell.currentTerm(), null);
  cell.isDirectoryReadable = false;
  cell.fleet.faultsOf('endpoint-0').isCutOff = false;
  cell.fleet.resize('endpoint-0', withProcessors(2));
  await cell.advance(3_000);
  cell.isConfigurationReadable = true;
  await cell.advance(1_500);
  t.is(cell.fleet.history.length, 0);
  cell.isDirectoryReadable = true;
  await cell.advance(3_000);
  t.is(cell.fleet.history.length, 2);
});

test('no task joins an endpoint in use above its capacity, filling tasks included, until its runs fit again', async (t) => {
  const cell = createSchedulerCell({
    count: 1,
    durationOf: ({ taskId }) => (taskId.startsWith(createJobId(1)) ? 4_000 : 500),
  });
  cell.startProcess('first');
  await cell.advance(200);
  await cell.call({ specification: createJobSpecification({ count: 6 }) });
  await cell.advance(500);
  t.is(cell.fleet.history.length, 6);
  cell.fleet.resize('endpoint-0', withProcessors(4));
  await cell.advance(1_000);
  const filling = `/work/${createJobId(2)}`;
  await cell.call({
    path: filling,
    specification: createJobSpecification({ count: 2, isFilling: true }),
  });
  await cell.call({
    path: `/work/${createJobId(3)}`,
    specification: createJobSpecification({ count: 8 }),
  });
  await cell.advance(2_000);
  // Work that runs when the capacity shrinks is not stopped.
  t.is(cell.fleet.history.length, 6);
  t.true(cell.fleet.history.every(({ endedAt }) => endedAt === null));
  const grownAt = cell.clock.monotonicMilliseconds();
  cell.fleet.resize('endpoint-0', withProcessors(7));
  await cell.advance(700);
  t.true(cell.fleet.history.some(({ startedAt }) => startedAt > grownAt));
  t.regex(cell.metrics.expose(), /^chicorybend_capacity_changes_total 2$/m);
  await cell.advance(5_000);
  for (const index of [1, 2, 3]) {
    const answer = await cell.call({ action: 'status', path: `/work/${createJobId(index)}` });
    t.deepEqual(answer, { kind: 'status', status: 'completed' });
  }
});

test('no advice is requested about an endpoint whose capacity is too small for the task', async (t) => {
  const [queue] = CONFIGURATION.queues;
  const cell = createSchedulerCell({ durationOf: () => 1_000 });
  const advice = { callMilliseconds: 20, endpointMilliseconds: 1, ticketMilliseconds: 2_000 };
  cell.configuration = { ...CONFIGURATION, queues: [{ ...queue!, advice }] };
  const asked = new Set<string>();
  const { advise } = cell.fleet.advice;
  Object.assign(cell.fleet.advice, {
    advise(...parameters: Parameters<typeof advise>) {
      parameters[1].forEach((endpointId) => asked.add(endpointId));
      return advise(...parameters);
    },
  });
  cell.fleet.resize('endpoint-0', withProcessors(2));
  cell.startProcess('first');
  await cell.advance(200);
  const resources = { processors: 4, memoryBytes: 1, accelerators: 0 };
  await cell.call({
    specification: createJobSpecification(
      { count: 3, resources },
      { count: 3, after: [0], resources },
    ),
  });
  await cell.advance(3_000);
  t.deepEqual([...asked].sort(), ['endpoint-1', 'endpoint-2', 'endpoint-3']);
  t.deepEqual(await cell.call({ action: 'status' }), { kind: 'status', status: 'completed' });
});

test('an endpoint does not execute a start that it receives long after its capacity was read', async (t) => {
  const cell = createSchedulerCell({ count: 1, durationOf: () => 500 });
  cell.startProcess('first');
  await cell.advance(1_000);
  cell.isDirectoryReadable = false;
  cell.fleet.resize('endpoint-0', withProcessors(2));
  const faults = cell.fleet.faultsOf('endpoint-0');
  await cell.advance(1_700);
  faults.unansweredStartDelayMilliseconds = 1_500;
  await cell.call({ specification: createJobSpecification({ count: 6 }) });
  await cell.advance(100);
  // The stops that follow the unanswered starts do not arrive.
  faults.isCutOff = true;
  await cell.advance(2_000);
  t.is(cell.fleet.history.length, 0);
  Object.assign(faults, { isCutOff: false, unansweredStartDelayMilliseconds: null });
  cell.isDirectoryReadable = true;
  await cell.advance(12_000);
  t.is(maximumRunsSince(cell, 'endpoint-0', 0), 2);
  t.deepEqual(await cell.call({ action: 'status' }), { kind: 'status', status: 'completed' });
});

test('a run that is being stopped counts until its end is listed', async (t) => {
  const cell = createSchedulerCell({ count: 1, durationOf: () => Infinity });
  cell.startProcess('first');
  await cell.advance(200);
  await cell.call({
    specification: createJobSpecification({ count: 8, estimatedMilliseconds: 60_000 }),
  });
  await cell.advance(500);
  t.is(cell.fleet.history.length, 8);
  cell.fleet.resize('endpoint-0', withProcessors(4));
  await cell.advance(1_000);
  const waiting = `/work/${createJobId(2)}`;
  await cell.call({
    path: waiting,
    specification: createJobSpecification({ count: 8, estimatedMilliseconds: 60_000 }),
  });
  await cell.call({ action: 'cancel' });
  await cell.advance(2_000);
  const cancelled = cell.fleet.history.filter(({ kind }) => kind === 'stopped');
  const later = cell.fleet.history.slice(8);
  t.is(cancelled.length, 8);
  t.is(later.length, 4);
  const lastEnd = Math.max(...cancelled.map(({ endedAt }) => endedAt ?? Infinity));
  t.true(later.every(({ startedAt }) => startedAt >= lastEnd - 100));
  t.is(maximumRunsSince(cell, 'endpoint-0', lastEnd), 4);
});

test('the entry of a former incarnation does not bring back its capacity', async (t) => {
  const cell = createSchedulerCell({ count: 1, durationOf: () => 5_000 });
  cell.startProcess('first');
  await cell.advance(200);
  let former: Awaited<ReturnType<typeof cell.fleet.directory.list>> | null = null;
  void cell.fleet.directory.list(100).then((outcome) => {
    former = outcome;
  });
  await cell.advance(100);
  cell.fleet.restart('endpoint-0');
  cell.fleet.resize('endpoint-0', withProcessors(2));
  await cell.advance(2_000);
  const { list } = cell.fleet.directory;
  Object.assign(cell.fleet.directory, { list: () => Promise.resolve(former) });
  await cell.advance(1_000);
  await cell.call({ specification: createJobSpecification({ count: 6 }) });
  await cell.advance(1_000);
  t.is(cell.fleet.history.length, 2);
  Object.assign(cell.fleet.directory, { list });
});

test('a new owner takes over runs above the capacity and starts nothing beside them until they fit', async (t) => {
  const cell = createSchedulerCell({ count: 1, durationOf: () => 6_000 });
  const first = cell.startProcess('first');
  await cell.advance(200);
  await cell.call({
    specification: createJobSpecification({ count: 6, estimatedMilliseconds: 6_000 }),
  });
  await cell.advance(500);
  t.is(cell.fleet.history.length, 6);
  const waiting = `/work/${createJobId(2)}`;
  await cell.call({
    path: waiting,
    specification: createJobSpecification({ count: 6, estimatedMilliseconds: 6_000 }),
  });
  await cell.advance(100);
  first.kill();
  cell.fleet.resize('endpoint-0', withProcessors(4));
  cell.startProcess('second');
  await cell.advance(3_000);
  t.not(cell.currentTerm(), null);
  // The owner had started two tasks of the second job before it was lost.
  t.is(cell.fleet.history.length, 8);
  await cell.advance(4_000);
  t.is(maximumRunsSince(cell, 'endpoint-0', cell.clock.monotonicMilliseconds() - 4_000), 4);
  t.true(cell.fleet.history.every(({ kind }) => kind === null || kind === 'done'));
  t.deepEqual(cell.fleet.violations(), []);
});

test('tasks that fill a capacity of fractional processors exactly run at the same time', async (t) => {
  const cell = createSchedulerCell({ count: 1, capacity: withProcessors(0.3) });
  cell.startProcess('first');
  await cell.advance(200);
  const resources = { processors: 0.1, memoryBytes: 1, accelerators: 0 };
  await cell.call({ specification: createJobSpecification({ count: 3, resources }) });
  await cell.advance(200);
  t.is(cell.fleet.history.length, 3);
});

test('a gang that has become too large for the whole cell keeps no room from other work', async (t) => {
  const [queue] = CONFIGURATION.queues;
  const cell = createSchedulerCell({ durationOf: () => 1_000 });
  const batch = { ...queue!, name: 'batch', pathPrefix: '/batch/', priority: 1 };
  cell.configuration = { ...CONFIGURATION, queues: [queue!, batch] };
  cell.startProcess('first');
  await cell.advance(200);
  for (let index = 0; index < 4; index += 1) {
    cell.fleet.resize(`endpoint-${index}`, withProcessors(4));
  }
  await cell.advance(1_000);
  await cell.call({ specification: createJobSpecification({ count: 20, isGang: true }) });
  await cell.advance(500);
  const path = `/batch/${createJobId(2)}`;
  await cell.call({ path, specification: createJobSpecification({ count: 4 }) });
  await cell.advance(3_000);
  t.deepEqual(await cell.call({ action: 'status', path }), { kind: 'status', status: 'completed' });
  cell.fleet.resize('endpoint-0', withProcessors(8));
  await cell.advance(3_000);
  t.deepEqual(await cell.call({ action: 'status' }), { kind: 'status', status: 'completed' });
});

test('no start is sent while renewals of the lease have no answer, although writes take effect', async (t) => {
  const cell = createSchedulerCell({ durationOf: () => 400 });
  let areRenewalsAnswered = true;
  const { client } = cell.store;
  Object.assign(cell.store, {
    client(name: string) {
      const store = client(name);
      return {
        ...store,
        async renewLease(...parameters: Parameters<typeof store.renewLease>) {
          const outcome = await store.renewLease(...parameters);
          return areRenewalsAnswered ? outcome : 'failed';
        },
      };
    },
  });
  const { election } = cell.startProcess('first');
  await cell.advance(200);
  await cell.call({ specification: createJobSpecification({ count: 6 }) });
  areRenewalsAnswered = false;
  delayWrites(cell, 'first', 1_500);
  await cell.advance(1_400);
  t.not(cell.currentTerm(), null);
  t.false(election.isOwnerLeaseValid());
  endDelay(cell, 'first');
  await cell.advance(2_000);
  t.not(cell.currentTerm(), null);
  t.regex(cell.metrics.expose(), /^chicorybend_starts_sent_total 0$/m);
  areRenewalsAnswered = true;
  await cell.advance(1_500);
  t.deepEqual(await cell.call({ action: 'status' }), { kind: 'status', status: 'completed' });
  t.deepEqual(cell.fleet.violations(), []);
});
