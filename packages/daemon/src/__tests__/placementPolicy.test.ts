import test from 'ava';

import { createConfiguration, createRunningCell } from './testCell.js';

test('a policy changed at run time orders the work that waits already', async (t) => {
  const { cell } = await createRunningCell({ workers: 1 });
  const [worker] = cell.workers;
  const shares = { harbour: 1, quarry: 1 };
  cell.configure(
    createConfiguration(shares, { order: 'waiting-time-first', agingMilliseconds: 3_600_000 }),
  );
  const long = await cell.submit(0, { tasks: 3 });
  const ending = await cell.submit(0, {}, 'ending', 'quarry');
  await cell.advanceUntil(() => worker!.executions.length === 4);
  // Harbour uses three quarters of the worker, and its task has waited ten times as long.
  const older = await cell.submit(0, {});
  await cell.advance(20_000);
  const newer = await cell.submit(0, {}, 'newer', 'quarry');
  await cell.advance(2_000);
  cell.configure(
    createConfiguration(shares, { order: 'share-first', agingMilliseconds: 3_600_000 }),
  );
  await cell.advance(1_000);
  worker!.finish(`${ending}/0`, 'succeeded');
  await cell.advanceUntil(() => worker!.executions.length === 5);
  t.is(worker!.executions[4]?.taskId, `${newer}/0`);
  worker!.finish(`${long}/0`, 'succeeded');
  await cell.advanceUntil(() => worker!.executions.length === 6);
  t.is(worker!.executions[5]?.taskId, `${older}/0`);
});
