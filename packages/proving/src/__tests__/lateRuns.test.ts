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

/** Age of an incarnation; the deadlines of its orders are far ahead of the clocks of later ones. */
const AGE_MILLISECONDS = 12_000;
const RUN_MILLISECONDS = 60_000;
const SHORT_RUN_MILLISECONDS = 100;
const ORDER_DELAY_MILLISECONDS = 3_000;

function restartCutOff(cell: SchedulerCell): void {
  cell.fleet.faultsOf('endpoint-0').isCutOff = true;
  cell.fleet.restart('endpoint-0');
}

function restartBehindCut(cell: SchedulerCell): void {
  restartCutOff(cell);
  cell.fleet.faultsOf('endpoint-0').isCutOff = false;
}

/** Starts a cell in which only the first of two endpoints can be reached. */
async function startUnreplacedCell(options: Partial<EndpointFleetOptions>): Promise<SchedulerCell> {
  const cell = createSchedulerCell({ count: 2, ...options });
  cell.startProcess('first');
  await cell.advance(600);
  cell.fleet.faultsOf('endpoint-1').isCutOff = true;
  await cell.advance(AGE_MILLISECONDS);
  return cell;
}

/** The same, and the first endpoint has been replaced under its id. */
async function startCell(options: Partial<EndpointFleetOptions>): Promise<SchedulerCell> {
  const cell = await startUnreplacedCell(options);
  restartBehindCut(cell);
  await cell.advance(AGE_MILLISECONDS);
  return cell;
}

async function submit(
  cell: SchedulerCell,
  index: number,
  step: Partial<StepSpecification> = {},
): Promise<void> {
  const specification = createJobSpecification({ estimatedMilliseconds: 500, ...step });
  await cell.call({ path: `/work/${createJobId(index)}`, specification });
}

async function submitWithLateStart(
  cell: SchedulerCell,
  index: number,
  delayMilliseconds = ORDER_DELAY_MILLISECONDS,
  step: Partial<StepSpecification> = {},
): Promise<void> {
  const faults = cell.fleet.faultsOf('endpoint-0');
  faults.unansweredStartDelayMilliseconds = delayMilliseconds;
  await submit(cell, index, step);
  await cell.advance(100);
  faults.unansweredStartDelayMilliseconds = null;
}

function removeRoom(cell: SchedulerCell): void {
  cell.fleet.resize('endpoint-0', { processors: 0, memoryBytes: 0, accelerators: 0 });
  cell.fleet.faultsOf('endpoint-1').isCutOff = false;
}

test('the first hold at a later incarnation does not discard the end of a late run', async (t) => {
  const cell = await startCell({ durationOf: () => SHORT_RUN_MILLISECONDS });
  await submit(cell, 2);
  await submit(cell, 3);
  await cell.advance(1_000);
  await submitWithLateStart(cell, 1);
  removeRoom(cell);
  await cell.advance(ORDER_DELAY_MILLISECONDS - 150);
  restartBehindCut(cell);
  await cell.advance(20_000);
  t.deepEqual(cell.fleet.violations(), []);
});

test('a late run that is done ends its task although a later run was lost with its incarnation', async (t) => {
  const cell = await startCell({
    durationOf: ({ run }) => (run === 1 ? SHORT_RUN_MILLISECONDS : RUN_MILLISECONDS),
  });
  await submitWithLateStart(cell, 1);
  await cell.advance(ORDER_DELAY_MILLISECONDS - 150);
  restartBehindCut(cell);
  await cell.advance(10_000);
  t.deepEqual(cell.fleet.violations(), []);
});

test('a new owner does not repeat a late run that the former owner has taken up', async (t) => {
  const cell = await startCell({ durationOf: () => RUN_MILLISECONDS });
  // Stragglers among filling tasks are not moved.
  await submitWithLateStart(cell, 1, ORDER_DELAY_MILLISECONDS, { isFilling: true });
  removeRoom(cell);
  await cell.advance(ORDER_DELAY_MILLISECONDS - 150);
  restartBehindCut(cell);
  await cell.advance(23_000);
  t.is(cell.fleet.history.length, 1);
  cell.killOwner();
  cell.fleet.faultsOf('endpoint-0').isCutOff = true;
  cell.startProcess('second');
  await cell.advance(20_000);
  t.deepEqual(cell.fleet.violations(), []);
});

test('a late hold that follows a late start does not prolong its run beyond the repetition', async (t) => {
  const cell = await startCell({ durationOf: () => RUN_MILLISECONDS });
  const faults = cell.fleet.faultsOf('endpoint-0');
  await submitWithLateStart(cell, 1, 8_000);
  removeRoom(cell);
  await cell.advance(4_400);
  faults.unansweredHoldDelayMilliseconds = 9_500;
  await cell.advance(1_800);
  faults.unansweredHoldDelayMilliseconds = null;
  restartCutOff(cell);
  await cell.advance(40_000);
  t.deepEqual(cell.fleet.violations(), []);
});

test('a new owner does not repeat a run whose start was sent long after its state was written', async (t) => {
  const cell = await startCell({ durationOf: () => RUN_MILLISECONDS });
  const { capacity } = cell.fleet.entries().find(({ endpointId }) => endpointId === 'endpoint-0')!;
  const storeFaults = cell.store.faultsOf('first');
  const faults = cell.fleet.faultsOf('endpoint-0');
  cell.fleet.resize('endpoint-0', { processors: 0, memoryBytes: 0, accelerators: 0 });
  await cell.advance(2_000);
  await submit(cell, 1, { isFilling: true });
  Object.assign(storeFaults, { lostAnswerFraction: 1, unansweredWriteDelayMilliseconds: 12_000 });
  cell.fleet.resize('endpoint-0', capacity);
  faults.unansweredStartDelayMilliseconds = 11_500;
  await cell.advance(13_500);
  Object.assign(storeFaults, { lostAnswerFraction: 0, unansweredWriteDelayMilliseconds: null });
  await advanceUntil(cell, () => cell.metrics.expose().includes('starts_sent_total 1'), 3_000);
  const sentAt = cell.clock.monotonicMilliseconds();
  await cell.advance(20);
  cell.killOwner();
  faults.unansweredStartDelayMilliseconds = null;
  removeRoom(cell);
  cell.startProcess('second');
  await cell.advance(11_350 - (cell.clock.monotonicMilliseconds() - sentAt));
  restartBehindCut(cell);
  await cell.advance(10_000);
  t.deepEqual(cell.fleet.violations(), []);
});

test('a task that waits is bound to the endpoint of its lost start once that endpoint falls silent', async (t) => {
  const cell = await startUnreplacedCell({ durationOf: () => RUN_MILLISECONDS });
  await submitWithLateStart(cell, 1, 6_000);
  cell.fleet.resize('endpoint-0', { processors: 0, memoryBytes: 0, accelerators: 0 });
  await cell.advance(3_000);
  restartCutOff(cell);
  await cell.advance(3_500);
  cell.fleet.faultsOf('endpoint-1').isCutOff = false;
  await cell.advance(20_000);
  t.deepEqual(cell.fleet.violations(), []);
});
