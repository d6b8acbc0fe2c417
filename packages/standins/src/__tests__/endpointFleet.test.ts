import { setImmediate } from 'node:timers/promises';

import test from 'ava';

import { createManualClock } from '@chicorybend/common';
import type { Clock } from '@chicorybend/common';
import type { StartOrder } from '@chicorybend/scheduler';

import { createEndpointFleetStandIn } from '../index.js';
import type { EndpointFleetOptions } from '../index.js';

const TARGET = { endpointId: 'endpoint-0', address: '10.0.0.1:80', fencingToken: 1 };
const TIMEOUT_MILLISECONDS = 250;
const RESTART = { downMilliseconds: 3_000, keepsId: false };

function createFleet(options: Partial<EndpointFleetOptions> = {}) {
  const clock = createManualClock();
  const fleet = createEndpointFleetStandIn({
    clock,
    count: 1,
    service: 'ledger',
    capacity: { processors: 2, memoryBytes: 0, accelerators: 0 },
    rackSize: 1,
    durationOf: () => 100_000,
    ...options,
  });

  async function advance(milliseconds: number): Promise<void> {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += 1) {
      clock.advance(1);
      await setImmediate();
    }
  }

  async function resolve<Value>(call: Promise<Value>): Promise<Value> {
    let result: { readonly value: Value } | null = null;
    void call.then((value) => {
      result = { value };
    });
    while (!result) await advance(1);
    return (result as { readonly value: Value }).value;
  }

  const start = (taskId: string, run = 1, endpointId = TARGET.endpointId) =>
    fleet.client.start({ ...TARGET, endpointId }, createOrder(taskId, run), TIMEOUT_MILLISECONDS);
  const hold = (acknowledgedSequence: number, leaseMilliseconds: number | null, wait = 0) =>
    fleet.client.hold(
      TARGET,
      {
        deadlineOnEndpointMilliseconds:
          leaseMilliseconds === null ? null : clock.monotonicMilliseconds() + leaseMilliseconds,
        acknowledgedSequence,
        waitMilliseconds: wait,
      },
      TIMEOUT_MILLISECONDS,
    );

  async function listIds(): Promise<string[]> {
    const listed = await resolve(fleet.directory.list(TIMEOUT_MILLISECONDS));
    return listed.kind === 'answered' ? listed.entries.map(({ endpointId }) => endpointId) : [];
  }

  return { clock, fleet, advance, resolve, start, hold, listIds };
}

function createOrder(taskId: string, run: number): StartOrder {
  return {
    taskId,
    run,
    payload: '',
    deadlineOnEndpointMilliseconds: 1e6,
    checkpoint: '',
    ticket: null,
  };
}

test('a crash closes the calls in flight at once, and further connections are refused', async (t) => {
  const { fleet, advance, resolve, start, hold, clock } = createFleet();
  const holding = hold(0, 6_000, 1_500);
  await advance(10);
  const starting = start('a');
  await advance(3);
  fleet.crash('endpoint-0', RESTART);
  const crashedAt = clock.monotonicMilliseconds();
  t.is((await resolve(holding)).kind, 'failed');
  t.is((await resolve(starting)).kind, 'unknown');
  t.deepEqual(await resolve(start('b')), { kind: 'refused', reason: 'unhealthy' });
  t.deepEqual(await resolve(hold(0, null)), {
    kind: 'failed',
    reason: 'connection refused',
    isDisconnected: true,
  });
  t.true(clock.monotonicMilliseconds() - crashedAt < 20);
});

