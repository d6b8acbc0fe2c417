import { partitionOf } from '@chicorybend/common';
import test from 'ava';

import { createRunningCell } from './testCell.js';
import type { TestCell } from './testCell.js';

const AFTER_LAPSE_MILLISECONDS = 20_000;

function countExecutions(cell: TestCell): number {
  return cell.workers.flatMap((worker) => worker.executions).length;
}

async function startOne(cell: TestCell, isIdempotent: boolean) {
  const jobId = await cell.submit(0, { idempotent: isIdempotent });
  await cell.advanceUntil(() => countExecutions(cell) === 1);
  await cell.advance(100);
  const worker = cell.workers.find(({ executions }) => executions.length === 1)!;
  return { jobId, worker, taskId: `${jobId}/0` };
}

async function replaceOwner(cell: TestCell, daemon: Parameters<TestCell['crashOwner']>[0]) {
  cell.crashOwner(daemon, 0);
  await cell.advance(3_000);
  const successor = cell.createDaemon('second');
  await cell.takeOver(successor, 0);
  return successor;
}

test('a running task goes on through a takeover and its end is recorded', async (t) => {
  const { cell, daemon } = await createRunningCell({ workers: 2 });
  const { jobId, worker, taskId } = await startOne(cell, false);
  await replaceOwner(cell, daemon);
  await cell.advance(AFTER_LAPSE_MILLISECONDS);
  t.is((await cell.read(jobId)).tasks[0]?.state, 'running');
  t.is(worker.running().length, 1);
  worker.finish(taskId, 'succeeded', 7);
  await cell.advance(2_500);
  const view = await cell.read(jobId);
  t.is(view.state, 'succeeded');
  t.is(view.tasks[0]?.result, 7);
  t.is(countExecutions(cell), 1);
});

test('a task that ended while its partition had no owner is recorded and not run again', async (t) => {
  const { cell, daemon } = await createRunningCell({ workers: 2 });
  const { jobId, worker, taskId } = await startOne(cell, true);
  cell.crashOwner(daemon, 0);
  worker.finish(taskId, 'succeeded', 8);
  const successor = cell.createDaemon('second');
  await cell.takeOver(successor, 0);
  await cell.advance(3_000);
  t.is((await cell.read(jobId)).state, 'succeeded');
  t.is(countExecutions(cell), 1);
  t.is(worker.acknowledged.length, 1);
});

test('a task whose start was never sent is started by the successor', async (t) => {
  const { cell, daemon } = await createRunningCell({ workers: 2 });
  cell.onCall = (method) => (method === 'worker.start' ? 'lost-before' : 'none');
  const jobId = await cell.submit(0, {});
  await cell.advanceUntil(() => cell.journal(0).records.some(({ type }) => type === 'task-intent'));
  cell.crashOwner(daemon, 0);
  cell.onCall = () => 'none';
  const successor = cell.createDaemon('second');
  await cell.takeOver(successor, 0);
  await cell.advanceUntil(() => countExecutions(cell) === 1);
  await cell.advance(1_000);
  const view = await cell.read(jobId);
  t.is(view.tasks[0]?.state, 'running');
  t.is(view.tasks[0]?.attempt, 2);
});

test('an intent without an end is looked up before anything is started for its task', async (t) => {
  const { cell, daemon } = await createRunningCell({ workers: 2 });
  const { jobId } = await startOne(cell, true);
  cell.crashOwner(daemon, 0);
  const calls: string[] = [];
  cell.onCall = (method) => {
    calls.push(method);
    return method === 'worker.lookup' ? 'not-sent' : 'none';
  };
  const successor = cell.createDaemon('second');
  await cell.takeOver(successor, 0);
  await cell.advance(5_000);
  t.true(calls.includes('worker.lookup'));
  t.false(calls.includes('worker.reserve'));
  t.is((await cell.read(jobId)).tasks[0]?.state, 'intended');
  t.is(countExecutions(cell), 1);
});

test('a silent worker at a takeover: a task that may not run twice ends as unknown', async (t) => {
  const { cell, daemon } = await createRunningCell({ workers: 2 });
  const { jobId, worker } = await startOne(cell, false);
  worker.fault = 'silent';
  await replaceOwner(cell, daemon);
  await cell.advance(10_000);
  t.is((await cell.read(jobId)).tasks[0]?.state, 'intended');
  await cell.advance(10_000);
  t.is((await cell.read(jobId)).state, 'unknown');
  t.is(countExecutions(cell), 1);
});

