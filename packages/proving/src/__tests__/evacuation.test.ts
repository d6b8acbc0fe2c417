import { createSilentLog } from '@chicorybend/common';
import { EVACUATION_PREFIX } from '@chicorybend/standins';
import type { EndpointFleetOptions, FleetRun } from '@chicorybend/standins';
import test from 'ava';

import { createJobId, createJobSpecification, createSchedulerCell } from '../core/schedulerCell.js';
import type { SchedulerCell } from '../core/schedulerCell.js';

const BOUND_MILLISECONDS = 5_000;

/** @returns cell with two endpoints in each of two data centres, z0 and z1, and an owner */
async function createZonedCell(
  options: Partial<EndpointFleetOptions> = {},
  evacuateMilliseconds: number | null = BOUND_MILLISECONDS,
): Promise<SchedulerCell> {
  const cell = createSchedulerCell({ dataCentreOf: (index) => `z${index % 2}`, ...options });
  cell.evacuateMilliseconds = evacuateMilliseconds;
  cell.startProcess('first');
  await cell.advance(500);
  return cell;
}

/** Submits 32 short tasks a second, as many as one data centre can run, for the time given. */
async function loadFor(cell: SchedulerCell, seconds: number): Promise<void> {
  const first = Math.round(cell.clock.monotonicMilliseconds());
  for (let index = 0; index < seconds; index += 1) {
    if (cell.currentTerm()) {
      const specification = createJobSpecification({ count: 32 });
      await cell.call({ path: `/work/${createJobId(first + index)}`, specification });
    }
    await cell.advance(1_000 - (cell.clock.monotonicMilliseconds() % 1_000));
  }
}

function evacuate(cell: SchedulerCell, dataCentre: string, value = '{}'): number {
  cell.store.put(`${EVACUATION_PREFIX}${dataCentre}`, value);
  return cell.clock.monotonicMilliseconds();
}

/** @returns runs in a data centre, also those that have ended */
function runsIn(cell: SchedulerCell, dataCentre: string): FleetRun[] {
  const entries = cell.fleet.entries().filter((entry) => entry.dataCentre === dataCentre);
  const ids = new Set(entries.map(({ endpointId }) => endpointId));
  return cell.fleet.history.filter(({ endpointId }) => ids.has(endpointId));
}

/** @returns number of starts in a data centre that were executed in a span of time */
function countStarts(cell: SchedulerCell, dataCentre: string, from: number, to = Infinity): number {
  return runsIn(cell, dataCentre).filter(({ startedAt: at }) => at >= from && at < to).length;
}

/** @returns number of runs that a data centre executes now */
function countRuns(cell: SchedulerCell, dataCentre: string): number {
  return runsIn(cell, dataCentre).filter(({ endedAt }) => endedAt === null).length;
}

test('an evacuated data centre gets no start after the bound, and gets starts again after the removal', async (t) => {
  const cell = await createZonedCell();
  await loadFor(cell, 2);
  const confirmedAt = evacuate(cell, 'z0');
  await loadFor(cell, 9);
  t.is(countStarts(cell, 'z0', confirmedAt + BOUND_MILLISECONDS), 0);
  t.true(countStarts(cell, 'z1', confirmedAt + BOUND_MILLISECONDS) > 60);
  cell.store.remove(`${EVACUATION_PREFIX}z0`);
  const removedAt = cell.clock.monotonicMilliseconds();
  await loadFor(cell, 2);
  t.true(countStarts(cell, 'z0', removedAt) > 0);
  t.deepEqual(cell.fleet.violations(), []);
});

test('two data centres evacuated in turn get no start, with the owner killed and the store slow between', async (t) => {
  const cell = await createZonedCell();
  cell.startProcess('second');
  cell.store.faultsOf('first').latencyMilliseconds = 100;
  cell.store.faultsOf('second').latencyMilliseconds = 100;
  await loadFor(cell, 2);
  const firstAt = evacuate(cell, 'z0');
  await loadFor(cell, 1);
  cell.killOwner();
  await loadFor(cell, 7);
  const removedAt = cell.clock.monotonicMilliseconds();
  cell.store.remove(`${EVACUATION_PREFIX}z0`);
  const secondAt = evacuate(cell, 'z1', 'not { JSON');
  await loadFor(cell, 8);
  t.is(countStarts(cell, 'z0', firstAt + BOUND_MILLISECONDS, removedAt), 0);
  t.true(countStarts(cell, 'z1', firstAt + BOUND_MILLISECONDS, removedAt) > 0);
  t.is(countStarts(cell, 'z1', secondAt + BOUND_MILLISECONDS), 0);
  t.true(countStarts(cell, 'z0', secondAt + BOUND_MILLISECONDS) > 0);
  t.deepEqual(cell.fleet.violations(), []);
});

