import test from 'ava';

import { createRunningCell } from './testCell.js';
import type { TestCell } from './testCell.js';

function countExecutions(cell: TestCell): number {
  return cell.workers.flatMap((worker) => worker.executions).length;
}

async function freeProcessors(cell: TestCell, partitions: number): Promise<number> {
  const free: number[] = [];
  for (let partition = 0; partition < partitions; partition += 1) {
    const views = (await cell.call(partition, 'worker.list', { partition })).unwrap();
    free.push(...views.map((view) => view.free.processors));
  }
  return free.reduce((sum, processors) => sum + processors, 0);
}

test('a gang starts all its tasks together over several partitions', async (t) => {
  const { cell } = await createRunningCell({ partitionCount: 3, workers: [0, 1, 2] });
  const jobId = await cell.submit(1, { kind: 'gang', tasks: 12 });
  await cell.advanceUntil(() => countExecutions(cell) > 0, 2_000);
  await cell.advance(20);
  t.is(countExecutions(cell), 12);
  t.is((await cell.read(jobId)).state, 'running');
});

test('a gang that does not fit now starts no task and holds no room', async (t) => {
  const { cell } = await createRunningCell({ partitionCount: 2, workers: [0, 1] });
  const small = await cell.submit(0, { tasks: 3 });
  await cell.advanceUntil(() => countExecutions(cell) === 3);
  const jobId = await cell.submit(1, { kind: 'gang', tasks: 6 });
  await cell.advance(10_000);
  t.is(countExecutions(cell), 3);
  t.is((await cell.read(jobId)).state, 'queued');
  const records = [0, 1].flatMap((partition) => cell.journal(partition).records);
  t.is(records.filter(({ type }) => type === 'task-intent').length, 3);
  await cell.cancel(jobId);
  await cell.advance(200);
  t.is(await freeProcessors(cell, 2), 5);
  cell.workers.forEach((worker) => worker.finish(`${small}/0`, 'succeeded'));
  t.is(cell.usedTasks.get('harbour'), 3);
});

test('a gang that waits is started when there is room for all', async (t) => {
  const { cell } = await createRunningCell({ partitionCount: 2, workers: [0, 1] });
  const small = await cell.submit(0, { tasks: 3 });
  await cell.advanceUntil(() => countExecutions(cell) === 3);
  await cell.submit(1, { kind: 'gang', tasks: 6 });
  await cell.advance(3_000);
  t.is(countExecutions(cell), 3);
  [0, 1, 2].forEach((index) => {
    cell.workers.forEach((worker) => worker.finish(`${small}/${index}`, 'succeeded'));
  });
  await cell.advanceUntil(() => countExecutions(cell) === 9, 10_000);
  t.pass();
});

test('two gangs that do not fit together make progress one after the other', async (t) => {
  const { cell } = await createRunningCell({ partitionCount: 4, workers: [0, 1, 2, 3] });
  const jobs = await Promise.all([
    cell.submit(1, { kind: 'gang', tasks: 10, idempotent: true }),
    cell.submit(3, { kind: 'gang', tasks: 10, idempotent: true }),
  ]);
  await cell.advanceUntil(() => countExecutions(cell) >= 10, 20_000);
  await cell.advance(3_000);
  t.is(countExecutions(cell), 10);
  const running = new Set(
    cell.workers.flatMap((worker) => worker.running()).map(({ taskId }) => taskId.split('/')[0]),
  );
  t.is(running.size, 1);
  cell.workers.forEach((worker) =>
    worker.running().forEach(({ taskId }) => worker.finish(taskId, 'succeeded')),
  );
  await cell.advanceUntil(() => countExecutions(cell) === 20, 20_000);
  t.is(jobs.length, 2);
});

test('a gang whose intents come late is not started in part', async (t) => {
  const { cell } = await createRunningCell({ workers: 2 });
  await cell.submit(0, { kind: 'gang', tasks: 6 });
  cell.journal(0).fault = 'down';
  await cell.advance(1_900);
  cell.journal(0).fault = 'none';
  const started: number[] = [];
  for (let step = 0; step < 600; step += 1) {
    await cell.advance(5);
    started.push(cell.workers.flatMap((worker) => worker.running()).length);
  }
  t.is(started.at(-1), 6);
  t.deepEqual([...new Set(started)], [0, 6]);
});

test('a failed task of a gang that may not run again stops the others', async (t) => {
  const { cell } = await createRunningCell({ workers: 2 });
  const jobId = await cell.submit(0, { kind: 'gang', tasks: 6 });
  await cell.advanceUntil(() => countExecutions(cell) === 6);
  await cell.advance(100);
  cell.workers.forEach((worker) => worker.finish(`${jobId}/2`, 'failed'));
  await cell.advance(6_000);
  const view = await cell.read(jobId);
  t.is(view.state, 'failed');
  t.is(cell.workers.flatMap((worker) => worker.running()).length, 0);
  t.is(countExecutions(cell), 6);
});
