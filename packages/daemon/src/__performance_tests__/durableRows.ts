/**
 * Costs of durable work: journal records and bytes per task, and the stall of the event loop in a wave of
 * cancellations.
 */
import { monitorEventLoopDelay } from 'node:perf_hooks';

import { createSystemClock, Err, Ok } from '@chicorybend/common';
import type { BenchOptions, BenchRow, ManualClock, Result } from '@chicorybend/common';

import { createRunningCell, createTestCell, NON_IDEMPOTENT_JOB } from '../__tests__/testCell.js';
import type { TestCell, TestDaemon, TestJournal } from '../__tests__/testCell.js';
import type { JournalError, JournalRecord } from '../index.js';

const TASKS_OF_LARGE_JOB = 100;
/** Acceptance, intent and end. */
const RECORDS_OF_SINGLE_TASK = 3;
/** One acceptance for all; an intent and an end for each. */
const RECORDS_OF_TASK_IN_LARGE_JOB = 2.05;
/** At 6,300 starts/s this is 5 MB/s over all partitions, in segments of up to 1 MB. */
const BYTES_OF_SINGLE_TASK = 1_000;
const BYTES_OF_TASK_IN_LARGE_JOB = 600;
const CANCELLATIONS = 100_000;
const CANCELLATIONS_SHORT = 5_000;
/** A quarter of the smallest liveness limit on a link, which is 1.5 s, with room to spare. */
const STALL_MILLISECONDS = 200;
/** Calls that arrive between two turns of the event loop. */
const CALLS_PER_TURN = 250;
/** The journal writes segments of up to this many records. */
const RECORDS_PER_COMMIT = 4_000;
const COMMIT_MILLISECONDS = 5;
const NANOSECONDS_PER_MILLISECOND = 1e6;

function countExecutions(cell: TestCell): number {
  return cell.workers.flatMap((worker) => worker.executions).length;
}

async function runJob(tasks: number): Promise<readonly JournalRecord[]> {
  const { cell } = await createRunningCell({ workers: Math.ceil(tasks / 4) });
  const jobId = await cell.submit(0, { tasks });
  await cell.advanceUntil(() => countExecutions(cell) === tasks);
  await cell.advance(100);
  cell.workers.forEach((worker) => {
    worker.running().forEach(({ taskId }) => worker.finish(taskId, 'succeeded', 'done'));
  });
  await cell.advance(3_000);
  const { state } = await cell.read(jobId);
  if (state !== 'succeeded') throw new Error(`the job has ended as ${state}`);
  return cell.journal(0).records;
}

function countBytes(records: readonly JournalRecord[]): number {
  return records.reduce((sum, record) => sum + JSON.stringify(record).length, 0);
}

async function collectJournalRows(): Promise<readonly BenchRow[]> {
  const single = await runJob(1);
  const large = await runJob(TASKS_OF_LARGE_JOB);
  const row = (name: string, measured: number, bound: number, unit: string): BenchRow => ({
    name,
    measured,
    bound,
    direction: 'at-most',
    unit,
  });
  return [
    row('journal records per task, one task', single.length, RECORDS_OF_SINGLE_TASK, 'records'),
    row(
      'journal records per task, 100 tasks',
      large.length / TASKS_OF_LARGE_JOB,
      RECORDS_OF_TASK_IN_LARGE_JOB,
      'records',
    ),
    row('journal bytes per task, one task', countBytes(single), BYTES_OF_SINGLE_TASK, 'bytes'),
    row(
      'journal bytes per task, 100 tasks',
      countBytes(large) / TASKS_OF_LARGE_JOB,
      BYTES_OF_TASK_IN_LARGE_JOB,
      'bytes',
    ),
  ];
}

interface PendingRecord {
  readonly record: JournalRecord;
  readonly resolve: (outcome: Result<void, JournalError>) => void;
}

