import type { Result } from '@chicorybend/common';
import test from 'ava';

import {
  createConfiguration,
  createRunningCell,
  NON_IDEMPOTENT_JOB,
  WORKER_CAPACITY,
} from './testCell.js';
import type { TestCell } from './testCell.js';
import type { PeerError } from '../index.js';

const DAY_MILLISECONDS = 24 * 3_600_000;

function failureOf(outcome: Result<unknown, PeerError>) {
  return outcome.isErr() && outcome.error.kind === 'refused' ? outcome.error.failure : null;
}

function submit(
  cell: TestCell,
  idempotencyKey: string,
  bodyHash: string,
  request = NON_IDEMPOTENT_JOB,
) {
  const body = { partition: 0, team: 'harbour', idempotencyKey, bodyHash, request };
  return cell.call(0, 'job.submit', body);
}

function countExecutions(cell: TestCell): number {
  return cell.workers.flatMap((worker) => worker.executions).length;
}

test('the same key and body get the first answer, and the job runs once', async (t) => {
  const { cell, daemon } = await createRunningCell({ workers: 1 });
  const [first, second] = await Promise.all([submit(cell, 'one', 'a'), submit(cell, 'one', 'a')]);
  const third = await submit(cell, 'one', 'a');
  t.is(second.unwrap().jobId, first.unwrap().jobId);
  t.is(third.unwrap().jobId, first.unwrap().jobId);
  cell.crashOwner(daemon, 0);
  await cell.takeOver(cell.createDaemon('second'), 0);
  t.is((await submit(cell, 'one', 'a')).unwrap().jobId, first.unwrap().jobId);
  await cell.advance(2_000);
  t.is(countExecutions(cell), 1);
});

test('the same key with another body is refused and changes nothing', async (t) => {
  const { cell } = await createRunningCell({ workers: 1 });
  const [first, during] = await Promise.all([submit(cell, 'one', 'a'), submit(cell, 'one', 'b')]);
  t.true(first.isOk());
  t.is(failureOf(during)?.code, 'idempotency-key-reused');
  t.is(failureOf(await submit(cell, 'one', 'c'))?.code, 'idempotency-key-reused');
  const jobs = (await cell.call(0, 'job.list', { partition: 0, team: null })).unwrap();
  t.is(jobs.length, 1);
});

test('a submission that is refused as not run during a store outage never runs', async (t) => {
  const { cell } = await createRunningCell({ workers: 1 });
  cell.journal(0).fault = 'down';
  const failure = failureOf(await submit(cell, 'one', 'a'));
  t.is(failure?.code, 'store-unavailable');
  t.is(failure?.run, 'not-run');
  cell.journal(0).fault = 'none';
  await cell.advance(5_000);
  t.is(countExecutions(cell), 0);
  t.is(cell.journal(0).records.length, 0);
});

test('a submission with an unknown fate runs once and can be asked for with the same key', async (t) => {
  for (const fault of ['unknown-durable', 'unknown-not-durable'] as const) {
    const { cell } = await createRunningCell({ workers: 1 });
    cell.journal(0).fault = fault;
    const failure = failureOf(await submit(cell, 'one', 'a'));
    t.is(failure?.code, 'acceptance-unknown', fault);
    t.is(failure?.run, 'unknown', fault);
    const jobId = failure?.details?.[0]?.reason ?? '';
    cell.journal(0).fault = 'none';
    await cell.advance(2_000);
    t.is((await submit(cell, 'one', 'a')).unwrap().jobId, jobId, fault);
    t.is(countExecutions(cell), 1, fault);
  }
});

test('a job that can never fit is refused with the reason of each dimension', async (t) => {
  const { cell } = await createRunningCell({ workers: 2 });
  const resources = { ...WORKER_CAPACITY, processors: 5, accelerators: 1 };
  const failure = failureOf(await submit(cell, 'one', 'a', { ...NON_IDEMPOTENT_JOB, resources }));
  t.is(failure?.code, 'never-fits');
  t.deepEqual(failure?.details, [
    { path: 'resources.processors', reason: 'a task needs 5, the largest worker has 4' },
    { path: 'resources.accelerators', reason: 'a task needs 1, the largest worker has 0' },
  ]);
  const gang = { ...NON_IDEMPOTENT_JOB, kind: 'gang' as const, tasks: 9 };
  t.is(failureOf(await submit(cell, 'two', 'a', gang))?.details?.[0]?.path, 'tasks');
  t.true((await submit(cell, 'three', 'a', { ...gang, tasks: 8 })).isOk());
  t.true((await submit(cell, 'four', 'a', { ...NON_IDEMPOTENT_JOB, tasks: 9 })).isOk());
});

