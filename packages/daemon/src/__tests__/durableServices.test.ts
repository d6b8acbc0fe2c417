import test from 'ava';

import { createRunningCell } from './testCell.js';
import type { TestCell, TestWorker } from './testCell.js';

function runningOn(cell: TestCell): readonly TestWorker[] {
  return cell.workers.filter((worker) => worker.running().length > 0);
}

function countExecutions(cell: TestCell): number {
  return cell.workers.flatMap((worker) => worker.executions).length;
}

test('the replicas of a service are spread over racks', async (t) => {
  const { cell } = await createRunningCell({ workers: 6 });
  await cell.submit(0, { kind: 'service', tasks: 3 });
  await cell.advanceUntil(() => countExecutions(cell) === 3);
  const racks = runningOn(cell).map(({ id }) => cell.vms.find((vm) => vm.id === id)?.rack);
  t.deepEqual([...new Set(racks)].sort(), ['rack-0', 'rack-1', 'rack-2']);
});

function racksOf(cell: TestCell): readonly (string | undefined)[] {
  return cell.workers.flatMap((worker) =>
    worker.running().map(() => cell.vms.find(({ id }) => id === worker.id)?.rack),
  );
}

test('replicas beyond the number of racks are spread evenly', async (t) => {
  const { cell } = await createRunningCell({ workers: 6 });
  await cell.submit(0, { kind: 'service', tasks: 9 });
  await cell.advanceUntil(() => countExecutions(cell) === 9);
  const racks = racksOf(cell);
  ['rack-0', 'rack-1', 'rack-2'].forEach((rack) => {
    t.is(racks.filter((used) => used === rack).length, 3, rack);
  });
});

test('a replica that starts after a takeover goes to a rack without one', async (t) => {
  const { cell, daemon } = await createRunningCell({ workers: 6 });
  cell.taskLimits.set('harbour', 2);
  await cell.submit(0, { kind: 'service', tasks: 3 });
  await cell.advanceUntil(() => countExecutions(cell) === 2);
  cell.crashOwner(daemon, 0);
  cell.usedTasks.clear();
  await cell.takeOver(cell.createDaemon('second'), 0);
  // All workers are sealed before the upper limit lets the third replica start.
  await cell.advance(500);
  t.is(countExecutions(cell), 2);
  cell.taskLimits.clear();
  await cell.advanceUntil(() => countExecutions(cell) === 3);
  t.is(new Set(racksOf(cell)).size, 3);
});

test('a replica that was lost with its worker is restarted after its lease, on another rack', async (t) => {
  const { cell } = await createRunningCell({ workers: 6 });
  const jobId = await cell.submit(0, { kind: 'service', tasks: 2 });
  await cell.advanceUntil(() => countExecutions(cell) === 2);
  await cell.advance(100);
  const [lost, kept] = runningOn(cell);
  lost!.fault = 'silent';
  const silentAt = cell.clock.monotonicMilliseconds();
  await cell.advanceUntil(() => countExecutions(cell) === 3);
  t.true(cell.clock.monotonicMilliseconds() - silentAt >= 11_000);
  const rackOf = (worker: TestWorker | undefined) =>
    cell.vms.find(({ id }) => id === worker?.id)?.rack;
  const started = cell.workers.find(
    ({ id }) => id !== kept!.id && cell.worker(id).running().length,
  );
  t.not(rackOf(started), rackOf(kept));
  await cell.advance(1_000);
  t.is((await cell.read(jobId)).state, 'running');
});

test('a replica that exits is started again', async (t) => {
  const { cell } = await createRunningCell({ workers: 3 });
  const jobId = await cell.submit(0, { kind: 'service', tasks: 1 });
  await cell.advanceUntil(() => countExecutions(cell) === 1);
  await cell.advance(100);
  cell.workers.forEach((worker) => worker.finish(`${jobId}/0`, 'succeeded'));
  await cell.advanceUntil(() => countExecutions(cell) === 2, 5_000);
  await cell.advance(100);
  t.is((await cell.read(jobId)).state, 'running');
});

test('a service that fails on three distinct workers is held', async (t) => {
  const { cell } = await createRunningCell({ workers: 6 });
  const jobId = await cell.submit(0, { kind: 'service', tasks: 1 });
  const failAll = () => {
    cell.workers.forEach((worker) => worker.finish(`${jobId}/0`, 'failed'));
  };
  for (let round = 0; round < 60; round += 1) {
    await cell.advance(500);
    failAll();
  }
  t.is((await cell.read(jobId)).state, 'held');
  t.is(countExecutions(cell), 3);
  t.is(new Set(cell.workers.filter(({ executions }) => executions.length > 0)).size, 3);
});

test('a cancelled service is stopped and not restarted', async (t) => {
  const { cell } = await createRunningCell({ workers: 3 });
  const jobId = await cell.submit(0, { kind: 'service', tasks: 3 });
  await cell.advanceUntil(() => countExecutions(cell) === 3);
  await cell.advance(100);
  await cell.cancel(jobId);
  await cell.advance(5_000);
  t.is((await cell.read(jobId)).state, 'cancelled');
  t.is(runningOn(cell).length, 0);
  t.is(countExecutions(cell), 3);
});
