import test from 'ava';

import { createConfiguration, createRunningCell } from './testCell.js';
import type { TestCell } from './testCell.js';

/** Patience, the renewal that reports the stopped task, and the next try. */
const URGENT_BOUND_MILLISECONDS = 2_500;
const POLICY = { order: 'share-first', agingMilliseconds: 60_000 } as const;

async function createSharedCell(partitionCount: number, workers: readonly number[]) {
  const created = await createRunningCell({ partitionCount, workers });
  created.cell.configure(createConfiguration({ harbour: 1, quarry: 1 }, POLICY));
  return created;
}

function startsOf(cell: TestCell, jobId: string): number {
  return cell.workers
    .flatMap(({ executions }) => executions)
    .filter(({ taskId }) => taskId.startsWith(`${jobId}/`)).length;
}

function countRunning(cell: TestCell, team: string): number {
  return cell.workers.flatMap((worker) => worker.running()).filter((start) => start.team === team)
    .length;
}

test('an urgent task on a full cell starts within the bound, and the stopped task runs again', async (t) => {
  const { cell, daemon } = await createSharedCell(2, [0, 1]);
  const low = await cell.submit(0, { tasks: 8, idempotent: true }, 'low', 'quarry');
  await cell.advanceUntil(() => startsOf(cell, low) === 8);
  await cell.advance(1_500);
  const urgent = await cell.submit(1, { urgent: true });
  await cell.advanceUntil(() => startsOf(cell, urgent) === 1, URGENT_BOUND_MILLISECONDS);
  t.is(daemon.counters.snapshot()['tasks.reclaimed'], 1);
  t.is(countRunning(cell, 'quarry'), 7);
  cell.workers.forEach((worker) => worker.finish(`${urgent}/0`, 'succeeded'));
  await cell.advanceUntil(() => startsOf(cell, low) === 9, 5_000);
  cell.workers.forEach((worker) =>
    worker.running().forEach(({ taskId }) => worker.finish(taskId, 'succeeded')),
  );
  await cell.advance(3_000);
  const views = (await cell.call(0, 'job.list', { partition: 0, team: 'quarry' })).unwrap();
  t.deepEqual(
    views.map(({ state }) => state),
    ['succeeded'],
  );
});

test('tasks that may run only once never give way to an urgent task', async (t) => {
  const { cell, daemon } = await createSharedCell(1, [0]);
  const low = await cell.submit(0, { tasks: 4 }, 'low', 'quarry');
  await cell.advanceUntil(() => startsOf(cell, low) === 4);
  const urgent = await cell.submit(0, { urgent: true });
  await cell.advance(10_000);
  t.is(startsOf(cell, urgent), 0);
  t.is(countRunning(cell, 'quarry'), 4);
  t.is(daemon.counters.snapshot()['tasks.reclaimed'] ?? 0, 0);
  cell.workers.forEach((worker) => worker.finish(`${low}/1`, 'succeeded'));
  await cell.advanceUntil(() => startsOf(cell, urgent) === 1, 2_000);
  t.is(startsOf(cell, low), 4);
});

test('a team above its share gives room to one below it, down to its share', async (t) => {
  const { cell } = await createSharedCell(2, [0, 1]);
  const above = await cell.submit(0, { tasks: 12, idempotent: true }, 'above', 'quarry');
  await cell.advanceUntil(() => startsOf(cell, above) === 8);
  await cell.submit(1, { tasks: 8, idempotent: true });
  await cell.advanceUntil(() => countRunning(cell, 'harbour') === 4, 15_000);
  await cell.advance(10_000);
  t.is(countRunning(cell, 'harbour'), 4);
  t.is(countRunning(cell, 'quarry'), 4);
  t.is(startsOf(cell, above), 8);
});

test('after a takeover of the workers tasks give way again once their owners have told the terms', async (t) => {
  const { cell, daemon } = await createSharedCell(2, [0]);
  const low = await cell.submit(1, { tasks: 4, idempotent: true }, 'low', 'quarry');
  await cell.advanceUntil(() => startsOf(cell, low) === 4);
  const other = cell.createDaemon('second');
  cell.crashOwner(daemon, 0);
  await cell.takeOver(other, 0);
  await cell.advance(3_000);
  const urgent = await cell.submit(0, { urgent: true });
  await cell.advanceUntil(() => startsOf(cell, urgent) === 1, URGENT_BOUND_MILLISECONDS);
  t.is(countRunning(cell, 'quarry'), 3);
});
