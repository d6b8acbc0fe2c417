import test from 'ava';
import type { ExecutionContext } from 'ava';

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
const ORDER_DELAY_MILLISECONDS = 3_000;
/** Time within which the owner notices that an incarnation was replaced behind a cut. */
const NOTICE_MILLISECONDS = 3_000;

/** Starts a cell with two endpoints, of which the second is cut off, so that all tasks run on the first. */
async function startCell(options: Partial<EndpointFleetOptions> = {}): Promise<SchedulerCell> {
  const cell = createSchedulerCell({ count: 2, durationOf: () => RUN_MILLISECONDS, ...options });
  cell.startProcess('first');
  await cell.advance(600);
  cell.fleet.faultsOf('endpoint-1').isCutOff = true;
  await cell.advance(AGE_MILLISECONDS);
  return cell;
}

async function submit(cell: SchedulerCell, index: number): Promise<void> {
  const specification = createJobSpecification({ estimatedMilliseconds: RUN_MILLISECONDS });
  await cell.call({ path: `/work/${createJobId(index)}`, specification });
}

/** Submits a job whose start is sent, gets no answer, and is carried out late. */
async function submitWithLateStart(cell: SchedulerCell, index: number): Promise<void> {
  const faults = cell.fleet.faultsOf('endpoint-0');
  faults.unansweredStartDelayMilliseconds = ORDER_DELAY_MILLISECONDS;
  await submit(cell, index);
  await cell.advance(100);
  faults.unansweredStartDelayMilliseconds = null;
}

/** The incarnation is replaced under its id, behind a cut that goes on. */
function restartCutOff(cell: SchedulerCell): void {
  cell.fleet.faultsOf('endpoint-0').isCutOff = true;
  cell.fleet.restart('endpoint-0');
}

/** The incarnation is replaced under its id; a call that waits at it does not notice. */
function restartBehindCut(cell: SchedulerCell): void {
  restartCutOff(cell);
  cell.fleet.faultsOf('endpoint-0').isCutOff = false;
}

function moveCutToFirstEndpoint(cell: SchedulerCell): void {
  cell.fleet.faultsOf('endpoint-0').isCutOff = true;
  cell.fleet.faultsOf('endpoint-1').isCutOff = false;
}

/** Leaves room on the second endpoint only. */
function removeRoom(cell: SchedulerCell): void {
  cell.fleet.resize('endpoint-0', { processors: 0, memoryBytes: 0, accelerators: 0 });
  cell.fleet.faultsOf('endpoint-1').isCutOff = false;
}

async function awaitStarts(
  t: ExecutionContext,
  cell: SchedulerCell,
  starts: number,
): Promise<void> {
  await advanceUntil(cell, () => cell.fleet.history.length >= starts, 2 * ORDER_DELAY_MILLISECONDS);
  t.is(cell.fleet.history.length, starts);
}

test('a late hold of a former incarnation does not prolong a run beyond the repetition of its task', async (t) => {
  const cell = await startCell();
  const faults = cell.fleet.faultsOf('endpoint-0');
  faults.unansweredHoldDelayMilliseconds = ORDER_DELAY_MILLISECONDS;
  await cell.advance(1_800);
  faults.unansweredHoldDelayMilliseconds = null;
  restartBehindCut(cell);
  await submit(cell, 1);
  await awaitStarts(t, cell, 1);
  await cell.advance(ORDER_DELAY_MILLISECONDS);
  moveCutToFirstEndpoint(cell);
  await cell.advance(25_000);
  t.is(cell.fleet.history.length, 2);
  t.deepEqual(cell.fleet.violations(), []);
});

test('a late start in an incarnation that is heard from once is repeated only after its lease', async (t) => {
  const cell = await startCell();
  await submitWithLateStart(cell, 1);
  restartCutOff(cell);
  await awaitStarts(t, cell, 1);
  cell.fleet.faultsOf('endpoint-0').isCutOff = false;
  await cell.advance(500);
  moveCutToFirstEndpoint(cell);
  await cell.advance(25_000);
  t.is(cell.fleet.history.length, 2);
  t.deepEqual(cell.fleet.violations(), []);
});

test('a late start in an incarnation that is never heard from is repeated only after its lease', async (t) => {
  const cell = await startCell();
  await submitWithLateStart(cell, 1);
  restartCutOff(cell);
  cell.fleet.faultsOf('endpoint-1').isCutOff = false;
  await cell.advance(40_000);
  t.is(cell.fleet.history.length, 2);
  t.deepEqual(cell.fleet.violations(), []);
});

test('a new owner does not repeat a task whose start by the former owner is carried out late', async (t) => {
  const cell = await startCell();
  await submitWithLateStart(cell, 1);
  cell.killOwner();
  cell.startProcess('second');
  cell.fleet.faultsOf('endpoint-1').isCutOff = false;
  await cell.advance(ORDER_DELAY_MILLISECONDS - 150);
  restartBehindCut(cell);
  await cell.advance(20_000);
  t.deepEqual(cell.fleet.violations(), []);
});

test('a late start in an incarnation that was not heard from before does not overlap with a repetition', async (t) => {
  const cell = await startCell();
  restartBehindCut(cell);
  await cell.advance(NOTICE_MILLISECONDS);
  await submitWithLateStart(cell, 1);
  removeRoom(cell);
  await cell.advance(ORDER_DELAY_MILLISECONDS - 150);
  restartBehindCut(cell);
  await cell.advance(20_000);
  t.deepEqual(cell.fleet.violations(), []);
});

test('a task whose start was given up runs at once at the endpoint to which it is bound', async (t) => {
  const cell = await startCell({ durationOf: () => 400 });
  restartBehindCut(cell);
  await cell.advance(NOTICE_MILLISECONDS);
  await submitWithLateStart(cell, 1);
  await cell.advance(2_000);
  const answer = await cell.call({ action: 'status', path: `/work/${createJobId(1)}` });
  t.deepEqual(answer, { kind: 'status', status: 'completed' });
  t.deepEqual(cell.fleet.violations(), []);
});

test('a late start of a task that is still waiting is taken up', async (t) => {
  const cell = await startCell();
  restartBehindCut(cell);
  await cell.advance(NOTICE_MILLISECONDS);
  await submitWithLateStart(cell, 1);
  removeRoom(cell);
  await cell.advance(ORDER_DELAY_MILLISECONDS - 150);
  restartBehindCut(cell);
  await cell.advance(20_000);
  t.is(cell.fleet.history.length, 1);
  t.is(cell.fleet.history[0]!.kind, null);
});

// The endpoint has answered all along, so that the task is started elsewhere at once.
test('a late start in the first incarnation that follows another does not overlap with a repetition', async (t) => {
  const cell = await startCell();
  await submitWithLateStart(cell, 1);
  removeRoom(cell);
  await cell.advance(ORDER_DELAY_MILLISECONDS - 150);
  restartBehindCut(cell);
  await cell.advance(20_000);
  t.deepEqual(cell.fleet.violations(), []);
});

// Nothing but time rules out a start in an incarnation that has not answered yet.
test('a late start does not repeat a task that was repeated and is done', async (t) => {
  const cell = await startCell({ durationOf: () => 400 });
  restartBehindCut(cell);
  await cell.advance(NOTICE_MILLISECONDS);
  await submitWithLateStart(cell, 1);
  await cell.advance(ORDER_DELAY_MILLISECONDS - 150);
  restartBehindCut(cell);
  await cell.advance(2_000);
  t.deepEqual(cell.fleet.violations(), []);
});
