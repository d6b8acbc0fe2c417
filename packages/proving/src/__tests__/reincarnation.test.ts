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

const TASKS = 4;

/** The incarnation is replaced under its id, unlisted yet; a call that waits at it does not notice. */
function restartBehindCut(cell: SchedulerCell): void {
  cell.isDirectoryReadable = false;
  const faults = cell.fleet.faultsOf('endpoint-0');
  faults.isCutOff = true;
  cell.fleet.restart('endpoint-0');
  faults.isCutOff = false;
}

async function createCell(options: Partial<EndpointFleetOptions> = {}): Promise<SchedulerCell> {
  const cell = createSchedulerCell({ count: 1, ...options });
  cell.startProcess('first');
  await cell.advance(600);
  return cell;
}

async function submit(cell: SchedulerCell, index: number): Promise<void> {
  const specification = createJobSpecification({ count: TASKS });
  await cell.call({ path: `/work/${createJobId(index)}`, specification });
}

async function awaitStarts(
  t: ExecutionContext,
  cell: SchedulerCell,
  starts: number,
): Promise<void> {
  await advanceUntil(cell, () => cell.fleet.history.length >= starts, 1_000);
  t.is(cell.fleet.history.length, starts);
}

async function checkCompleted(
  t: ExecutionContext,
  cell: SchedulerCell,
  index: number,
): Promise<void> {
  const answer = await cell.call({ action: 'status', path: `/work/${createJobId(index)}` });
  t.deepEqual(answer, { kind: 'status', status: 'completed' });
  t.deepEqual(cell.fleet.violations(), []);
}

test('tasks that begin in an incarnation that the owner does not know yet run once', async (t) => {
  const cell = await createCell({ count: 2, durationOf: () => 1_500 });
  restartBehindCut(cell);
  await submit(cell, 1);
  await awaitStarts(t, cell, TASKS);
  cell.isDirectoryReadable = true;
  await cell.advance(6_000);
  t.is(cell.fleet.history.length, TASKS);
  await checkCompleted(t, cell, 1);
});

test('tasks in an unknown incarnation that is cut off are repeated only once its leases have expired', async (t) => {
  const cell = await createCell({ count: 2, durationOf: () => 20_000 });
  cell.fleet.faultsOf('endpoint-1').isCutOff = true;
  // The clock of the former incarnation is ahead by more than the longest lease.
  await cell.advance(12_000);
  restartBehindCut(cell);
  await submit(cell, 1);
  await awaitStarts(t, cell, TASKS);
  cell.fleet.faultsOf('endpoint-0').isCutOff = true;
  cell.fleet.faultsOf('endpoint-1').isCutOff = false;
  cell.isDirectoryReadable = true;
  await cell.advance(24_000);
  t.true(cell.fleet.history.length > TASKS);
  await cell.advance(20_000);
  await checkCompleted(t, cell, 1);
});

test('acknowledgements of the former incarnation discard no ends of a later one', async (t) => {
  const cell = await createCell({ durationOf: () => 10 });
  await submit(cell, 1);
  await cell.advance(700);
  restartBehindCut(cell);
  await submit(cell, 2);
  await awaitStarts(t, cell, 2 * TASKS);
  cell.isDirectoryReadable = true;
  await cell.advance(6_000);
  t.is(cell.fleet.history.length, 2 * TASKS);
  await checkCompleted(t, cell, 2);
});

test('a new owner adopts tasks of an incarnation that the former owner did not know', async (t) => {
  const cell = await createCell({ count: 2, durationOf: () => 4_000 });
  restartBehindCut(cell);
  await submit(cell, 1);
  await awaitStarts(t, cell, TASKS);
  cell.killOwner();
  cell.isDirectoryReadable = true;
  cell.startProcess('second');
  await cell.advance(9_000);
  t.is(cell.fleet.history.length, TASKS);
  await checkCompleted(t, cell, 1);
});

// A stop at the former incarnation rules out no late execution of the start by the next one.
test('a start that is carried out late by a later incarnation does not run its task twice', async (t) => {
  const cell = await createCell({ count: 2, durationOf: () => 1_500 });
  const faults = cell.fleet.faultsOf('endpoint-0');
  cell.fleet.faultsOf('endpoint-1').isCutOff = true;
  await cell.advance(2_000);
  faults.unansweredStartDelayMilliseconds = 3_000;
  await submit(cell, 1);
  await cell.advance(100);
  faults.unansweredStartDelayMilliseconds = null;
  cell.fleet.faultsOf('endpoint-1').isCutOff = false;
  await advanceUntil(cell, () => cell.fleet.history.length === TASKS, 2_000);
  restartBehindCut(cell);
  await cell.advance(6_000);
  t.deepEqual(cell.fleet.violations(), []);
});
