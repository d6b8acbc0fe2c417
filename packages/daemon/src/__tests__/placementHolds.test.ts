import test from 'ava';

import { createConfiguration, createRunningCell } from './testCell.js';
import type { TestCell } from './testCell.js';

const AGING_MILLISECONDS = 10_000;
const SMALL_TASK_MILLISECONDS = 1_500;

async function createAgingCell(workers: readonly number[]) {
  const created = await createRunningCell({ partitionCount: 2, workers });
  created.cell.configure(
    createConfiguration(
      { harbour: 1 },
      { order: 'waiting-time-first', agingMilliseconds: AGING_MILLISECONDS },
    ),
  );
  return created;
}

/** Sends more small tasks than the cell can run, until something holds. */
async function floodUntil(
  cell: TestCell,
  condition: () => boolean,
  limitMilliseconds: number,
): Promise<number> {
  const startedAt = cell.clock.monotonicMilliseconds();
  const elapsed = (): number => cell.clock.monotonicMilliseconds() - startedAt;
  while (!condition() && elapsed() < limitMilliseconds) {
    await cell.submit(0, { tasks: 1 });
    await cell.submit(1, { tasks: 1 });
    await cell.advance(200);
  }
  return elapsed();
}

/** A cell of eight processors, whose tasks end after a second or more. */
async function createBusyCell(): Promise<TestCell> {
  const { cell } = await createAgingCell([0, 1]);
  cell.workers.forEach((one) => {
    const worker = one;
    worker.onStart = ({ taskId }) => {
      const jitter = 700 * (worker.executions.length % 4);
      cell.clock.setTimer(
        () => worker.finish(taskId, 'succeeded'),
        SMALL_TASK_MILLISECONDS + jitter,
      );
    };
  });
  await cell.submit(0, { tasks: 8 });
  // Older small tasks would rightly go before the work that the tests are about.
  await cell.advance(500);
  return cell;
}

function startsOf(cell: TestCell, jobId: string): number {
  return cell.workers
    .flatMap(({ executions }) => executions)
    .filter(({ taskId }) => taskId.startsWith(`${jobId}/`)).length;
}

function countRunning(cell: TestCell): number {
  return cell.workers.flatMap((worker) => worker.running()).length;
}

test('a gang starts soon after its aging bound, despite a stream of small tasks', async (t) => {
  const cell = await createBusyCell();
  const gang = await cell.submit(0, { kind: 'gang', tasks: 8 });
  const limit = AGING_MILLISECONDS + 8_000;
  const waited = await floodUntil(cell, () => startsOf(cell, gang) === 8, limit);
  t.true(waited < limit, `${startsOf(cell, gang)} tasks started after ${waited} ms`);
});

test('a task as large as a worker starts soon after its aging bound', async (t) => {
  const cell = await createBusyCell();
  const resources = { processors: 4, memoryBytes: 4_000, accelerators: 0 };
  const large = await cell.submit(1, { resources });
  const limit = AGING_MILLISECONDS + 8_000;
  const waited = await floodUntil(cell, () => startsOf(cell, large) === 1, limit);
  t.true(waited < limit, `not started after ${waited} ms`);
});

test('two gangs that wait for the same room start one after the other', async (t) => {
  const cell = await createBusyCell();
  const gangs = [
    await cell.submit(0, { kind: 'gang', tasks: 6 }),
    await cell.submit(1, { kind: 'gang', tasks: 6 }),
  ];
  const isStarted = (jobId: string): boolean => startsOf(cell, jobId) === 6;
  const limit = AGING_MILLISECONDS + 15_000;
  const waited = await floodUntil(cell, () => gangs.every(isStarted), limit);
  t.true(waited < limit, `${gangs.filter(isStarted).length} started after ${waited} ms`);
});

test('room held for a gang is given up when the gang is cancelled', async (t) => {
  const { cell } = await createAgingCell([0, 1]);
  const first = await cell.submit(0, { tasks: 1 });
  await cell.advanceUntil(() => startsOf(cell, first) === 1);
  const gang = await cell.submit(0, { kind: 'gang', tasks: 8 });
  await cell.advance(AGING_MILLISECONDS + 3_000);
  const small = await cell.submit(1, { tasks: 7 });
  await cell.advance(2_000);
  t.is(startsOf(cell, small), 0);
  await cell.cancel(gang);
  await cell.advance(1_000);
  t.is(startsOf(cell, small), 7);
  t.is(countRunning(cell), 8);
});

test('room held for a gang is given up when the owner of the gang is lost', async (t) => {
  const { cell, daemon } = await createAgingCell([1, 1]);
  const first = await cell.submit(1, { tasks: 1 });
  await cell.advanceUntil(() => startsOf(cell, first) === 1);
  await cell.submit(0, { kind: 'gang', tasks: 8 });
  await cell.advance(AGING_MILLISECONDS + 3_000);
  const small = await cell.submit(1, { tasks: 7 });
  await cell.advance(2_000);
  t.is(startsOf(cell, small), 0);
  cell.crashOwner(daemon, 0);
  await cell.advance(7_000);
  t.is(startsOf(cell, small), 7);
});
