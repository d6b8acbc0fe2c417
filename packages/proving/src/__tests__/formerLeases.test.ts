import test from 'ava';

import type { StepSpecification } from '@chicorybend/scheduler';
import type { EndpointFleetOptions } from '@chicorybend/standins';

import {
  advanceUntil,
  createJobId,
  createJobSpecification,
  createSchedulerCell,
} from '../core/schedulerCell.js';
import type { SchedulerCell } from '../core/schedulerCell.js';

/** Age of the first incarnations; the deadlines of their orders are far ahead of the clocks of later ones. */
const AGE_MILLISECONDS = 12_000;
/** Duration of a run; longer than the longest lease. */
const RUN_MILLISECONDS = 30_000;
/** Longest time until a run is repeated: the takeover, the latest execution of its start, and the longest lease. */
const REPETITION_MILLISECONDS = 3_000 + 12_000 + 10_500;

/** Starts a cell with two endpoints, of which the second is cut off, so that all tasks run on the first. */
async function startCell(options: Partial<EndpointFleetOptions> = {}): Promise<SchedulerCell> {
  const cell = createSchedulerCell({ count: 2, durationOf: () => RUN_MILLISECONDS, ...options });
  cell.startProcess('first');
  await cell.advance(600);
  cell.fleet.faultsOf('endpoint-1').isCutOff = true;
  await cell.advance(AGE_MILLISECONDS);
  return cell;
}

/** Replaces the incarnation under its id; a call that waits at it does not notice. */
function restartBehindCut(cell: SchedulerCell): void {
  const faults = cell.fleet.faultsOf('endpoint-0');
  faults.isCutOff = true;
  cell.fleet.restart('endpoint-0');
  faults.isCutOff = false;
}

async function submit(
  cell: SchedulerCell,
  index: number,
  step: Partial<StepSpecification> = {},
): Promise<void> {
  const path = `/work/${createJobId(index)}`;
  const specification = createJobSpecification({
    estimatedMilliseconds: RUN_MILLISECONDS,
    ...step,
  });
  await cell.call({ path, specification });
}

/** Submits a job of one task and waits for its start. */
async function startJob(
  cell: SchedulerCell,
  index: number,
  step: Partial<StepSpecification> = {},
): Promise<void> {
  const starts = cell.fleet.history.length;
  await submit(cell, index, step);
  await advanceUntil(cell, () => cell.fleet.history.length > starts, 1_000);
}

/** The owner is lost and the endpoint is cut off, so that the next owner can only wait for its leases. */
function loseOwnerAndEndpoint(cell: SchedulerCell): void {
  cell.killOwner();
  cell.fleet.faultsOf('endpoint-0').isCutOff = true;
  cell.fleet.faultsOf('endpoint-1').isCutOff = false;
  cell.startProcess('second');
}

// The bound of the former owner on leases that it had widened was forgotten by the next one.
test('a new owner repeats a run of a recent incarnation only after leases that former orders have widened', async (t) => {
  const cell = await startCell();
  restartBehindCut(cell);
  await startJob(cell, 1);
  await cell.advance(1_000);
  await startJob(cell, 2);
  await cell.advance(100);
  loseOwnerAndEndpoint(cell);
  await cell.advance(REPETITION_MILLISECONDS);
  t.is(cell.fleet.history.length, 4);
  t.deepEqual(cell.fleet.violations(), []);
});

// The directory still listed the former incarnation, which the new owner took as proof that the run is there.
test('a new owner repeats a run only after the longest lease if the directory may lag behind a restart', async (t) => {
  const cell = await startCell();
  const former = cell.fleet.entries()[0]!;
  restartBehindCut(cell);
  cell.fleet.list(former);
  await startJob(cell, 1);
  loseOwnerAndEndpoint(cell);
  await cell.advance(REPETITION_MILLISECONDS);
  t.is(cell.fleet.history.length, 2);
  t.deepEqual(cell.fleet.violations(), []);
});

// An endpoint without stored runs began without any bound in the new term.
test('a new owner bounds the leases of an endpoint also if no run was stored for it', async (t) => {
  const cell = await startCell({
    durationOf: ({ taskId }) => (taskId.startsWith(createJobId(1)) ? 100 : RUN_MILLISECONDS),
  });
  restartBehindCut(cell);
  await startJob(cell, 1);
  await cell.advance(300);
  cell.killOwner();
  cell.startProcess('second');
  await cell.advance(1_300);
  await startJob(cell, 2);
  cell.fleet.faultsOf('endpoint-0').isCutOff = true;
  cell.fleet.faultsOf('endpoint-1').isCutOff = false;
  await cell.advance(20_000);
  t.is(cell.fleet.history.length, 3);
  t.deepEqual(cell.fleet.violations(), []);
});

// Waiting for the longest lease everywhere would keep lasting tasks away for more than the 9 s that their users allow.
test('a lasting task is at work again within 9 s after its owner and its endpoint are lost together', async (t) => {
  const cell = await startCell({ durationOf: () => Infinity });
  await startJob(cell, 1, { isLongRunning: true });
  await cell.advance(600);
  const lostAt = cell.clock.monotonicMilliseconds();
  cell.fleet.kill('endpoint-0');
  loseOwnerAndEndpoint(cell);
  await advanceUntil(cell, () => cell.fleet.history.length > 1, 20_000);
  t.true(cell.clock.monotonicMilliseconds() - lostAt <= 9_000);
  t.deepEqual(cell.fleet.violations(), []);
});
