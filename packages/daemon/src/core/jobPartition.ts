/**
 * Accepted jobs of one owned partition: acceptance, cancellation, ends of tasks, and waiting callers. Durable
 * records change the state only here.
 */
import { createFailure, Err, Ok, sleep, TIMED_OUT, withTimeout } from '@chicorybend/common';
import type { Clock, Counters, Failure, Log, Result } from '@chicorybend/common';
import { NO_RESOURCES } from '@chicorybend/decisions';
import { v7 as createUuid } from 'uuid';

import type { JournalRecord, TaskEndedRecord } from '../types/journalRecord.js';
import type { JournalError, PartitionLease } from '../types/partition.js';
import type { PeerMethods, TaskEvent } from '../types/peerMethods.js';

import { createFaultHandler } from '../utils/faults.js';
import { findUncountedInterval } from './countedUsage.js';
import {
  applyRecord,
  findTask,
  removeExpiredJobs,
  isExecuting,
  scopeIdempotencyKey,
} from './jobState.js';
import type { Job, JobsState, Task } from './jobState.js';
import { createUsageRecord } from './usage.js';

/** Store outages last up to hours; records other than acceptances wait them out. */
const RECORD_DEADLINE_MILLISECONDS = 3_600_000;
const RESOLVE_DELAY_MILLISECONDS = 500;
const FORGET_INTERVAL_MILLISECONDS = 60_000;

/** Told about changes of durable state. */
export interface JobPartitionListener {
  /** A job was accepted. */
  jobAccepted(job: Job): void;
  /** An execution of a task ended, or an intent was found to have had no effect. */
  executionEnded(job: Job, task: Task, record: TaskEndedRecord | null): void;
  /** A job was cancelled. */
  jobCancelled(job: Job): void;
  /** A held job was released. */
  jobReleased(job: Job): void;
}

/** What a job partition needs. */
export interface JobPartitionOptions {
  readonly lease: PartitionLease;
  readonly state: JobsState;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly log: Log;
}

/** Parameters of a submission. */
export type Submission = PeerMethods['job.submit']['params'];

/** Jobs of one owned partition. */
export interface JobPartition {
  readonly lease: PartitionLease;
  readonly state: JobsState;
  setListener(listener: JobPartitionListener): void;
  /** @returns whether records and sends are over, because the partition was closed or lost */
  isClosed(): boolean;
  /** Makes a record durable and applies it; a record whose fate is unknown is pursued in the background. */
  append(record: JournalRecord): Promise<Result<void, JournalError>>;
  /** Appends a record until it is durable or the partition is closed. */
  appendUntilDurable(record: JournalRecord): Promise<boolean>;
  /** @returns whether the idempotency key was used before */
  isDuplicate(submission: Submission): boolean;
  submit(submission: Submission, deadlineMilliseconds: number): Promise<Result<string, Failure>>;
  /** Cancels a job; a job that has ended is refused. */
  cancel(job: Job): Promise<Result<void, Failure>>;
  /** Lets a held job go on. */
  release(job: Job): Promise<Result<void, Failure>>;
  /** @returns whether a cancellation is durable or on its way */
  isCancelling(job: Job): boolean;
  /** Makes the end of an execution durable; success means that the worker may forget it. */
  recordTaskEvent(event: TaskEvent): Promise<Result<void, Failure>>;
  /** Waits until a job has ended or the time has passed. */
  waitForEnd(job: Job, waitMilliseconds: number): Promise<void>;
  /** Waits until the records on their way are settled, and takes no more; before a handover. */
  finishAppends(): Promise<void>;
  close(): void;
}

interface PendingAcceptance {
  readonly jobId: string;
  readonly bodyHash: string;
  outcome: Promise<Result<string, Failure>>;
}

function describeJournalError({ kind }: JournalError): Failure {
  return createFailure(kind === 'not-durable' ? 'store-unavailable' : 'acceptance-unknown');
}

/**
 * Creates the jobs of an owned partition.
 *
 * @param options lease, replayed state and dependencies
 * @returns the partition
 */