test('a crashed endpoint comes back under another id, and calls to its former id are refused', async (t) => {
  const { fleet, advance, resolve, start, listIds } = createFleet();
  fleet.crash('endpoint-0', RESTART);
  t.deepEqual(await listIds(), ['endpoint-0']);
  await advance(3_100);
  t.deepEqual(await listIds(), ['endpoint-0', 'endpoint-0.2']);
  t.deepEqual(await resolve(start('a')), { kind: 'refused', reason: 'other-incarnation' });
  t.is((await resolve(start('a', 1, 'endpoint-0.2'))).kind, 'done');
  await advance(1_500);
  t.deepEqual(await listIds(), ['endpoint-0.2']);
  const [former, latest] = ['endpoint-0', 'endpoint-0.2'].map(fleet.isUp);
  t.deepEqual([former, latest], [false, true]);
});

test('a crashed endpoint that keeps its id comes back with a later start time and without its runs', async (t) => {
  const { fleet, advance, resolve, start, hold } = createFleet();
  await resolve(start('a'));
  const [before] = fleet.entries();
  fleet.crash('endpoint-0', { ...RESTART, keepsId: true });
  await advance(3_100);
  const [after] = fleet.entries();
  t.is(after!.endpointId, before!.endpointId);
  t.true(after!.bornAt > before!.bornAt);
  const outcome = await resolve(hold(0, 6_000));
  t.deepEqual(outcome.kind === 'answered' && outcome.running, []);
});

test('crashes under a task and the starts after them are counted by incarnation', async (t) => {
  const { fleet, advance, resolve, start } = createFleet({
    crashDelayOf: ({ taskId }) => (taskId === 'a' ? 10 : null),
    restartAfterRunCrash: { downMilliseconds: 100, keepsId: true },
  });
  for (const run of [1, 2, 3]) {
    await resolve(start('b', run));
    await resolve(start('a', run));
    await advance(150);
  }
  t.is(fleet.crashesUnder('a'), 3);
  t.is(fleet.crashesUnder('b'), 3);
  t.is(fleet.startsAfterCrashes('a', 2), 1);
  t.is(fleet.startsAfterCrashes('a', 3), 0);
});

test('starts beyond the capacity are recorded; a smaller capacity applies once its notice has passed', async (t) => {
  const { fleet, advance, resolve, start } = createFleet({
    capacity: { processors: 3, memoryBytes: 0, accelerators: 0 },
  });
  await resolve(start('a'));
  fleet.resize('endpoint-0', { processors: 1, memoryBytes: 0, accelerators: 0 });
  await advance(4_400);
  await resolve(start('b'));
  t.is(fleet.overloads.length, 0);
  await advance(200);
  await resolve(start('c'));
  t.deepEqual(
    fleet.overloads.map(({ run, capacity }) => [run.taskId, capacity.processors]),
    [['c', 1]],
  );
  fleet.resize('endpoint-0', { processors: 4, memoryBytes: 0, accelerators: 0 });
  await resolve(start('d'));
  t.is(fleet.overloads.length, 1);
});

test('an end that is acknowledged counts as such unless the lease of its endpoint lapsed before', async (t) => {
  const lapsed = createFleet({ durationOf: () => 100 });
  const renewed = createFleet({ durationOf: () => 100 });
  for (const { resolve, start, hold, advance } of [lapsed, renewed]) {
    await resolve(hold(0, 1_000));
    await resolve(start('a'));
    await advance(1_000);
  }
  await renewed.resolve(renewed.hold(1, 1_000));
  await lapsed.advance(10_000);
  await lapsed.resolve(lapsed.hold(1, 1_000));
  t.is(lapsed.fleet.history[0]!.acknowledgedAt, null);
  t.not(renewed.fleet.history[0]!.acknowledgedAt, null);
});

test('a released endpoint is off the directory at once, and a fresh one takes its place', async (t) => {
  const { fleet, advance, resolve, start, listIds } = createFleet();
  await resolve(start('a'));
  fleet.drain('endpoint-0', 100);
  fleet.release('endpoint-0', 500);
  t.deepEqual(await listIds(), []);
  t.is(fleet.history[0]!.kind, 'released');
  t.is(fleet.crashesUnder('a'), 0);
  await advance(600);
  t.deepEqual(await listIds(), ['endpoint-0.2']);
  t.false(fleet.entries()[0]!.isDraining);
});

