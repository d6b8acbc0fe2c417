/**
 * Jobs of one owned partition: acceptance, cancellation, ends of tasks, and callers that wait for an end. All
 * records are appended to the journal here, and applied to the state once they are durable.
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

/** Store outages can last for hours. Acceptances have the deadline of their caller instead. */
const APPEND_DEADLINE_MILLISECONDS = 3_600_000;
const APPEND_RETRY_DELAY_MILLISECONDS = 500;
const EXPIRY_INTERVAL_MILLISECONDS = 60_000;

/** Notified after a durable record has changed the state. */
export interface JobPartitionListener {
  jobAccepted(job: Job): void;
  /** An execution ended, or its start certainly had no effect; then the record is null. */
  executionEnded(job: Job, task: Task, record: TaskEndedRecord | null): void;
  jobCancelled(job: Job): void;
  /** An operator released a held job. */
  jobReleased(job: Job): void;
}

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
  /** @returns whether the partition takes no more records, because it was closed, fenced or handed over */
  isClosed(): boolean;
  /**
   * Makes a record durable and applies it. If the store did not say whether a record is durable, the record is
   * appended again until the result is known.
   */
  append(record: JournalRecord): Promise<Result<void, JournalError>>;
  /**
   * Appends a record again and again until it is durable or the partition is closed.
   *
   * @returns whether the record is durable
   */
  appendUntilDurable(record: JournalRecord): Promise<boolean>;
  /** @returns whether the idempotency key was used before, also by an acceptance in progress */
  isDuplicate(submission: Submission): boolean;
  /** @returns id of the job; the first one if the submission repeats an earlier one */
  submit(submission: Submission, deadlineMilliseconds: number): Promise<Result<string, Failure>>;
  /** Makes a cancellation durable. The caller checks that the job has not ended. */
  cancel(job: Job): Promise<Result<void, Failure>>;
  /** Releases a held job, so that its tasks may start again. */
  release(job: Job): Promise<Result<void, Failure>>;
  /** @returns whether a cancellation is durable or being appended */
  isCancelling(job: Job): boolean;
  /** Makes the end of an execution durable. After success the worker may discard its report of the end. */
  recordTaskEvent(event: TaskEvent): Promise<Result<void, Failure>>;
  /** Waits until the job has ended, the time has passed or the partition is closed. */
  waitForEnd(job: Job, waitMilliseconds: number): Promise<void>;
  /** Refuses further records and waits for the appends in flight, before a handover. */
  finishAppends(): Promise<void>;
  close(): void;
}

interface PendingAcceptance {
  readonly jobId: string;
  readonly bodyHash: string;
  outcome: Promise<Result<string, Failure>>;
}

function toFailure({ kind }: JournalError): Failure {
  return createFailure(kind === 'not-durable' ? 'store-unavailable' : 'acceptance-unknown');
}

/**
 * Creates the job partition from its replayed state.
 */