export function createJobPartition(options: JobPartitionOptions): JobPartition {
  const { lease, state, clock, counters, log } = options;
  const acceptances = new Map<string, PendingAcceptance>();
  const cancelling = new Map<string, Promise<Result<void, JournalError>>>();
  const recordingEnds = new Map<string, Promise<Result<void, Failure>>>();
  const waiters = new Map<string, Set<() => void>>();
  let listener: JobPartitionListener | null = null;
  const onTheirWay = new Set<Promise<unknown>>();
  let closed = false;
  let isSettling = false;
  let cancelForget = clock.setTimer(forget, FORGET_INTERVAL_MILLISECONDS);

  function forget(): void {
    removeExpiredJobs(state, clock.wallMilliseconds());
    cancelForget = clock.setTimer(forget, FORGET_INTERVAL_MILLISECONDS);
  }

  function wakeWaiters(job: Job): void {
    if (job.endedAt === null) return;
    waiters.get(job.jobId)?.forEach((wake) => wake());
    waiters.delete(job.jobId);
  }

  function notifyEnded(record: JournalRecord, taskId: string, attempt: number): void {
    const located = findTask(state, taskId);
    if (!located || located.task.attempt !== attempt) return;
    const ended = record.type === 'task-ended' ? record : null;
    listener?.executionEnded(located.job, located.task, ended);
    wakeWaiters(located.job);
  }

  function wasExecuting(taskId: string, attempt: number): boolean {
    const located = findTask(state, taskId);
    return located !== null && located.task.attempt === attempt && isExecuting(located.task);
  }

  function applyEnd(record: JournalRecord & { taskId: string; attempt: number }): void {
    const isNews = wasExecuting(record.taskId, record.attempt);
    applyRecord(state, record);
    if (isNews) notifyEnded(record, record.taskId, record.attempt);
  }

  function applyJobRecord(record: JournalRecord & { jobId: string }): void {
    const isRepeated = state.jobs.has(record.jobId);
    applyRecord(state, record);
    const job = state.jobs.get(record.jobId);
    if (!job) return;
    if (!isRepeated) listener?.jobAccepted(job);
    if (record.type === 'job-cancelled') listener?.jobCancelled(job);
    if (record.type === 'job-held' && !job.isHeld) listener?.jobReleased(job);
    wakeWaiters(job);
  }

  function apply(record: JournalRecord): void {
    counters.increment('journal.applied', 1, { type: record.type });
    if (record.type === 'task-ended' || record.type === 'task-not-started') applyEnd(record);
    else if ('jobId' in record) applyJobRecord(record);
    else applyRecord(state, record);
  }

  async function appendOnce(
    record: JournalRecord,
    deadlineMilliseconds: number,
  ): Promise<Result<void, JournalError>> {
    if (closed || isSettling) {
      return Err({ kind: 'not-durable', reason: 'the partition is closed' });
    }
    const appending = lease.journal.append(record, deadlineMilliseconds);
    onTheirWay.add(appending);
    const outcome = await appending;
    onTheirWay.delete(appending);
    if (outcome.isOk()) {
      if (!closed) apply(record);
    } else if (outcome.error.kind === 'fenced') close();
    return outcome;
  }

  /** Records are safe to apply twice, so that the same record is appended again until its fate is known. */
  async function appendSurely(record: JournalRecord): Promise<boolean> {
    for (;;) {
      const outcome = await appendOnce(record, RECORD_DEADLINE_MILLISECONDS);
      if (outcome.isOk()) return true;
      if (closed || isSettling) return false;
      await sleep(clock, RESOLVE_DELAY_MILLISECONDS);
    }
  }

  async function append(record: JournalRecord): Promise<Result<void, JournalError>> {
    const outcome = await appendOnce(record, RECORD_DEADLINE_MILLISECONDS);
    if (outcome.isErr() && outcome.error.kind === 'unknown') {
      return (await appendSurely(record)) ? Ok(undefined) : outcome;
    }
    return outcome;
  }

  function resolveAcceptance(key: string, record: JournalRecord): void {
    appendSurely(record)
      .then(() => acceptances.delete(key))
      .catch(createFaultHandler(log, 'acceptance failed'));
  }

  async function accept(
    key: string,
    record: JournalRecord & { jobId: string },
    deadlineMilliseconds: number,
  ): Promise<Result<string, Failure>> {
    const outcome = await appendOnce(record, deadlineMilliseconds);
    if (outcome.isOk()) {
      acceptances.delete(key);
      return Ok(record.jobId);
    }
    if (outcome.error.kind === 'not-durable') {
      acceptances.delete(key);
      return Err(createFailure('store-unavailable'));
    }
    if (outcome.error.kind === 'unknown') resolveAcceptance(key, record);
    const details = [{ path: 'jobId', reason: record.jobId }];
    return Err(createFailure('acceptance-unknown', {}, { details }));
  }

  function describeAcceptance(
    jobId: string,
    submission: Submission,
  ): JournalRecord & { jobId: string } {
    return {
      type: 'job-accepted',
      jobId,
      team: submission.team,
      idempotencyKey: submission.idempotencyKey,
      bodyHash: submission.bodyHash,
      request: submission.request,
      acceptedAt: clock.wallMilliseconds(),
    };
  }

  function answerRepeated(
    jobId: string,
    firstHash: string,
    bodyHash: string,
  ): Result<string, Failure> {
    return firstHash === bodyHash ? Ok(jobId) : Err(createFailure('idempotency-key-reused'));
  }

  function isKnown({ team, idempotencyKey }: Submission): boolean {
    const key = scopeIdempotencyKey(team, idempotencyKey);
    return state.jobIdsByIdempotencyKey.has(key) || acceptances.has(key);
  }

  async function settle(): Promise<void> {
    isSettling = true;
    await Promise.allSettled(onTheirWay);
  }

  async function submit(
    submission: Submission,
    deadlineMilliseconds: number,
  ): Promise<Result<string, Failure>> {
    const key = scopeIdempotencyKey(submission.team, submission.idempotencyKey);
    const known = state.jobs.get(state.jobIdsByIdempotencyKey.get(key) ?? '');
    if (known) return answerRepeated(known.jobId, known.accepted.bodyHash, submission.bodyHash);
    const pending = acceptances.get(key);
    if (pending) {
      const repeated = answerRepeated(pending.jobId, pending.bodyHash, submission.bodyHash);
      return repeated.isOk() ? pending.outcome : repeated;
    }
    const jobId = `${lease.partition}-${createUuid()}`;
    const record = describeAcceptance(jobId, submission);
    const outcome = accept(key, record, deadlineMilliseconds);
    acceptances.set(key, { jobId, bodyHash: submission.bodyHash, outcome });
    return outcome;
  }

  async function cancel(job: Job): Promise<Result<void, Failure>> {
    const record = {
      type: 'job-cancelled' as const,
      jobId: job.jobId,
      cancelledAt: clock.wallMilliseconds(),
    };
    const running = cancelling.get(job.jobId) ?? append(record);
    cancelling.set(job.jobId, running);
    const outcome = await running;
    cancelling.delete(job.jobId);
    return outcome.mapErr(describeJournalError);
  }

  async function release(job: Job): Promise<Result<void, Failure>> {
    const outcome = await append({ type: 'job-held', jobId: job.jobId, held: false });
    return outcome.mapErr(describeJournalError);
  }

  function describeEnd(event: TaskEvent): TaskEndedRecord {
    const now = clock.wallMilliseconds();
    if (event.event.kind === 'lapsed') {
      const { ran } = event.event;
      return {
        type: 'task-ended',
        taskId: event.event.attempt.taskId,
        attempt: event.event.attempt.attempt,
        workerId: event.workerId,
        end: 'lost',
        result: null,
        startedAt: ran?.startedAt ?? now,
        endedAt: ran?.until ?? now,
        peak: NO_RESOURCES,
      };
    }
    const { taskId, attempt, end, result, startedAt, endedAt, peak } = event.event.finished;
    const { workerId } = event;
    return { type: 'task-ended', taskId, attempt, workerId, end, result, startedAt, endedAt, peak };
  }

  async function recordEnd(ended: TaskEndedRecord): Promise<Result<void, Failure>> {
    const located = findTask(state, ended.taskId);
    if (!located) return Ok(undefined);
    const isNews = wasExecuting(ended.taskId, ended.attempt);
    const isCounted = findUncountedInterval(located, ended) === null;
    if (!isNews && isCounted) return Ok(undefined);
    // The execution was taken for lost before; the rest of its usage still counts.
    const outcome = await append(isNews ? ended : createUsageRecord(located.job, ended));
    return outcome.isOk() ? Ok(undefined) : Err(createFailure('store-unavailable'));
  }

  async function recordEvent(event: TaskEvent): Promise<Result<void, Failure>> {
    const ended = describeEnd(event);
    const key = `${ended.taskId}#${ended.attempt}`;
    const running = recordingEnds.get(key) ?? recordEnd(ended);
    recordingEnds.set(key, running);
    const outcome = await running;
    recordingEnds.delete(key);
    return outcome;
  }

  async function waitForEnd(job: Job, waitMilliseconds: number): Promise<void> {
    if (job.endedAt !== null || waitMilliseconds <= 0) return;
    const own = waiters.get(job.jobId) ?? new Set();
    waiters.set(job.jobId, own);
    let wake: () => void = () => {};
    const ended = new Promise<void>((resolve) => {
      wake = resolve;
    });
    own.add(wake);
    if ((await withTimeout(clock, ended, waitMilliseconds)) === TIMED_OUT) own.delete(wake);
  }

  function close(): void {
    if (closed) return;
    closed = true;
    cancelForget();
    waiters.forEach((own) => own.forEach((wake) => wake()));
    waiters.clear();
  }

  return {
    lease,
    state,
    setListener(next) {
      listener = next;
    },
    isClosed: () => closed || isSettling,
    isDuplicate: isKnown,
    finishAppends: settle,
    append,
    appendUntilDurable: appendSurely,
    submit,
    cancel,
    release,
    isCancelling: (job) => job.isCancelled || cancelling.has(job.jobId),
    recordTaskEvent: recordEvent,
    waitForEnd,
    close,
  };
}
