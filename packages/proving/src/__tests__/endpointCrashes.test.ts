import test from 'ava';
import type { ExecutionContext } from 'ava';

import type { JobStatus, StepSpecification } from '@chicorybend/scheduler';
import type { EndpointFleetOptions } from '@chicorybend/standins';

import {
  advanceUntil,
  createJobId,
  createJobSpecification,
  createSchedulerCell,
} from '../core/schedulerCell.js';
import type { SchedulerCell } from '../core/schedulerCell.js';

/** The tasks of this job crash their endpoint. */
const DEADLY_JOB = createJobId(13);
const CRASH_DELAY_MILLISECONDS = 10;
const DOWN = { downMilliseconds: 3_000, keepsId: false };
/** Three crashes and fewer than three starts after them. */
const MAXIMUM_DEADLY_RUNS = 5;
/** Enough for five runs of which each is noticed only when its lease has expired. */
const GIVE_UP_MILLISECONDS = 45_000;

function isOfJob(jobId: string, { taskId }: { readonly taskId: string }): boolean {
  return taskId.startsWith(`${jobId}.`);
}

async function createCrashCell(
  options: Partial<EndpointFleetOptions> = {},
): Promise<SchedulerCell> {
  const cell = createSchedulerCell({
    count: 12,
    rackSize: 4,
    durationOf: () => 800,
    crashDelayOf: (order) => (isOfJob(DEADLY_JOB, order) ? CRASH_DELAY_MILLISECONDS : null),
    ...options,
  });
  cell.startProcess('owner-0');
  await cell.advance(300);
  return cell;
}

async function submit(
  t: ExecutionContext,
  cell: SchedulerCell,
  jobId: string,
  ...steps: Partial<StepSpecification>[]
): Promise<void> {
  const answer = await cell.call({
    path: `/work/${jobId}`,
    specification: createJobSpecification(...steps),
  });
  t.is(answer.kind, 'accepted');
}

async function statusOf(cell: SchedulerCell, jobId: string): Promise<JobStatus | null> {
  const answer = await cell.call({ action: 'status', path: `/work/${jobId}` });
  return answer.kind === 'status' ? answer.status : null;
}

function countCrashes(cell: SchedulerCell): number {
  const crashed = cell.fleet.history.filter(({ kind }) => kind === 'crashed');
  return new Set(crashed.map(({ endpointId, bornAt }) => `${endpointId}/${bornAt}`)).size;
}

function checkRecord(t: ExecutionContext, cell: SchedulerCell): void {
  t.deepEqual(cell.fleet.violations(), []);
  t.deepEqual(cell.fleet.overloads, []);
}

async function checkGivenUp(t: ExecutionContext, cell: SchedulerCell): Promise<void> {
  const runsOfJob = cell.fleet.history.filter((run) => isOfJob(DEADLY_JOB, run));
  const details = `${runsOfJob.length} runs and ${countCrashes(cell)} crashes`;
  t.is(await statusOf(cell, DEADLY_JOB), 'failed', details);
  const taskIds = new Set(runsOfJob.map(({ taskId }) => taskId));
  const crashes = [...taskIds].map((taskId) => cell.fleet.crashesUnder(taskId));
  t.true(Math.max(...crashes) >= 2, 'given up after at least two crashes under one task');
  taskIds.forEach((taskId) => {
    const runs = cell.fleet.history.filter((run) => run.taskId === taskId).length;
    t.true(runs <= MAXIMUM_DEADLY_RUNS, `${runs} runs of task ${taskId}`);
    t.true(cell.fleet.startsAfterCrashes(taskId, 3) < 3);
  });
  checkRecord(t, cell);
}

/** Replaces the owner, or disturbs it, right after each crash, until the job has ended or the time is up. */
async function disturbAfterEachCrash(
  cell: SchedulerCell,
  disturb: (crashes: number) => Promise<void>,
): Promise<void> {
  const endsAt = cell.clock.monotonicMilliseconds() + GIVE_UP_MILLISECONDS;
  let crashes = 0;
  while (cell.clock.monotonicMilliseconds() < endsAt && crashes <= MAXIMUM_DEADLY_RUNS) {
    const seen = crashes;
    await advanceUntil(cell, () => countCrashes(cell) > seen, 15_000);
    crashes = countCrashes(cell);
    if (crashes === seen) return;
    await disturb(crashes);
  }
}

function endpointsOfRack(cell: SchedulerCell, rack: string): string[] {
  return cell.fleet
    .entries()
    .filter((entry) => entry.rack === rack)
    .map(({ endpointId }) => endpointId);
}

