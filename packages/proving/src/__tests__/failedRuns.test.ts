import test from 'ava';

import {
  advanceUntil,
  createJobId,
  createJobSpecification,
  createSchedulerCell,
} from '../core/schedulerCell.js';
import type { SchedulerCell } from '../core/schedulerCell.js';

const RUN_MILLISECONDS = 2_000;
const SHORT_RUN_MILLISECONDS = 20;
const LONG_RUN_MILLISECONDS = 6_000;
const ORDER_DELAY_MILLISECONDS = 3_000;
/** Age of an incarnation; the deadlines of its orders are far ahead of the clocks of later ones. */
const AGE_MILLISECONDS = 12_000;
/** Time until a new owner has recovered the state and started what waits. */
const TAKEOVER_MILLISECONDS = 2_500;
/** Time until the end of a run has been reported, counted and stored, and less than its task waits to start again. */
const COUNTED_MILLISECONDS = 300;

/** Kills the owner when it has stored the placement of the tasks, and their starts do not reach the endpoint. */
async function submitWithLostStarts(cell: SchedulerCell, count: number): Promise<void> {
  const faults = cell.fleet.faultsOf('endpoint-0');
  faults.isCutOff = true;
  const specification = createJobSpecification({ count, estimatedMilliseconds: RUN_MILLISECONDS });
  await cell.call({ specification });
  const isPlaced = () => cell.store.get(`chicorybend/job/${createJobId(1)}/state`) !== null;
  await advanceUntil(cell, isPlaced, 1_000);
  cell.killOwner();
  await cell.advance(100);
  faults.isCutOff = false;
}

/** The incarnation is replaced under its id; a call that waits at it does not notice. */
function restartBehindCut(cell: SchedulerCell): void {
  const faults = cell.fleet.faultsOf('endpoint-0');
  faults.isCutOff = true;
  cell.fleet.restart('endpoint-0');
  faults.isCutOff = false;
}

// An endpoint reports an end again to each owner as long as it is not acknowledged, which an outstanding start delays.
test('the failed end of a run is counted once by all owners that its endpoint reports it to', async (t) => {
  const cell = createSchedulerCell({ count: 1, durationOf: () => RUN_MILLISECONDS });
  cell.startProcess('first');
  await cell.advance(200);
  await submitWithLostStarts(cell, 3);
  t.deepEqual(cell.fleet.history, []);
  cell.startProcess('second');
  await advanceUntil(cell, () => cell.fleet.history.length === 3, TAKEOVER_MILLISECONDS);
  const failed = cell.fleet.history.map(({ taskId }) => taskId);
  failed.forEach((taskId) => cell.fleet.failRun('endpoint-0', taskId));
  for (const name of ['third', 'fourth']) {
    await cell.advance(COUNTED_MILLISECONDS);
    cell.killOwner();
    cell.startProcess(name);
    await cell.advance(TAKEOVER_MILLISECONDS);
  }
  await cell.advance(2 * RUN_MILLISECONDS);
  t.deepEqual(await cell.call({ action: 'status' }), { kind: 'status', status: 'completed' });
  t.is(cell.fleet.history.filter(({ kind }) => kind === 'failed').length, failed.length);
  t.deepEqual(cell.fleet.violations(), []);
});

// The run was given up before, and its start is executed late, after a later run of its task has begun.
test('the failed end of a late run is counted once by all owners that its endpoint reports it to', async (t) => {
  const cell = createSchedulerCell({
    count: 1,
    durationOf: ({ run }) => (run === 1 ? SHORT_RUN_MILLISECONDS : LONG_RUN_MILLISECONDS),
  });
  cell.startProcess('first');
  await cell.advance(AGE_MILLISECONDS);
  restartBehindCut(cell);
  await cell.advance(AGE_MILLISECONDS);
  const faults = cell.fleet.faultsOf('endpoint-0');
  faults.unansweredStartDelayMilliseconds = ORDER_DELAY_MILLISECONDS;
  const specification = createJobSpecification({ estimatedMilliseconds: RUN_MILLISECONDS });
  await cell.call({ specification });
  await cell.advance(100);
  faults.unansweredStartDelayMilliseconds = null;
  await cell.advance(ORDER_DELAY_MILLISECONDS - 150);
  t.deepEqual(
    cell.fleet.history.map(({ run }) => run),
    [2],
  );
  cell.fleet.resize('endpoint-0', { processors: 0, memoryBytes: 0, accelerators: 0 });
  faults.failsEveryRun = true;
  restartBehindCut(cell);
  const isLateRunFailed = () => cell.fleet.history.some(({ kind }) => kind === 'failed');
  await advanceUntil(cell, isLateRunFailed, ORDER_DELAY_MILLISECONDS);
  t.true(isLateRunFailed());
  faults.failsEveryRun = false;
  for (const name of ['second', 'third', 'fourth']) {
    await cell.advance(COUNTED_MILLISECONDS);
    cell.killOwner();
    cell.startProcess(name);
    await cell.advance(TAKEOVER_MILLISECONDS);
  }
  cell.fleet.resize('endpoint-0', { processors: 8, memoryBytes: 1_000, accelerators: 0 });
  await cell.advance(3 * LONG_RUN_MILLISECONDS);
  t.deepEqual(await cell.call({ action: 'status' }), { kind: 'status', status: 'completed' });
});
