import test from 'ava';

import { createRunningCell } from './testCell.js';

test('a batch is accepted, started once, and its result can be read', async (t) => {
  const { cell, daemon } = await createRunningCell({ workers: 2 });
  const jobId = await cell.submit(0, { tasks: 6 });
  await cell.advanceUntil(() => cell.workers.flatMap((worker) => worker.running()).length === 6);
  t.is((await cell.read(jobId)).state, 'running');
  cell.workers.forEach((worker) => {
    worker.running().forEach(({ taskId }) => worker.finish(taskId, 'succeeded', 'sorted'));
  });
  await cell.advance(2_500);
  const view = await cell.read(jobId);
  t.is(view.state, 'succeeded');
  t.deepEqual(
    view.tasks.map(({ result }) => result),
    Array.from({ length: 6 }, () => 'sorted'),
  );
  t.is(cell.workers.flatMap((worker) => worker.executions).length, 6);
  t.is(cell.workers.flatMap((worker) => worker.acknowledged).length, 6);
  t.is(cell.usedTasks.get('harbour'), 0);
  t.is(daemon.counters.read('tasks.started'), 6);
});