/** @returns rack whose endpoints execute the most runs of a job, at first of tasks that were hit by crashes before */
function busiestRack(cell: SchedulerCell, jobId: string): string {
  const racks = new Map(cell.fleet.entries().map(({ endpointId, rack }) => [endpointId, rack]));
  const weights = new Map<string, number>();
  cell.fleet.history.forEach((run) => {
    const rack = racks.get(run.endpointId);
    if (run.endedAt !== null || rack === undefined || !isOfJob(jobId, run)) return;
    const weight = 1 + 100 * cell.fleet.crashesUnder(run.taskId);
    weights.set(rack, (weights.get(rack) ?? 0) + weight);
  });
  return [...weights].reduce((best, next) => (next[1] > best[1] ? next : best))[0];
}

test('a task that crashes every endpoint is given up before it can crash the whole fleet', async (t) => {
  const cell = await createCrashCell();
  await submit(t, cell, DEADLY_JOB, { count: 1 });
  await cell.advance(GIVE_UP_MILLISECONDS);
  await checkGivenUp(t, cell);
});

test('a task that crashes every endpoint is given up also if each endpoint comes back under its id', async (t) => {
  const cell = await createCrashCell({ restartAfterRunCrash: { ...DOWN, keepsId: true } });
  await submit(t, cell, DEADLY_JOB, { count: 1 });
  await cell.advance(GIVE_UP_MILLISECONDS);
  await checkGivenUp(t, cell);
});

test('crashes under a task are counted also if the owner is killed between a crash and the next start', async (t) => {
  const cell = await createCrashCell();
  cell.startProcess('standby-0');
  await submit(t, cell, DEADLY_JOB, { count: 1 });
  await disturbAfterEachCrash(cell, async (crashes) => {
    await cell.advance(20);
    cell.killOwner();
    cell.startProcess(`standby-${crashes}`);
    await advanceUntil(cell, () => cell.currentTerm() !== null, 5_000);
  });
  await cell.advance(5_000);
  await checkGivenUp(t, cell);
});

test('crashes under a task are counted also if the store is silent between a crash and its record', async (t) => {
  const cell = await createCrashCell();
  await submit(t, cell, DEADLY_JOB, { count: 1 });
  await disturbAfterEachCrash(cell, async () => {
    cell.store.faultsOf('owner-0').outage = 'silent';
    await cell.advance(3_500);
    cell.store.faultsOf('owner-0').outage = null;
    await advanceUntil(cell, () => cell.currentTerm() !== null, 5_000);
  });
  await cell.advance(5_000);
  await checkGivenUp(t, cell);
});

test('a wide step of which every task crashes its endpoint does not crash the fleet again and again', async (t) => {
  const cell = await createCrashCell({ count: 32, rackSize: 8 });
  const resources = { processors: 4, memoryBytes: 1, accelerators: 0 };
  await submit(t, cell, DEADLY_JOB, { count: 64, resources });
  await cell.advance(1_000);
  const firstCrashes = countCrashes(cell);
  t.true(firstCrashes > 0);
  await cell.advance(GIVE_UP_MILLISECONDS);
  await checkGivenUp(t, cell);
  const laterCrashes = countCrashes(cell) - firstCrashes;
  t.true(laterCrashes < 16, `${laterCrashes} crashes after the first ${firstCrashes}`);
});

test('jobs beside a task that crashes every endpoint complete', async (t) => {
  const cell = await createCrashCell();
  const jobIds = [1, 2, 3, 4, 5, 6].map(createJobId);
  for (const jobId of jobIds) {
    await submit(t, cell, jobId, { count: 8 }, { count: 2, after: [0] });
  }
  await submit(t, cell, DEADLY_JOB, { count: 1 });
  await cell.advance(GIVE_UP_MILLISECONDS);
  await checkGivenUp(t, cell);
  for (const jobId of jobIds) t.is(await statusOf(cell, jobId), 'completed');
});

test('a single crash under a task gives up no job', async (t) => {
  const cell = await createCrashCell({ durationOf: () => 3_000 });
  const jobId = createJobId(1);
  await submit(t, cell, jobId, { count: 12 });
  await cell.advance(200);
  const endpointIds = new Set(cell.fleet.history.map(({ endpointId }) => endpointId));
  endpointIds.forEach((endpointId) => cell.fleet.crash(endpointId, DOWN));
  await cell.advance(15_000);
  t.is(await statusOf(cell, jobId), 'completed');
  checkRecord(t, cell);
});

test('the loss of a rack that holds a job, twice in a row, does not fail the job', async (t) => {
  const cell = await createCrashCell({ durationOf: () => 3_000 });
  const jobId = createJobId(1);
  await submit(t, cell, jobId, { count: 60 });
  for (let loss = 0; loss < 2; loss += 1) {
    await advanceUntil(
      cell,
      () =>
        cell.fleet.history.some(({ endedAt, taskId }) => {
          const crashes = cell.fleet.crashesUnder(taskId);
          return endedAt === null && crashes === loss;
        }),
      15_000,
    );
    await cell.advance(200);
    const rack = busiestRack(cell, jobId);
    endpointsOfRack(cell, rack).forEach((endpointId) => cell.fleet.crash(endpointId, DOWN));
  }
  t.true(cell.fleet.history.some(({ taskId }) => cell.fleet.crashesUnder(taskId) === 2));
  await cell.advance(25_000);
  t.is(await statusOf(cell, jobId), 'completed');
  checkRecord(t, cell);
});

