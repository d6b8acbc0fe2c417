import type { TaskStart } from '@chicorybend/common';
import test from 'ava';

import { createRunningCell } from './testCell.js';
import type { TestCell, TestWorker } from './testCell.js';

/** Ends each task shortly after its start. */
function endTasks(
  cell: TestCell,
  isFailing: (worker: TestWorker, start: TaskStart) => boolean,
): void {
  cell.workers.forEach((one) => {
    const worker = one;
    worker.onStart = (start) => {
      const end = isFailing(worker, start) ? 'failed' : 'succeeded';
      cell.clock.setTimer(() => worker.finish(start.taskId, end), 100);
    };
  });
}

/** Failures on three workers, each reported with a renewal after at most a second. */
const HOLD_LIMIT_MILLISECONDS = 3_500;
const POLL_MILLISECONDS = 100;

async function isHeldWithin(cell: TestCell, jobId: string, limit: number): Promise<boolean> {
  const endsAt = cell.clock.monotonicMilliseconds() + limit;
  while (cell.clock.monotonicMilliseconds() < endsAt) {
    if ((await cell.read(jobId)).state === 'held') return true;
    await cell.advance(POLL_MILLISECONDS);
  }
  return false;
}

test('a worker that fails every task is quarantined, and the jobs succeed elsewhere', async (t) => {
  const { cell } = await createRunningCell({ workers: 3 });
  const bad = cell.workers[0]!;
  endTasks(cell, (worker) => worker === bad);
  const jobs: string[] = [];
  for (let index = 0; index < 30; index += 1) {
    jobs.push(await cell.submit(0, { idempotent: true }));
    await cell.advance(150);
  }
  await cell.advance(15_000);
  const states = await Promise.all(jobs.map(async (jobId) => (await cell.read(jobId)).state));
  t.deepEqual([...new Set(states)], ['succeeded']);
  t.true(bad.executions.length <= 12, String(bad.executions.length));
  const views = (await cell.call(0, 'worker.list', { partition: 0 })).unwrap();
  t.true(
    views.filter(({ workerId }) => workerId !== bad.id).every(({ state }) => state === 'live'),
  );
});

test('a quarantined worker that recovered is used again after a probe', async (t) => {
  const { cell } = await createRunningCell({ workers: 1 });
  const [worker] = cell.workers;
  let isBroken = true;
  endTasks(cell, () => isBroken);
  for (let index = 0; index < 4; index += 1) await cell.submit(0, { tasks: 1 });
  await cell.advance(1_500);
  const quarantined = (await cell.call(0, 'worker.list', { partition: 0 })).unwrap();
  t.is(quarantined[0]?.state, 'quarantined');
  isBroken = false;
  const before = worker!.executions.length;
  const jobId = await cell.submit(0, { tasks: 3 });
  await cell.advanceUntil(() => worker!.executions.length > before);
  await cell.advance(50);
  t.is(worker!.executions.length, before + 1);
  await cell.advance(8_000);
  t.is((await cell.read(jobId)).state, 'succeeded');
});

test('a probe that was stopped is followed by another one only after the backoff', async (t) => {
  const { cell } = await createRunningCell({ workers: 1 });
  const [worker] = cell.workers;
  endTasks(cell, () => true);
  for (let index = 0; index < 4; index += 1) await cell.submit(0, { tasks: 1 });
  await cell.advance(1_500);
  worker!.onStart = () => {};
  const before = worker!.executions.length;
  const probe = await cell.submit(0, {});
  await cell.advanceUntil(() => worker!.executions.length > before);
  await cell.advance(100);
  const views = (await cell.call(0, 'worker.list', { partition: 0 })).unwrap();
  t.is(views[0]?.state, 'quarantined');
  const next = await cell.submit(0, {});
  await cell.cancel(probe);
  await cell.advance(1_500);
  t.is(worker!.running().length, 0);
  t.is(worker!.executions.length, before + 1);
  await cell.advanceUntil(() => worker!.executions.length > before + 1, 4_000);
  t.is(worker!.executions.at(-1)?.taskId, `${next}/0`);
});