test('a silent worker at a takeover: an idempotent task runs again after the last lease', async (t) => {
  const { cell, daemon } = await createRunningCell({ workers: 2 });
  const { worker } = await startOne(cell, true);
  worker.fault = 'silent';
  cell.crashOwner(daemon, 0);
  const successor = cell.createDaemon('second');
  const tookOverAt = cell.clock.monotonicMilliseconds();
  await cell.takeOver(successor, 0);
  await cell.advanceUntil(() => countExecutions(cell) === 2);
  t.true(cell.clock.monotonicMilliseconds() - tookOverAt >= 12_500);
  t.is(worker.running().length, 0);
});

test('a worker that restarted during a takeover may have run the task', async (t) => {
  const { cell, daemon } = await createRunningCell({ workers: 1 });
  const { jobId, worker } = await startOne(cell, false);
  cell.crashOwner(daemon, 0);
  worker.restart();
  const successor = cell.createDaemon('second');
  await cell.takeOver(successor, 0);
  await cell.advance(AFTER_LAPSE_MILLISECONDS);
  t.is((await cell.read(jobId)).state, 'unknown');
  t.is(countExecutions(cell), 1);
});

test('a worker that died with the owner of its partition does not keep its tasks for ever', async (t) => {
  const { cell, daemon } = await createRunningCell({ partitionCount: 2, workers: [1, 1] });
  const { jobId, worker } = await startOne(cell, true);
  t.is(partitionOf(worker.id, 2), 1);
  worker.fault = 'silent';
  cell.crashOwner(daemon, 1);
  const successor = cell.createDaemon('second');
  await cell.takeOver(successor, 1);
  await cell.advanceUntil(() => countExecutions(cell) === 2);
  await cell.advance(100);
  t.is((await cell.read(jobId)).tasks[0]?.attempt, 2);
});

test('a takeover keeps upper limits charged for what runs', async (t) => {
  const { cell, daemon } = await createRunningCell({ workers: 2 });
  await startOne(cell, true);
  cell.crashOwner(daemon, 0);
  cell.usedTasks.set('harbour', 0);
  cell.taskLimits.set('harbour', 1);
  const successor = cell.createDaemon('second');
  await cell.takeOver(successor, 0);
  await cell.submit(0, {});
  await cell.advance(3_000);
  t.is(countExecutions(cell), 1);
});

test('a planned handover answers not-owner before it and loses nothing', async (t) => {
  const { cell, daemon } = await createRunningCell({ workers: 2 });
  const { jobId } = await startOne(cell, false);
  await daemon.jobs.release(0);
  await daemon.workers.release(0);
  const refused = await cell.call(0, 'job.read', { jobId, team: 'harbour' });
  const code = refused.isErr() && refused.error.kind === 'refused' && refused.error.failure.code;
  t.is(code, 'not-owner');
  await replaceOwner(cell, daemon);
  await cell.advance(2_000);
  t.is((await cell.read(jobId)).tasks[0]?.state, 'running');
  t.is(countExecutions(cell), 1);
});

test('a snapshot stands for the whole state', async (t) => {
  const { cell, daemon } = await createRunningCell({ workers: 2 });
  const { jobId, worker, taskId } = await startOne(cell, false);
  worker.finish(taskId, 'succeeded', { sorted: true });
  const second = await cell.submit(0, { tasks: 3, idempotent: true });
  const cancelled = await cell.submit(0, { tasks: 2 });
  await cell.advance(2_500);
  await cell.cancel(cancelled);
  const before = await Promise.all([jobId, second].map((id) => cell.read(id)));
  const records = daemon.jobs.snapshot(0);
  t.false(records.some(({ type }) => type === 'job-accepted'));
  cell.journal(0).records.splice(0, Infinity, ...records);
  await replaceOwner(cell, daemon);
  await cell.advance(3_000);
  const after = await Promise.all([jobId, second].map((id) => cell.read(id)));
  t.deepEqual(after, before);
  t.is((await cell.read(cancelled)).state, 'cancelled');
  const usage = (await cell.call(0, 'usage.report', { partition: 0 })).unwrap();
  t.is(usage.rows[0]?.tasks, 1 + 2 + 3);
});