/** A journal with group commits of bounded size. */
function createGroupJournal(clock: ManualClock): TestJournal {
  const waiting: PendingRecord[] = [];
  const records: JournalRecord[] = [];
  let isCommitting = false;

  function commit(): void {
    const group = waiting.splice(0, RECORDS_PER_COMMIT);
    group.forEach(({ record, resolve }) => {
      records.push(record);
      resolve(Ok(undefined));
    });
    isCommitting = waiting.length > 0;
    if (isCommitting) clock.setTimer(commit, COMMIT_MILLISECONDS);
  }

  const journal: TestJournal = {
    fault: 'none',
    epoch: 0,
    records,
    open(epoch) {
      journal.epoch = epoch;
      return {
        append(record) {
          if (epoch !== journal.epoch) {
            return Promise.resolve(Err({ kind: 'fenced', reason: 'another epoch' }));
          }
          if (!isCommitting) clock.setTimer(commit, COMMIT_MILLISECONDS);
          isCommitting = true;
          return new Promise((resolve) => {
            waiting.push({ record, resolve });
          });
        },
      };
    },
  };
  return journal;
}

function nextTurn(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

/** Sends calls as they arrive from sockets: some between each two turns of the event loop. */
async function sendInTurns<Value>(
  count: number,
  send: (index: number) => Promise<Value>,
): Promise<readonly Value[]> {
  const sent: Promise<Value>[] = [];
  for (let index = 0; index < count; index += 1) {
    sent.push(send(index));
    if (index % CALLS_PER_TURN === 0) await nextTurn();
  }
  return Promise.all(sent);
}

/** A cell on the real clock with waiting jobs, none of which may start. */
async function createWaitingCell(
  jobs: number,
): Promise<{ cell: TestCell; daemon: TestDaemon; jobIds: readonly string[] }> {
  const clock: ManualClock = { ...createSystemClock(), advance: () => {} };
  const cell = createTestCell({ workers: 2, clock, createJournal: createGroupJournal });
  cell.taskLimits.set('harbour', 0);
  const daemon = cell.createDaemon('first');
  await cell.takeOver(daemon, 0);
  const outcomes = await sendInTurns(jobs, (index) =>
    cell.startCall(0, 'job.submit', {
      partition: 0,
      team: 'harbour',
      idempotencyKey: `key-${index}`,
      bodyHash: 'a',
      request: NON_IDEMPOTENT_JOB,
    }),
  );
  return { cell, daemon, jobIds: outcomes.map((outcome) => outcome.unwrap().jobId) };
}

async function measureStall(jobs: number): Promise<number> {
  const { cell, daemon, jobIds } = await createWaitingCell(jobs);
  const delay = monitorEventLoopDelay({ resolution: 1 });
  delay.enable();
  const outcomes = await sendInTurns(jobIds.length, (index) =>
    cell.startCall(0, 'job.cancel', { jobId: jobIds[index] ?? '', team: 'harbour' }),
  );
  delay.disable();
  const isCancelled = outcomes.every((outcome) => outcome.unwrap().state === 'cancelled');
  cell.crashOwner(daemon, 0);
  if (!isCancelled) throw new Error('a job was not cancelled');
  return delay.max / NANOSECONDS_PER_MILLISECOND;
}

async function collectStallRow({ isShort }: BenchOptions): Promise<BenchRow> {
  const jobs = isShort ? CANCELLATIONS_SHORT : CANCELLATIONS;
  return {
    name: `longest stall of the event loop in ${jobs} cancellations`,
    measured: await measureStall(jobs),
    bound: isShort ? null : STALL_MILLISECONDS,
    direction: 'at-most',
    unit: 'ms',
  };
}

/**
 * Measures the costs of durable work.
 *
 * @param options size of the run
 * @returns rows; those without a bound are only reported
 */
export async function collectDurableRows(options: BenchOptions): Promise<readonly BenchRow[]> {
  return [...(await collectJournalRows()), await collectStallRow(options)];
}
