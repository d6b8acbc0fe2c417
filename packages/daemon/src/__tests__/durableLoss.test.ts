import test from 'ava';

import { createRunningCell, createTestCell } from './testCell.js';
import type { TestCell, TestWorker } from './testCell.js';

const LEASE_MILLISECONDS = 12_000;
const AFTER_LAPSE_MILLISECONDS = 20_000;

function executionsOf(cell: TestCell): readonly { worker: TestWorker; attempt: number }[] {
  return cell.workers.flatMap((worker) =>
    worker.executions.map(({ attempt }) => ({ worker, attempt })),
  );
}

async function startOne(cell: TestCell, isIdempotent: boolean) {
  const jobId = await cell.submit(0, { idempotent: isIdempotent });
  await cell.advanceUntil(() => executionsOf(cell).length === 1);
  await cell.advance(100);
  const { worker } = executionsOf(cell)[0]!;
  return { jobId, worker };
}

test('a non-idempotent task on a lost worker ends as unknown and is never run again', async (t) => {
  const { cell } = await createRunningCell({ workers: 2 });
  const { jobId, worker } = await startOne(cell, false);
  worker.fault = 'silent';
  await cell.advance(AFTER_LAPSE_MILLISECONDS);
  t.is((await cell.read(jobId)).state, 'unknown');
  worker.fault = 'none';
  await cell.advance(AFTER_LAPSE_MILLISECONDS);
  t.is(executionsOf(cell).length, 1);
  t.is((await cell.read(jobId)).state, 'unknown');
  t.is(cell.usedTasks.get('harbour'), 0);
});

test('an idempotent task on a lost worker runs again only after its lease has lapsed', async (t) => {
  const { cell } = await createRunningCell({ workers: 2 });
  const { jobId, worker } = await startOne(cell, true);
  const silentAt = cell.clock.monotonicMilliseconds();
  worker.fault = 'silent';
  await cell.advance(LEASE_MILLISECONDS - 2_000);
  t.is(executionsOf(cell).length, 1);
  t.is((await cell.read(jobId)).tasks[0]?.state, 'running');
  let ranTwice = false;
  cell.workers.forEach((one) => {
    const other = one;
    other.onStart = () => {
      ranTwice ||= worker.running().length > 0;
    };
  });
  await cell.advanceUntil(() => executionsOf(cell).length === 2);
  t.true(cell.clock.monotonicMilliseconds() - silentAt >= LEASE_MILLISECONDS - 1_000);
  t.false(ranTwice);
  const attempts = executionsOf(cell).map(({ attempt }) => attempt);
  t.deepEqual(attempts.sort(), [1, 2]);
});

test('a renewal that the worker took without an answer counts towards the lease', async (t) => {
  const { cell } = await createRunningCell({ workers: 2 });
  const { worker } = await startOne(cell, true);
  // Long enough for the lease of the start alone to end well before the lease of the renewal.
  await cell.advance(6_000);
  let renewedAt = 0;
  const { renew } = worker.client;
  worker.client.renew = async (address, body) => {
    renewedAt = cell.clock.monotonicMilliseconds();
    await renew(address, body);
    worker.fault = 'silent';
    return renew(address, body);
  };
  await cell.advanceUntil(() => executionsOf(cell).length === 2);
  t.true(cell.clock.monotonicMilliseconds() - renewedAt >= LEASE_MILLISECONDS);
  t.is(worker.running().length, 0);
});

test('tasks of a worker that was silent for less than the lease go on', async (t) => {
  const { cell } = await createRunningCell({ workers: 2 });
  const { jobId, worker } = await startOne(cell, true);
  worker.fault = 'silent';
  await cell.advance(8_000);
  worker.fault = 'none';
  await cell.advance(AFTER_LAPSE_MILLISECONDS);
  t.is(executionsOf(cell).length, 1);
  t.is(worker.running().length, 1);
  worker.finish(`${jobId}/0`, 'succeeded');
  await cell.advance(2_000);
  t.is((await cell.read(jobId)).state, 'succeeded');
});

test('a restarted worker has lost its tasks at once', async (t) => {
  const { cell } = await createRunningCell({ workers: 1 });
  const idempotent = await startOne(cell, true);
  idempotent.worker.restart();
  await cell.advanceUntil(() => executionsOf(cell).length === 2, 3_000);
  const other = await createRunningCell({ workers: 1 });
  const { jobId, worker } = await startOne(other.cell, false);
  worker.restart();
  await other.cell.advance(3_000);
  t.is((await other.cell.read(jobId)).state, 'unknown');
  t.is(executionsOf(other.cell).length, 1);
});