test('a job that fails everywhere fails after three workers and quarantines none', async (t) => {
  const { cell } = await createRunningCell({ workers: 5 });
  const bad = await cell.submit(0, { idempotent: true });
  endTasks(cell, (_, { taskId }) => taskId.startsWith(bad));
  await cell.advance(15_000);
  t.is((await cell.read(bad)).state, 'failed');
  const used = cell.workers.filter(({ executions }) => executions.length > 0);
  t.is(used.length, 3);
  const good = await cell.submit(0, { tasks: 15 });
  await cell.advance(5_000);
  t.is((await cell.read(good)).state, 'succeeded');
  const views = (await cell.call(0, 'worker.list', { partition: 0 })).unwrap();
  t.true(views.every(({ state }) => state === 'live'));
});

test('a large job that fails on three workers is held and starts no more tasks', async (t) => {
  const { cell } = await createRunningCell({ workers: 3 });
  endTasks(cell, () => true);
  const jobId = await cell.submit(0, { tasks: 200, idempotent: true });
  await cell.advance(20_000);
  const view = await cell.read(jobId);
  t.true(view.state === 'held' || view.state === 'failed', view.state);
  const executions = cell.workers.flatMap((worker) => worker.executions).length;
  t.true(executions <= 36, String(executions));
});

test('a non-idempotent task that failed is not run again', async (t) => {
  const { cell } = await createRunningCell({ workers: 3 });
  endTasks(cell, () => true);
  const jobId = await cell.submit(0, {});
  await cell.advance(10_000);
  t.is((await cell.read(jobId)).state, 'failed');
  t.is(cell.workers.flatMap((worker) => worker.executions).length, 1);
});

/** Guards against a worker that an operator repaired and that waits for its next probe all the same. */
test('a quarantine that an operator lifts ends at once', async (t) => {
  const { cell } = await createRunningCell({ workers: 1 });
  const worker = cell.workers[0]!;
  let isBroken = true;
  endTasks(cell, () => isBroken);
  const lift = () => cell.call(0, 'worker.lift', { workerPartition: 0, workerId: worker.id });
  const early = await lift();
  t.like(early.isErr() && early.error, { failure: { code: 'not-quarantined' } });
  for (let index = 0; index < 4; index += 1) await cell.submit(0, { tasks: 1 });
  await cell.advance(1_500);
  isBroken = false;
  const before = worker.executions.length;
  const jobId = await cell.submit(0, { tasks: 3 });
  await cell.advance(1_000);
  t.is(worker.executions.length, before);
  t.is((await lift()).unwrap().state, 'live');
  await cell.advance(1_000);
  t.is(worker.executions.length, before + 3, 'all tasks are placed at once, not one as a probe');
  await cell.advance(2_000);
  t.is((await cell.read(jobId)).state, 'succeeded');
});

/** Guards against a held job that can only be cancelled, and against a release that a takeover forgets. */
test('a held job that an operator releases goes on, also at the next owner', async (t) => {
  const { cell, daemon } = await createRunningCell({ workers: 3 });
  let isBroken = true;
  endTasks(cell, () => isBroken);
  const jobId = await cell.submit(0, { tasks: 40, idempotent: true });
  const release = () => cell.call(0, 'job.release', { jobId });
  t.true(await isHeldWithin(cell, jobId, HOLD_LIMIT_MILLISECONDS));
  isBroken = false;
  t.not((await release()).unwrap().state, 'held');
  const again = await release();
  t.like(again.isErr() && again.error, { failure: { code: 'not-held' } });
  cell.crashOwner(daemon, 0);
  await cell.takeOver(cell.createDaemon('second'), 0);
  await cell.advance(15_000);
  t.is((await cell.read(jobId)).state, 'succeeded');
  const unknown = await cell.call(0, 'job.release', { jobId: '0-none' });
  t.like(unknown.isErr() && unknown.error, { failure: { code: 'unknown-job' } });
});

/** Guards against a release that is confirmed although the job has ended. */
test('a held job that has ended is not released', async (t) => {
  const { cell } = await createRunningCell({ workers: 3 });
  endTasks(cell, () => true);
  const jobId = await cell.submit(0, { tasks: 40, idempotent: true });
  t.true(await isHeldWithin(cell, jobId, HOLD_LIMIT_MILLISECONDS));
  await cell.cancel(jobId);
  await cell.advance(3_000);
  const released = await cell.call(0, 'job.release', { jobId });
  t.like(released.isErr() && released.error, { failure: { code: 'not-held' } });
});