test('no start begins later than the bound after the last answered read, and starts resume with the next one', async (t) => {
  const cell = await createZonedCell({ durationOf: () => 100 });
  cell.isEvacuationReadable = false;
  const lastReadBy = cell.clock.monotonicMilliseconds();
  await loadFor(cell, 8);
  t.true(countStarts(cell, 'z0', lastReadBy + 2_000) > 0);
  t.is(countStarts(cell, 'z0', lastReadBy + BOUND_MILLISECONDS), 0);
  t.is(countStarts(cell, 'z1', lastReadBy + BOUND_MILLISECONDS), 0);
  cell.isEvacuationReadable = true;
  const readableAt = cell.clock.monotonicMilliseconds();
  await cell.advance(1_500);
  t.true(countStarts(cell, 'z0', readableAt) > 0);
  t.regex(cell.metrics.expose(), /^chicorybend_evacuation_age_milliseconds_count [1-9]/m);
});

test('a new owner starts nothing before it has read the data centres out of service', async (t) => {
  const cell = await createZonedCell();
  evacuate(cell, 'z0');
  cell.killOwner();
  cell.isEvacuationReadable = false;
  cell.startProcess('second');
  await cell.advance(3_000);
  await cell.call({ specification: createJobSpecification({ count: 4 }) });
  await cell.advance(1_000);
  t.is(cell.fleet.history.length, 0);
  cell.isEvacuationReadable = true;
  await cell.advance(1_000);
  t.is(countStarts(cell, 'z0', 0), 0);
  t.is(countStarts(cell, 'z1', 0), 4);
});

test('starts that wait for the store are withdrawn when their data centre is evacuated meanwhile', async (t) => {
  const cell = await createZonedCell();
  await cell.call({ specification: createJobSpecification({ count: 24 }) });
  Object.assign(cell.store.faultsOf('first'), {
    lostAnswerFraction: 1,
    unansweredWriteDelayMilliseconds: 1_000,
  });
  await cell.advance(50);
  evacuate(cell, 'z0');
  await cell.advance(850);
  cell.store.faultsOf('first').lostAnswerFraction = 0;
  await cell.advance(4_000);
  t.is(countStarts(cell, 'z0', 0), 0);
  t.is(countStarts(cell, 'z1', 0), 24);
  t.regex(cell.metrics.expose(), /^chicorybend_starts_withdrawn_total 16$/m);
  t.deepEqual(await cell.call({ action: 'status' }), { kind: 'status', status: 'completed' });
});

test('names of unknown data centres have no effect, each change has one log line, and capacity out of service does not count', async (t) => {
  const lines: string[] = [];
  const log = createSilentLog();
  log.attachTransport((line) => lines.push(`${line[0]} ${JSON.stringify(line[1])}`));
  const cell = createSchedulerCell({ dataCentreOf: () => 'z0' }, () => 0.5, log);
  cell.evacuateMilliseconds = BOUND_MILLISECONDS;
  cell.startProcess('first');
  await cell.advance(500);
  ['nowhere', 'z0/', '\u0000', '__proto__'].forEach((name) => evacuate(cell, name, '\u0000['));
  await cell.advance(1_000);
  evacuate(cell, 'nowhere');
  await loadFor(cell, 8);
  t.true(countStarts(cell, 'z0', 6_500) > 0);
  t.is(lines.filter((line) => line.startsWith('data centre out of service')).length, 4);
  evacuate(cell, 'z0');
  await loadFor(cell, 3);
  t.true(lines.some((line) => /^work waits .*"processors":0,.*"z0"/.test(line)));
});

test('without the setting nothing is read, and starts go on without answers', async (t) => {
  const cell = await createZonedCell({}, null);
  cell.isEvacuationReadable = false;
  const confirmedAt = evacuate(cell, 'z0');
  await loadFor(cell, 7);
  t.true(countStarts(cell, 'z0', confirmedAt + BOUND_MILLISECONDS) > 0);
  t.regex(cell.metrics.expose(), /^chicorybend_evacuation_reads_failed_total 0$/m);
});

const LASTING = { isLongRunning: true, estimatedMilliseconds: 20_000 };
const WITH_CHECKPOINTS = { hasCheckpoints: true, estimatedMilliseconds: 20_000 };