export function createJobPartition(options: JobPartitionOptions): JobPartition {
  const { lease, state, clock, counters, log } = options;
  const pendingAcceptances = new Map<string, PendingAcceptance>();
  const pendingCancellations = new Map<string, Promise<Result<void, JournalError>>>();
  const pendingEnds = new Map<string, Promise<Result<void, Failure>>>();
  const waiters = new Map<string, Set<() => void>>();
  let listener: JobPartitionListener | null = null;
  const appendsInFlight = new Set<Promise<unknown>>();
  let closed = false;
  let isFinishing = false;
  let cancelExpiryTimer = clock.setTimer(removeExpired, EXPIRY_INTERVAL_MILLISECONDS);

  function removeExpired(): void {
    removeExpiredJobs(state, clock.wallMilliseconds());
    cancelExpiryTimer = clock.setTimer(removeExpired, EXPIRY_INTERVAL_MILLISECONDS);
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

  function isExecutingAttempt(taskId: string, attempt: number): boolean {
    const located = findTask(state, taskId);
    return located !== null && located.task.attempt === attempt && isExecuting(located.task);
  }

  function applyEnd(record: JournalRecord & { taskId: string; attempt: number }): void {
    const endsExecution = isExecutingAttempt(record.taskId, record.attempt);
    applyRecord(state, record);
    if (endsExecution) notifyEnded(record, record.taskId, record.attempt);
  }

  function applyJobRecord(record: JournalRecord & { jobId: string }): void {
    const isKnownJob = state.jobs.has(record.jobId);
    applyRecord(state, record);
    const job = state.jobs.get(record.jobId);
    if (!job) return;
    if (!isKnownJob) listener?.jobAccepted(job);
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
    if (closed || isFinishing) {
      return Err({ kind: 'not-durable', reason: 'the partition is closed' });
    }
    const appending = lease.journal.append(record, deadlineMilliseconds);
    appendsInFlight.add(appending);
    const outcome = await appending;
    appendsInFlight.delete(appending);
    if (outcome.isOk()) {
      if (!closed) apply(record);
    } else if (outcome.error.kind === 'fenced') close();
    return outcome;
  }

  /** Appending a record twice is harmless, because applying it twice changes nothing. */
  async function appendUntilDurable(record: JournalRecord): Promise<boolean> {
    for (;;) {
      const outcome = await appendOnce(record, APPEND_DEADLINE_MILLISECONDS);
      if (outcome.isOk()) return true;
      if (closed || isFinishing) return false;
      await sleep(clock, APPEND_RETRY_DELAY_MILLISECONDS);
    }
  }

  async function append(record: JournalRecord): Promise<Result<void, JournalError>> {
    const outcome = await appendOnce(record, APPEND_DEADLINE_MILLISECONDS);
    if (outcome.isErr() && outcome.error.kind === 'unknown') {
      return (await appendUntilDurable(record)) ? Ok(undefined) : outcome;
    }
    return outcome;
  }

  function resolveAcceptance(key: string, record: JournalRecord): void {
    appendUntilDurable(record)
      .then(() => pendingAcceptances.delete(key))
      .catch(createFaultHandler(log, 'resolving the acceptance of a job failed'));
  }

  async function appendAcceptance(
    key: string,
    record: JournalRecord & { jobId: string },
    deadlineMilliseconds: number,
  ): Promise<Result<string, Failure>> {
    const outcome = await appendOnce(record, deadlineMilliseconds);
    if (outcome.isOk()) {
      pendingAcceptances.delete(key);
      return Ok(record.jobId);
    }
    if (outcome.error.kind === 'not-durable') {
      pendingAcceptances.delete(key);
      return Err(createFailure('store-unavailable'));
    }
    if (outcome.error.kind === 'unknown') resolveAcceptance(key, record);
    const details = [{ path: 'jobId', reason: record.jobId }];
    return Err(createFailure('acceptance-unknown', {}, { details }));
  }

  function createAcceptanceRecord(
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

  function answerDuplicate(
    jobId: string,
    firstHash: string,
    bodyHash: string,
  ): Result<string, Failure> {
    return firstHash === bodyHash ? Ok(jobId) : Err(createFailure('idempotency-key-reused'));
  }

  function isDuplicate({ team, idempotencyKey }: Submission): boolean {
    const key = scopeIdempotencyKey(team, idempotencyKey);
    return state.jobIdsByIdempotencyKey.has(key) || pendingAcceptances.has(key);
  }

  async function finishAppends(): Promise<void> {
    isFinishing = true;
    await Promise.allSettled(appendsInFlight);
  }

  async function submit(
    submission: Submission,
    deadlineMilliseconds: number,
  ): Promise<Result<string, Failure>> {
    const key = scopeIdempotencyKey(submission.team, submission.idempotencyKey);
    const known = state.jobs.get(state.jobIdsByIdempotencyKey.get(key) ?? '');
    if (known) return answerDuplicate(known.jobId, known.accepted.bodyHash, submission.bodyHash);
    const pending = pendingAcceptances.get(key);
    if (pending) {
      const repeated = answerDuplicate(pending.jobId, pending.bodyHash, submission.bodyHash);
      return repeated.isOk() ? pending.outcome : repeated;
    }
    const jobId = `${lease.partition}-${createUuid()}`;
    const record = createAcceptanceRecord(jobId, submission);
    const outcome = appendAcceptance(key, record, deadlineMilliseconds);
    pendingAcceptances.set(key, { jobId, bodyHash: submission.bodyHash, outcome });
    return outcome;
  }

  async function cancel(job: Job): Promise<Result<void, Failure>> {
    const record = {
      type: 'job-cancelled' as const,
      jobId: job.jobId,
      cancelledAt: clock.wallMilliseconds(),
    };
    const running = pendingCancellations.get(job.jobId) ?? append(record);
    pendingCancellations.set(job.jobId, running);
    const outcome = await running;
    pendingCancellations.delete(job.jobId);
    return outcome.mapErr(toFailure);
  }

  async function release(job: Job): Promise<Result<void, Failure>> {
    const outcome = await append({ type: 'job-held', jobId: job.jobId, held: false });
    return outcome.mapErr(toFailure);
  }

  function createEndRecord(event: TaskEvent): TaskEndedRecord {
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
    const endsExecution = isExecutingAttempt(ended.taskId, ended.attempt);
    const isCounted = findUncountedInterval(located, ended) === null;
    if (!endsExecution && isCounted) return Ok(undefined);
    // The execution was recorded as lost before this report; its remaining usage still counts.
    const outcome = await append(endsExecution ? ended : createUsageRecord(located.job, ended));
    return outcome.isOk() ? Ok(undefined) : Err(createFailure('store-unavailable'));
  }

  async function recordTaskEvent(event: TaskEvent): Promise<Result<void, Failure>> {
    const ended = createEndRecord(event);
    const key = `${ended.taskId}#${ended.attempt}`;
    const running = pendingEnds.get(key) ?? recordEnd(ended);
    pendingEnds.set(key, running);
    const outcome = await running;
    pendingEnds.delete(key);
    return outcome;
  }

  async function waitForEnd(job: Job, waitMilliseconds: number): Promise<void> {
    if (job.endedAt !== null || waitMilliseconds <= 0) return;
    const jobWaiters = waiters.get(job.jobId) ?? new Set();
    waiters.set(job.jobId, jobWaiters);
    let wake: () => void = () => {};
    const ended = new Promise<void>((resolve) => {
      wake = resolve;
    });
    jobWaiters.add(wake);
    if ((await withTimeout(clock, ended, waitMilliseconds)) === TIMED_OUT) jobWaiters.delete(wake);
  }

  function close(): void {
    if (closed) return;
    closed = true;
    cancelExpiryTimer();
    waiters.forEach((jobWaiters) => jobWaiters.forEach((wake) => wake()));
    waiters.clear();
  }

  return {
    lease,
    state,
    setListener(next) {
      listener = next;
    },
    isClosed: () => closed || isFinishing,
    isDuplicate,
    finishAppends,
    append,
    appendUntilDurable,
    submit,
    cancel,
    release,
    isCancelling: (job) => job.isCancelled || pendingCancellations.has(job.jobId),
    recordTaskEvent,
    waitForEnd,
    close,
  };
}
