import { createManualClock, createSilentLog, Ok } from '@chicorybend/common';
import test from 'ava';
import fc from 'fast-check';

import type { JobPartition } from '../core/jobPartition.js';
import { applyRecord, createJobsState, createSnapshotRecords, findTask } from '../core/jobState.js';
import type { JobsState } from '../core/jobState.js';
import { startUsageCheckpoints } from '../core/usageCheckpoints.js';
import type { JournalRecord, UsageRecord } from '../types/journalRecord.js';
import { createRunningCell, NON_IDEMPOTENT_JOB } from './testCell.js';
import type { TestCell } from './testCell.js';

const HOUR_MILLISECONDS = 3_600_000;
const CLOCK_SKEW_MILLISECONDS = 500;
const STARTED_AT = 1_700_000_000_000;

async function readSeconds(cell: TestCell): Promise<number> {
  const usage = (await cell.call(0, 'usage.report', { partition: 0 })).unwrap();
  return usage.rows.reduce((sum, row) => sum + row.processorSeconds, 0);
}

function createRunningState(): JobsState {
  const state = createJobsState();
  const records: readonly JournalRecord[] = [
    {
      type: 'job-accepted',
      jobId: '0-a',
      team: 'harbour',
      idempotencyKey: 'a',
      bodyHash: 'a',
      request: NON_IDEMPOTENT_JOB,
      acceptedAt: STARTED_AT,
    },
    { type: 'task-intent', taskId: '0-a/0', attempt: 1, workerId: 'w', workerPartition: 0 },
  ];
  records.forEach((record) => applyRecord(state, record));
  return state;
}

function createUsageRecordUntil(endedAt: number): UsageRecord {
  const identity = { type: 'usage', taskId: '0-a/0', attempt: 1 } as const;
  const sums = { processorSeconds: 0, memoryByteSeconds: 0, acceleratorSeconds: 0 };
  return { ...identity, team: 'harbour', queue: 'sorts', startedAt: STARTED_AT, endedAt, ...sums };
}

function sumUsage(state: JobsState): { seconds: number; tasks: number } {
  const rows = state.usage.rows();
  return {
    seconds: Math.round(rows.reduce((sum, row) => sum + row.processorSeconds, 0)),
    tasks: rows.reduce((sum, row) => sum + row.tasks, 0),
  };
}

/** Guards against reports that omit a long execution until it ends, and against counting it twice at its end. */
test('a running execution is counted up to now, and only once, across takeovers of its partitions', async (t) => {
  const { cell, daemon } = await createRunningCell({ workers: [1], partitionCount: 2 });
  const jobId = await cell.submit(0, {});
  const worker = cell.workers[0]!;
  await cell.advanceUntil(() => worker.executions.length === 1);
  const startedAt = cell.clock.wallMilliseconds();
  const expectUsageUpToNow = async (moment: string) => {
    const elapsed = (cell.clock.wallMilliseconds() - startedAt) / 1_000;
    const seconds = await readSeconds(cell);
    t.true(seconds > elapsed - 1.5 && seconds < elapsed + 0.5, `${moment}: ${seconds}, ${elapsed}`);
  };
  await cell.advance(4_000);
  await expectUsageUpToNow('while it runs');
  cell.crashOwner(daemon, 0);
  await cell.takeOver(cell.createDaemon('second'), 0);
  await cell.advance(500);
  await expectUsageUpToNow('after a takeover of the job');
  cell.crashOwner(daemon, 1);
  await cell.takeOver(cell.createDaemon('third'), 1);
  await cell.advance(2_000);
  await expectUsageUpToNow('after a takeover of the worker');
  const endedAt = cell.clock.wallMilliseconds();
  worker.finish(`${jobId}/0`, 'succeeded');
  await cell.advance(3_000);
  const seconds = await readSeconds(cell);
  t.true(Math.abs(seconds - (endedAt - startedAt) / 1_000) < 0.1, `after the end: ${seconds}`);
});

/** Guards against a report that seems complete although a worker partition's owner has no reports of its workers. */
test('the report states the number of executions that are not measured', async (t) => {
  const { cell, daemon } = await createRunningCell({ workers: [1], partitionCount: 2 });
  await cell.submit(0, {});
  await cell.advanceUntil(() => cell.workers[0]?.executions.length === 1);
  await cell.advance(1_500);
  const read = async () =>
    (await cell.call(0, 'usage.report', { partition: 0 })).unwrap().unmeasured;
  t.is(await read(), 0);
  cell.crashOwner(daemon, 1);
  t.is(await read(), 1);
  cell.workers[0]!.fault = 'silent';
  await cell.takeOver(cell.createDaemon('second'), 1);
  t.is(await read(), 1);
});

/** Guards against double counting when records are replayed, overlap or arrive late. */
test('intervals of an execution count once in any order, also after recovery from a snapshot', (t) => {
  const ends = fc.array(fc.integer({ min: 1, max: 7_200 }), { minLength: 1, maxLength: 6 });
  fc.assert(
    fc.property(ends, fc.nat(), (seconds, cut) => {
      let state = createRunningState();
      const records = seconds.map((second) => createUsageRecordUntil(STARTED_AT + second * 1_000));
      records.forEach((record, index) => {
        applyRecord(state, record);
        if (index !== cut % records.length) return;
        const snapshot = createSnapshotRecords(state, STARTED_AT);
        state = createJobsState();
        [...snapshot, ...records.slice(0, index + 1)].forEach((one) => applyRecord(state, one));
      });
      t.deepEqual(sumUsage(state), { seconds: Math.max(...seconds), tasks: 1 });
    }),
  );
});

/** Guards against losing days of a service's usage when its worker fails together with the daemon it reports to. */
test('a long execution writes one usage record per hour, none of which ends after the execution', async (t) => {
  const clock = createManualClock(STARTED_AT);
  const state = createRunningState();
  const located = findTask(state, '0-a/0')!;
  const records: UsageRecord[] = [];
  const partition = {
    state,
    isClosed: () => false,
    async append(record: UsageRecord) {
      records.push(record);
      applyRecord(state, record);
      return Ok(undefined);
    },
  } as unknown as JobPartition;
  const collectRuns = async () => {
    const until = clock.wallMilliseconds();
    const run = { taskId: '0-a/0', attempt: 1, startedAt: STARTED_AT, until, isRunning: true };
    return { runs: [{ located, run }], unmeasured: 0 };
  };
  const usage = { collectRuns, readUsage: async () => ({ rows: [], unmeasured: 0 }) };
  const checkpoints = startUsageCheckpoints({ partition, usage, clock, log: createSilentLog() });
  t.teardown(() => checkpoints.close());
  for (let minute = 0; minute < 50 * 60; minute += 1) {
    clock.advance(60_000);
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
  t.true(records.length >= 45 && records.length <= 50, String(records.length));
  const { seconds, tasks } = sumUsage(state);
  t.is(tasks, 1);
  t.true(seconds * 1_000 > 50 * HOUR_MILLISECONDS - HOUR_MILLISECONDS - 600_000, String(seconds));
  const last = records.at(-1)!;
  t.true(last.endedAt <= clock.wallMilliseconds() - CLOCK_SKEW_MILLISECONDS);
});
