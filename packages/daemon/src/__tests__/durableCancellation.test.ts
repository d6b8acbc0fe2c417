import { createManualClock } from '@chicorybend/common';
import test from 'ava';

import { createTurnQueue } from '../utils/turnQueue.js';

import { createRunningCell } from './testCell.js';
import type { TestCell } from './testCell.js';

function countExecutions(cell: TestCell): number {
  return cell.workers.flatMap((worker) => worker.executions).length;
}

test('a cancelled job starts nothing more and its running tasks are stopped', async (t) => {
  const { cell } = await createRunningCell({ workers: 1 });
  const jobId = await cell.submit(0, { tasks: 10 });
  await cell.advanceUntil(() => countExecutions(cell) === 4);
  await cell.cancel(jobId);
  t.is((await cell.read(jobId)).state, 'cancelling');
  await cell.advance(5_000);
  const view = await cell.read(jobId);
  t.is(view.state, 'cancelled');
  t.true(view.tasks.every(({ state }) => state === 'cancelled'));
  t.is(countExecutions(cell), 4);
  t.is(cell.workers[0]!.running().length, 0);
  t.is(cell.usedTasks.get('harbour'), 0);
});

test('a stop that is lost is sent again', async (t) => {
  const { cell } = await createRunningCell({ workers: 1 });
  const jobId = await cell.submit(0, {});
  await cell.advanceUntil(() => countExecutions(cell) === 1);
  let remaining = 2;
  cell.onCall = (method) => {
    if (method !== 'worker.stop' || remaining === 0) return 'none';
    remaining -= 1;
    return 'lost-before';
  };
  await cell.cancel(jobId);
  await cell.advance(20_000);
  t.is((await cell.read(jobId)).state, 'cancelled');
});

test('a job that is cancelled while its intent is written is not started', async (t) => {
  const { cell } = await createRunningCell({ workers: 1 });
  const jobId = await cell.submit(0, {});
  cell.journal(0).fault = 'down';
  await cell.advance(200);
  const cancelling = cell.call(0, 'job.cancel', { jobId, team: 'harbour' });
  await cell.advance(100);
  cell.journal(0).fault = 'none';
  t.true((await cancelling).isOk());
  await cell.advance(5_000);
  t.is((await cell.read(jobId)).state, 'cancelled');
  t.is(cell.workers[0]!.running().length, 0);
});

test('a cancellation is taken over by the next owner', async (t) => {
  const { cell, daemon } = await createRunningCell({ workers: 1 });
  const jobId = await cell.submit(0, {});
  await cell.advanceUntil(() => countExecutions(cell) === 1);
  cell.onCall = (method) => (method === 'worker.stop' ? 'not-sent' : 'none');
  await cell.cancel(jobId);
  cell.crashOwner(daemon, 0);
  cell.onCall = () => 'none';
  await cell.takeOver(cell.createDaemon('second'), 0);
  await cell.advance(6_000);
  t.is((await cell.read(jobId)).state, 'cancelled');
});

test('another team cannot read or cancel a job', async (t) => {
  const { cell } = await createRunningCell({ workers: 1 });
  const jobId = await cell.submit(0, {});
  for (const method of ['job.read', 'job.cancel'] as const) {
    const outcome = await cell.call(0, method, { jobId, team: 'dredgers' });
    t.true(outcome.isErr() && outcome.error.kind === 'refused', method);
  }
});

test('an ended job cannot be cancelled', async (t) => {
  const { cell } = await createRunningCell({ workers: 1 });
  const jobId = await cell.submit(0, {});
  await cell.advanceUntil(() => countExecutions(cell) === 1);
  cell.workers[0]!.finish(`${jobId}/0`, 'succeeded');
  await cell.advance(2_500);
  const outcome = await cell.call(0, 'job.cancel', { jobId, team: 'harbour' });
  const code = outcome.isErr() && outcome.error.kind === 'refused' && outcome.error.failure.code;
  t.is(code, 'not-cancellable');
});

test('a turn of the event loop does a bounded part of a wave', (t) => {
  const clock = createManualClock();
  const turns: (() => void)[] = [];
  const setTimer = (turn: () => void) => {
    turns.push(turn);
    return () => {};
  };
  const queue = createTurnQueue({ ...clock, setTimer }, 10);
  let done = 0;
  const piece = () => {
    done += 1;
  };
  for (let index = 0; index < 35; index += 1) queue.push(piece);
  const doneByTurn: number[] = [];
  while (turns.length > 0) {
    turns.shift()!();
    doneByTurn.push(done);
  }
  t.deepEqual(doneByTurn, [10, 20, 30, 35]);
});

test('a turn of the event loop ends early if its pieces take long', (t) => {
  const clock = createManualClock();
  const turns: (() => void)[] = [];
  const setTimer = (turn: () => void) => {
    turns.push(turn);
    return () => {};
  };
  const queue = createTurnQueue({ ...clock, setTimer }, 10);
  for (let index = 0; index < 4; index += 1) queue.push(() => clock.advance(4));
  let count = 0;
  while (turns.length > 0) {
    turns.shift()!();
    count += 1;
  }
  t.is(count, 2);
});