/** @returns lowest number of runs of the fleet at the same time during the time given */
async function lowestRuns(cell: SchedulerCell, milliseconds: number): Promise<number> {
  let lowest = Infinity;
  for (let elapsed = 0; elapsed < milliseconds; elapsed += 10) {
    await cell.advance(10);
    lowest = Math.min(lowest, countRuns(cell, 'z0') + countRuns(cell, 'z1'));
  }
  return lowest;
}

// Guards against a service that is interrupted by its own move, by more tasks than its caller has allowed.
for (const { budget, lowest, moved } of [
  { budget: 2, lowest: 10, moved: true },
  { budget: null, lowest: 11, moved: true },
  { budget: 0, lowest: 12, moved: false },
]) {
  test(`long-running tasks leave an evacuated data centre within a budget of ${budget}`, async (t) => {
    const cell = await createZonedCell({ durationOf: () => Infinity });
    const specification = createJobSpecification({
      ...LASTING,
      count: 12,
      disruptionBudget: budget,
    });
    await cell.call({ specification });
    await cell.advance(1_000);
    t.true(countRuns(cell, 'z0') > 0);
    evacuate(cell, 'z0');
    t.is(await lowestRuns(cell, 15_000), lowest);
    t.is(countRuns(cell, 'z0') === 0, moved);
    t.is(countRuns(cell, 'z0') + countRuns(cell, 'z1'), 12);
    t.deepEqual(cell.fleet.violations(), []);
  });
}

test('a budget that the loss of an endpoint uses up is not exceeded by moves', async (t) => {
  const cell = await createZonedCell({ durationOf: () => Infinity, count: 8 });
  const step = { ...LASTING, count: 8, maximumPerEndpoint: 2, disruptionBudget: 2 };
  await cell.call({ specification: createJobSpecification(step) });
  await cell.advance(1_000);
  const before = countRuns(cell, 'z0');
  cell.fleet.faultsOf(runsIn(cell, 'z1')[0]!.endpointId).isCutOff = true;
  await cell.advance(1_500);
  evacuate(cell, 'z0');
  await cell.advance(3_000);
  t.is(countRuns(cell, 'z0'), before);
  t.regex(cell.metrics.expose(), /^chicorybend_runs_evacuated_total 0$/m);
});

test('tasks with checkpoints move where there is room, and others end where they run', async (t) => {
  const cell = await createZonedCell({ durationOf: () => 20_000 });
  const others = { ...WITH_CHECKPOINTS, hasCheckpoints: false };
  const steps = [WITH_CHECKPOINTS, { ...others, isGang: true }, others];
  const specification = createJobSpecification(...steps.map((step) => ({ ...step, count: 6 })));
  await cell.call({ specification });
  await cell.advance(1_000);
  const before = countRuns(cell, 'z0');
  evacuate(cell, 'z0');
  await cell.advance(6_000);
  const stopped = cell.fleet.history.filter(({ kind }) => kind === 'stopped');
  t.true(stopped.length > 0 && countRuns(cell, 'z0') === before - stopped.length);
  t.true(stopped.every(({ taskId }) => taskId.startsWith(`${createJobId(1)}.0.0.`)));
  t.is(countRuns(cell, 'z0') + countRuns(cell, 'z1'), 18);
});

test('nothing moves while the other data centre is full', async (t) => {
  const cell = await createZonedCell({ durationOf: () => Infinity });
  const steps = [
    { ...LASTING, count: 24 },
    { ...WITH_CHECKPOINTS, count: 8 },
  ];
  await cell.call({ specification: createJobSpecification(...steps) });
  await cell.advance(1_000);
  evacuate(cell, 'z0');
  t.is(await lowestRuns(cell, 8_000), 32);
});

test('a task that an outstanding start binds to an evacuated data centre waits, and runs elsewhere in the end', async (t) => {
  const cell = await createZonedCell({ count: 2 });
  evacuate(cell, 'z1');
  await cell.advance(1_000);
  const faults = cell.fleet.faultsOf('endpoint-0');
  faults.unansweredStartDelayMilliseconds = 3_000;
  await cell.call({ specification: createJobSpecification({}) });
  await cell.advance(100);
  faults.isCutOff = true;
  await cell.advance(700);
  const confirmedAt = evacuate(cell, 'z0');
  cell.store.remove(`${EVACUATION_PREFIX}z1`);
  await cell.advance(800);
  Object.assign(faults, { isCutOff: false, unansweredStartDelayMilliseconds: null });
  await cell.advance(5_000);
  t.is(cell.fleet.history.length, 0);
  await cell.advance(25_000);
  t.is(countStarts(cell, 'z0', confirmedAt), 0);
  t.deepEqual(await cell.call({ action: 'status' }), { kind: 'status', status: 'completed' });
});