// Guards against "not run" for a job that was accepted and may be running.
test('an accepted job is known after its worker has left and the limit was lowered', async (t) => {
  const { cell } = await createRunningCell({ workers: 2 });
  const gang = { ...NON_IDEMPOTENT_JOB, kind: 'gang' as const, tasks: 8 };
  const { jobId } = (await submit(cell, 'one', 'a', gang)).unwrap();
  cell.vms.pop();
  t.is((await submit(cell, 'one', 'a', gang)).unwrap().jobId, jobId);
  t.is(failureOf(await submit(cell, 'two', 'a', gang))?.code, 'never-fits');
});

// Guards against a gang that waits forever for more tasks than its team may run.
test('a gang over the upper limit of its team is refused at once', async (t) => {
  const { cell } = await createRunningCell({ workers: 2 });
  const policy = { order: 'share-first' as const, agingMilliseconds: 60_000 };
  const configuration = createConfiguration({ harbour: 1 }, policy);
  const limits = { tasks: 5, requests: 5 };
  cell.configure({ ...configuration, teams: { harbour: { share: 1, limits } } });
  const gang = { ...NON_IDEMPOTENT_JOB, kind: 'gang' as const, tasks: 6 };
  const failure = failureOf(await submit(cell, 'one', 'a', gang));
  t.is(failure?.code, 'never-fits');
  t.deepEqual(failure?.details, [
    { path: 'tasks', reason: 'the gang needs 6 tasks at once, the upper limit of the team is 5' },
  ]);
  t.true((await submit(cell, 'two', 'a', { ...gang, tasks: 5 })).isOk());
  t.true((await submit(cell, 'three', 'a', { ...NON_IDEMPOTENT_JOB, tasks: 6 })).isOk());
});

test('a wait ends when the job has ended, or after its time', async (t) => {
  const { cell } = await createRunningCell({ workers: 1 });
  const jobId = await cell.submit(0, {});
  await cell.advanceUntil(() => countExecutions(cell) === 1);
  const wait = { jobId, team: 'harbour', waitMilliseconds: 1_000 };
  t.is((await cell.call(0, 'job.wait', wait)).unwrap().state, 'running');
  const startedAt = cell.clock.monotonicMilliseconds();
  const waiting = cell.call(0, 'job.wait', { ...wait, waitMilliseconds: 60_000 });
  cell.workers[0]!.finish(`${jobId}/0`, 'succeeded');
  t.is((await waiting).unwrap().state, 'succeeded');
  t.true(cell.clock.monotonicMilliseconds() - startedAt < 2_000);
});

test('an ended job and its key are remembered for a day', async (t) => {
  const { cell, daemon } = await createRunningCell({ workers: 1 });
  const { jobId } = (await submit(cell, 'one', 'a')).unwrap();
  await cell.advanceUntil(() => countExecutions(cell) === 1);
  await cell.advance(100);
  cell.workers[0]!.finish(`${jobId}/0`, 'succeeded');
  await cell.advance(2_500);
  daemon.isPaused = true;
  cell.clock.advance(DAY_MILLISECONDS - 10_000);
  daemon.isPaused = false;
  t.is(daemon.jobs.snapshot(0).filter(({ type }) => type === 'job-state').length, 1);
  t.is((await submit(cell, 'one', 'a')).unwrap().jobId, jobId);
  daemon.isPaused = true;
  cell.clock.advance(20_000);
  daemon.isPaused = false;
  t.is(daemon.jobs.snapshot(0).filter(({ type }) => type === 'job-state').length, 0);
  t.is(daemon.jobs.snapshot(0).filter(({ type }) => type === 'usage-total').length, 1);
});