test('a leaving or unlisted worker gets no new starts and keeps its tasks', async (t) => {
  const { cell } = await createRunningCell({ workers: 2 });
  const { worker } = await startOne(cell, true);
  const index = cell.vms.findIndex(({ id }) => id === worker.id);
  cell.vms[index] = { ...cell.vms[index]!, state: 'leaving' };
  cell.notifyVmChange();
  await cell.submit(0, { tasks: 8, idempotent: true });
  await cell.advance(3_000);
  t.is(worker.running().length, 1);
  cell.vms.splice(index, 1);
  cell.notifyVmChange();
  await cell.advance(AFTER_LAPSE_MILLISECONDS);
  t.is(worker.running().length, 1);
  t.is(worker.executions.length, 1);
});

test('the end of an execution is acknowledged to the worker only once it is durable', async (t) => {
  const { cell, daemon } = await createRunningCell({ workers: 1 });
  const { jobId, worker } = await startOne(cell, false);
  cell.journal(0).fault = 'down';
  worker.finish(`${jobId}/0`, 'succeeded', 'sorted');
  await cell.advance(8_000);
  t.is(worker.acknowledged.length, 0);
  cell.crashOwner(daemon, 0);
  cell.journal(0).fault = 'none';
  await cell.takeOver(cell.createDaemon('second'), 0);
  await cell.advance(3_000);
  t.is((await cell.read(jobId)).tasks[0]?.result, 'sorted');
  t.is(worker.acknowledged.length, 1);
});

test('usage of an execution counts once, from the times of its worker', async (t) => {
  const { cell } = await createRunningCell({ workers: 2 });
  const { jobId, worker } = await startOne(cell, false);
  let remaining = 3;
  cell.onCall = (method) => {
    if (method !== 'task.event' || remaining === 0) return 'none';
    remaining -= 1;
    return 'lost-after';
  };
  await cell.advance(7_000);
  const startedAt = worker.executions.length;
  t.is(startedAt, 1);
  worker.finish(`${jobId}/0`, 'succeeded');
  await cell.advance(10_000);
  const { rows } = (await cell.call(0, 'usage.report', { partition: 0 })).unwrap();
  t.is(rows.length, 1);
  t.is(rows[0]?.tasks, 1);
  const seconds = rows[0]?.processorSeconds ?? 0;
  t.true(seconds >= 7 && seconds <= 7.3, String(seconds));
});

test('usage of an execution that was taken for lost counts once when it is reported late', async (t) => {
  const { cell } = await createRunningCell({ workers: 2 });
  const { jobId, worker } = await startOne(cell, false);
  await cell.advance(5_000);
  worker.fault = 'silent';
  await cell.advance(AFTER_LAPSE_MILLISECONDS);
  t.is((await cell.read(jobId)).state, 'unknown');
  const known = (await cell.call(0, 'usage.report', { partition: 0 })).unwrap().rows;
  t.is(known[0]?.tasks, 1);
  const knownSeconds = known[0]?.processorSeconds ?? 0;
  t.true(knownSeconds >= 4 && knownSeconds <= 5.2, String(knownSeconds));
  worker.fault = 'none';
  await cell.advance(3_000);
  const { rows } = (await cell.call(0, 'usage.report', { partition: 0 })).unwrap();
  t.is(rows.length, 1);
  t.is(rows[0]?.tasks, 1);
  // The worker stops the task itself when its lease lapses.
  const seconds = rows[0]?.processorSeconds ?? 0;
  const endedBy = 5.3 + LEASE_MILLISECONDS / 1_000;
  t.true(seconds >= endedBy - 1.3 && seconds <= endedBy, String(seconds));
  t.is(worker.acknowledged.length, 1);
});

test('a worker that never answered counts as full until its leases have lapsed', async (t) => {
  const cell = createTestCell({ workers: 1 });
  const daemon = cell.createDaemon('first');
  cell.workers[0]!.fault = 'silent';
  await cell.takeOver(daemon, 0);
  await cell.submit(0, {});
  await cell.advance(2_000);
  const [view] = (await cell.call(0, 'worker.list', { partition: 0 })).unwrap();
  t.is(view?.state, 'unsealed');
  t.is(view?.free.processors, 0);
  cell.workers[0]!.fault = 'none';
  await cell.advanceUntil(() => executionsOf(cell).length === 1);
  t.pass();
});