test('the members of a gang succeed together, once all are present; a member that ends breaks the others', async (t) => {
  const { fleet, advance, resolve, start } = createFleet({
    capacity: { processors: 4, memoryBytes: 0, accelerators: 0 },
    durationOf: () => 500,
    gangOf: () => ({ gangId: 'gang', size: 2 }),
  });
  await resolve(start('a'));
  await advance(1_000);
  await resolve(start('b'));
  await advance(600);
  await resolve(start('a', 2));
  await resolve(start('b', 2));
  fleet.failRun('endpoint-0', 'b');
  await resolve(start('a', 3));
  await advance(3_100);
  t.deepEqual(
    fleet.history.map(({ taskId, run, kind }) => [taskId, run, kind]),
    [
      ['a', 1, 'done'],
      ['b', 1, 'done'],
      ['a', 2, 'broken'],
      ['b', 2, 'failed'],
      ['a', 3, 'alone'],
    ],
  );
  t.is(fleet.history[0]!.endedAt, fleet.history[1]!.endedAt);
});

test('a late stop reaches the next incarnation, and only the chosen fraction of orders is late', async (t) => {
  const late: string[] = [];
  const { fleet, advance, resolve, start } = createFleet({
    random: () => 0.5,
    onLateOrder: ({ text, sentToBornAt, receivedByBornAt }) =>
      late.push(`${text} from ${sentToBornAt} to ${receivedByBornAt}`),
  });
  const faults = fleet.faultsOf('endpoint-0');
  const stop = () => fleet.client.stop(TARGET, { taskId: 'task-1', run: 1 }, TIMEOUT_MILLISECONDS);
  Object.assign(faults, { unansweredStopDelayMilliseconds: 1_000, lateOrderFraction: 0.5 });
  t.is((await resolve(stop())).kind, 'done');
  faults.lateOrderFraction = 0.6;
  t.is((await resolve(stop())).kind, 'unknown');
  fleet.restart('endpoint-0');
  t.is((await resolve(start('task-1'))).kind, 'done');
  await advance(1_000);
  t.deepEqual(late, ['stop of task-1 run 1 from 1000 to 1001']);
  t.is(fleet.history[0]!.kind, 'stopped');
});

test('a late start of a lower run is executed beside a higher one, and both end by themselves', async (t) => {
  const { fleet, advance, resolve, start, hold } = createFleet({
    durationOf: ({ run }) => run * 1_000,
  });
  t.is((await resolve(start('task-1', 2))).kind, 'done');
  t.is((await resolve(start('task-1', 1))).kind, 'done');
  await advance(2_100);
  t.deepEqual(
    fleet.history.map(({ run, kind }) => ({ run, kind })),
    [
      { run: 2, kind: 'done' },
      { run: 1, kind: 'done' },
    ],
  );
  t.deepEqual(fleet.violations(), ['overlapping runs of task task-1']);
  const refused = await resolve(start('task-1', 1));
  t.is(refused.kind === 'refused' && refused.reason, 'superseded');
  const listed = await resolve(hold(0, null));
  t.deepEqual(listed.kind === 'answered' && listed.ends.map(({ run }) => run), [1, 2]);
});

test('a lease lapses although its timer fires early', async (t) => {
  const clock = createManualClock();
  const early: Clock = {
    ...clock,
    setTimer: (callback, milliseconds) => clock.setTimer(callback, Math.max(1, milliseconds - 1)),
  };
  const { fleet, start } = createFleet({ clock: early });
  void start('task', 1);
  for (let elapsed = 0; elapsed < 11_000; elapsed += 1) {
    clock.advance(1);
    if (elapsed < 100) await setImmediate();
  }
  t.is(fleet.history[0]?.kind, 'lapsed');
});