test('endpoints that are cut off for 8 s, twice in a row, fail no job', async (t) => {
  const cell = await createCrashCell({ durationOf: () => 3_000 });
  const jobId = createJobId(1);
  await submit(t, cell, jobId, { count: 60 });
  await cell.advance(200);
  for (let cut = 0; cut < 2; cut += 1) {
    const faults = endpointsOfRack(cell, busiestRack(cell, jobId)).map(cell.fleet.faultsOf);
    faults.forEach((entry) => Object.assign(entry, { isCutOff: true }));
    await cell.advance(7_500);
    await advanceUntil(cell, () => cell.fleet.history.some(({ endedAt }) => endedAt === null), 500);
    faults.forEach((entry) => Object.assign(entry, { isCutOff: false }));
    await cell.advance(200);
    if (cut === 0) await submit(t, cell, createJobId(2), { count: 60 });
    await cell.advance(200);
  }
  t.true(cell.fleet.history.some(({ run }) => run === 3));
  await cell.advance(25_000);
  t.is(await statusOf(cell, jobId), 'completed');
  t.is(await statusOf(cell, createJobId(2)), 'completed');
  checkRecord(t, cell);
});

test('a wave of releases that ends runs on several endpoints in turn fails no job', async (t) => {
  const cell = await createCrashCell({ durationOf: () => 6_000 });
  const jobId = createJobId(1);
  await submit(t, cell, jobId, { count: 40 });
  await cell.advance(200);
  for (const rack of ['rack-0', 'rack-1', 'rack-2']) {
    const endpointIds = endpointsOfRack(cell, rack);
    endpointIds.forEach((endpointId) => cell.fleet.drain(endpointId, 1_500));
    await cell.advance(1_500);
    endpointIds.forEach((endpointId) => cell.fleet.release(endpointId, 3_000));
    await cell.advance(3_500);
  }
  t.true(cell.fleet.history.some(({ kind }) => kind === 'released'));
  await cell.advance(25_000);
  t.is(await statusOf(cell, jobId), 'completed');
  checkRecord(t, cell);
});

test('a gang with one member that crashes every endpoint is given up', async (t) => {
  const cell = await createCrashCell({
    crashDelayOf: ({ taskId }) =>
      taskId === `${DEADLY_JOB}.0.0.2` ? CRASH_DELAY_MILLISECONDS : null,
    gangOf: () => ({ gangId: DEADLY_JOB, size: 6 }),
  });
  await submit(t, cell, DEADLY_JOB, { count: 6, isGang: true });
  await cell.advance(GIVE_UP_MILLISECONDS);
  await checkGivenUp(t, cell);
});

test('a long-running task that crashes every endpoint is given up', async (t) => {
  const cell = await createCrashCell({ durationOf: () => Infinity });
  await submit(t, cell, DEADLY_JOB, { count: 2, isLongRunning: true });
  await cell.advance(GIVE_UP_MILLISECONDS);
  await checkGivenUp(t, cell);
});

test('a run that succeeds while its endpoint is cut off, before that crashes, does not count as a crash under its task', async (t) => {
  const cell = await createCrashCell({ durationOf: () => 600 });
  const jobId = createJobId(1);
  await submit(t, cell, jobId, { count: 1 });
  await advanceUntil(cell, () => cell.fleet.history.length === 1, 1_000);
  await cell.advance(400);
  cell.fleet.crash(cell.fleet.history[0]!.endpointId, DOWN);
  await advanceUntil(cell, () => cell.fleet.history.length === 2, 15_000);
  const [, second] = cell.fleet.history;
  const faults = cell.fleet.faultsOf(second!.endpointId);
  await cell.advance(400);
  faults.isCutOff = true;
  await cell.advance(800);
  t.is(second!.kind, 'done');
  cell.fleet.crash(second!.endpointId, DOWN);
  await cell.advance(2_500);
  faults.isCutOff = false;
  await cell.advance(15_000);
  t.is(await statusOf(cell, jobId), 'completed');
  checkRecord(t, cell);
});

test('a crash long before the announced end of a drain is counted', async (t) => {
  const cell = await createCrashCell({
    crashDelayOf(order) {
      if (!isOfJob(DEADLY_JOB, order)) return null;
      const { endpointId } = cell.fleet.history.at(-1)!;
      cell.fleet.drain(endpointId, 10_000);
      return CRASH_DELAY_MILLISECONDS;
    },
  });
  await submit(t, cell, DEADLY_JOB, { count: 1 });
  await cell.advance(GIVE_UP_MILLISECONDS);
  await checkGivenUp(t, cell);
});
