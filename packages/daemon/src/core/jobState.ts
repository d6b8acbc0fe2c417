/**
 * State of the jobs of one partition, built by applying journal records. Applying a record twice must change
 * nothing more: a snapshot may already contain the effect of records that are replayed after it.
 */

import { assertInvariant, loadStateChart } from '@chicorybend/common';
import type { JobRequest, TaskState } from '@chicorybend/common';

import type {
  CountedRun,
  JobAcceptedRecord,
  JobStateRecord,
  JournalRecord,
  TaskEndedRecord,
  TaskIntentRecord,
  TaskNotStartedRecord,
  TaskSnapshot,
} from '../types/journalRecord.js';

import { countUsage, restoreCountedRuns } from './countedUsage.js';
import { eventsAfterEnd, isTerminating, mayRunAgain } from './taskRules.js';
import { createUsageLedger } from './usage.js';
import type { UsageLedger } from './usage.js';

/** Time for which an ended job and its idempotency key are kept. */
export const JOB_RETENTION_MILLISECONDS = 24 * 3_600_000;

const chart = loadStateChart<TaskState>('task');

/** One task of a job. */
export interface Task {
  readonly taskId: string;
  state: TaskState;
  /** Number of the last execution whose intent is durable; 0 before the first. */
  attempt: number;
  /** Executions that ended as failed. */
  failures: number;
  /** True after an intent, unless its start is known to have had no effect. */
  mayHaveRun: boolean;
  workerId: string | null;
  workerPartition: number | null;
  incarnation: string | null;
  result: unknown;
  /** Usage that the ledger has counted so far, for each attempt. */
  counted: CountedRun[];
}

/** One accepted job. */
export interface Job {
  readonly jobId: string;
  readonly team: string;
  readonly request: JobRequest;
  readonly accepted: JobAcceptedRecord;
  readonly tasks: Task[];
  /** Number of tasks in each state. */
  readonly counts: Record<TaskState, number>;
  isCancelled: boolean;
  isHeld: boolean;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  endedAt: number | null;
  /** Distinct workers on which an execution failed. */
  failedWorkers: string[];
}

/** State of the jobs of one partition. */
export interface JobsState {
  readonly jobs: Map<string, Job>;
  /** Job ids by team and idempotency key. */
  readonly jobIdsByIdempotencyKey: Map<string, string>;
  readonly usage: UsageLedger;
}

/** A task with its job. */
export interface LocatedTask {
  readonly job: Job;
  readonly task: Task;
}

export function createJobsState(): JobsState {
  return { jobs: new Map(), jobIdsByIdempotencyKey: new Map(), usage: createUsageLedger() };
}

/**
 * Qualifies an idempotency key with its team, because two teams may choose the same key.
 */
export function scopeIdempotencyKey(team: string, idempotencyKey: string): string {
  return `${team}/${idempotencyKey}`;
}

/**
 * Finds a task by its id.
 *
 * @param state state of the partition
 * @param taskId `<jobId>/<index>`
 * @returns the task and its job, or null if the job is not known
 */
export function findTask(state: JobsState, taskId: string): LocatedTask | null {
  const separator = taskId.lastIndexOf('/');
  const job = state.jobs.get(taskId.slice(0, separator));
  const task = job?.tasks[Number(taskId.slice(separator + 1))];
  return job && task ? { job, task } : null;
}

/**
 * Moves a task along its state chart.
 *
 * @param job job of the task
 * @param task task to move
 * @param event event of the state chart
 * @throws InvariantError if the task's state does not take the event
 */
export function advanceTask(job: Job, task: Task, event: string): void {
  const next = chart.advance(task.state, event);
  job.counts[task.state] -= 1;
  job.counts[next] += 1;
  task.state = next;
}

/**
 * @returns whether the task has a durable intent whose execution has not ended, started or not
 */
export function isExecuting(task: Task): boolean {
  return task.state === 'intended' || task.state === 'running';
}

function createCounts(): Record<TaskState, number> {
  return {
    pending: 0,
    reserved: 0,
    intended: 0,
    running: 0,
    lost: 0,
    succeeded: 0,
    failed: 0,
    cancelled: 0,
    unknown: 0,
  };
}

function createTask(taskId: string): Task {
  return {
    taskId,
    state: chart.initial,
    attempt: 0,
    failures: 0,
    mayHaveRun: false,
    workerId: null,
    workerPartition: null,
    incarnation: null,
    result: undefined,
    counted: [],
  };
}

function addJob(state: JobsState, accepted: JobAcceptedRecord, tasks: Task[]): Job {
  const job: Job = {
    jobId: accepted.jobId,
    team: accepted.team,
    request: accepted.request,
    accepted,
    tasks,
    counts: createCounts(),
    isCancelled: false,
    isHeld: false,
    endedAt: null,
    failedWorkers: [],
  };
  tasks.forEach((task) => {
    job.counts[task.state] += 1;
  });
  state.jobs.set(job.jobId, job);
  state.jobIdsByIdempotencyKey.set(
    scopeIdempotencyKey(job.team, accepted.idempotencyKey),
    job.jobId,
  );
  return job;
}

function acceptJob(state: JobsState, record: JobAcceptedRecord): void {
  if (state.jobs.has(record.jobId)) return;
  const tasks = Array.from({ length: record.request.tasks }, (_, index) =>
    createTask(`${record.jobId}/${index}`),
  );
  addJob(state, record, tasks);
}

function restoreTask(taskId: string, snapshot: TaskSnapshot): Task {
  return {
    ...createTask(taskId),
    state: snapshot.state,
    attempt: snapshot.attempt,
    failures: snapshot.failures,
    mayHaveRun: snapshot.mayHaveRun,
    workerId: snapshot.workerId ?? null,
    workerPartition: snapshot.workerPartition ?? null,
    incarnation: snapshot.incarnation ?? null,
    result: snapshot.result,
    counted: restoreCountedRuns(snapshot),
  };
}

function restoreJob(state: JobsState, record: JobStateRecord): void {
  const { accepted } = record;
  if (state.jobs.has(accepted.jobId)) return;
  const tasks = record.tasks.map((task, index) => restoreTask(`${accepted.jobId}/${index}`, task));
  const job = addJob(state, accepted, tasks);
  job.isCancelled = record.isCancelled;
  job.isHeld = record.isHeld;
  job.endedAt = record.endedAt;
  job.failedWorkers = [...record.failedWorkers];
}

function endJobIfComplete(job: Job, wallMilliseconds: number): void {
  const { succeeded, failed, cancelled, unknown } = job.counts;
  if (succeeded + failed + cancelled + unknown === job.tasks.length) job.endedAt = wallMilliseconds;
}

function cancelUnstartedTasks(job: Job): void {
  if (job.counts.pending + job.counts.reserved === 0) return;
  job.tasks.forEach((task) => {
    if (task.state === 'pending' || task.state === 'reserved') advanceTask(job, task, 'CANCELLED');
  });
}

function intendTask(state: JobsState, record: TaskIntentRecord): void {
  const located = findTask(state, record.taskId);
  if (!located || record.attempt <= located.task.attempt) return;
  const { job, task } = located;
  assertInvariant(!isExecuting(task), 'one-place', () => `${record.taskId} is ${task.state}`);
  assertInvariant(
    !task.mayHaveRun || mayRunAgain(job),
    'at-most-once',
    () => `${record.taskId} may have run and is not idempotent`,
  );
  if (task.state === 'pending') advanceTask(job, task, 'RESERVED');
  advanceTask(job, task, 'INTENT_DURABLE');
  task.attempt = record.attempt;
  task.mayHaveRun = true;
  task.workerId = record.workerId;
  task.workerPartition = record.workerPartition;
  task.incarnation = record.incarnation ?? null;
}

function undoIntent(state: JobsState, record: TaskNotStartedRecord): void {
  const located = findTask(state, record.taskId);
  if (!located || located.task.attempt !== record.attempt) return;
  const { job, task } = located;
  if (task.state !== 'intended') return;
  advanceTask(job, task, 'NOT_STARTED');
  // An idempotent task may have run in an earlier attempt, but no rule depends on that.
  task.mayHaveRun = false;
  task.workerId = null;
  if (isTerminating(job)) {
    advanceTask(job, task, 'CANCELLED');
    endJobIfComplete(job, record.decidedAt ?? job.accepted.acceptedAt);
  }
}

function recordFailure(job: Job, task: Task, record: TaskEndedRecord): void {
  if (record.end !== 'failed') return;
  task.failures += 1;
  if (!job.failedWorkers.includes(record.workerId)) job.failedWorkers.push(record.workerId);
}

function endTask(state: JobsState, record: TaskEndedRecord): void {
  countUsage(state.usage, findTask(state, record.taskId), record);
  const located = findTask(state, record.taskId);
  if (!located || located.task.attempt !== record.attempt || !isExecuting(located.task)) return;
  const { job, task } = located;
  eventsAfterEnd(job, task, record.end).forEach((event) => advanceTask(job, task, event));
  recordFailure(job, task, record);
  task.result = record.result;
  if (task.state === 'failed') cancelUnstartedTasks(job);
  if (task.state === 'pending') task.workerId = null;
  endJobIfComplete(job, record.endedAt);
}

function cancelJob(state: JobsState, jobId: string, cancelledAt: number | undefined): void {
  const job = state.jobs.get(jobId);
  if (!job || job.isCancelled || job.endedAt !== null) return;
  job.isCancelled = true;
  cancelUnstartedTasks(job);
  endJobIfComplete(job, cancelledAt ?? job.accepted.acceptedAt);
}

function setHeld(state: JobsState, jobId: string, isHeld: boolean): void {
  const job = state.jobs.get(jobId);
  if (!job) return;
  job.isHeld = isHeld;
  // By releasing the job the operator states that the cause of its failures is gone.
  if (!isHeld) job.failedWorkers = [];
}

/**
 * Applies a durable record. The result depends only on the state and the record, so that a replay is exact.
 *
 * @param state state of the partition
 * @param record durable record
 * @throws InvariantError if the record contradicts the state
 */
export function applyRecord(state: JobsState, record: JournalRecord): void {
  switch (record.type) {
    case 'job-accepted':
      return acceptJob(state, record);
    case 'job-state':
      return restoreJob(state, record);
    case 'task-intent':
      return intendTask(state, record);
    case 'task-not-started':
      return undoIntent(state, record);
    case 'task-ended':
      return endTask(state, record);
    case 'job-cancelled':
      return cancelJob(state, record.jobId, record.cancelledAt);
    case 'job-held':
      return setHeld(state, record.jobId, record.held);
    case 'usage':
      return countUsage(state.usage, findTask(state, record.taskId), record);
    case 'usage-total':
      return state.usage.addTotal(record);
    default:
      return undefined;
  }
}

/** Reservations and confirmed starts are not durable. The next owner looks up intended tasks at the workers. */
function toDurableState(state: TaskState): TaskState {
  if (state === 'running') return 'intended';
  return state === 'reserved' ? 'pending' : state;
}

function createTaskSnapshot(task: Task): TaskSnapshot {
  return {
    state: toDurableState(task.state),
    attempt: task.attempt,
    failures: task.failures,
    mayHaveRun: task.mayHaveRun,
    ...(task.workerId === null ? {} : { workerId: task.workerId }),
    ...(task.workerPartition === null ? {} : { workerPartition: task.workerPartition }),
    ...(task.incarnation === null ? {} : { incarnation: task.incarnation }),
    ...(task.result === undefined ? {} : { result: task.result }),
    ...(task.counted.length === 0 ? {} : { counted: [...task.counted] }),
  };
}

function createJobStateRecord(job: Job): JobStateRecord {
  return {
    type: 'job-state',
    accepted: job.accepted,
    isCancelled: job.isCancelled,
    isHeld: job.isHeld,
    endedAt: job.endedAt,
    failedWorkers: [...job.failedWorkers],
    tasks: job.tasks.map(createTaskSnapshot),
  };
}

/**
 * Removes jobs whose retention time has passed, with their idempotency keys.
 *
 * @param state state of the partition
 * @param now wall-clock time in milliseconds since the Unix epoch
 */
export function removeExpiredJobs(state: JobsState, now: number): void {
  state.jobs.forEach((job) => {
    if (job.endedAt === null || job.endedAt > now - JOB_RETENTION_MILLISECONDS) return;
    state.jobs.delete(job.jobId);
    state.jobIdsByIdempotencyKey.delete(scopeIdempotencyKey(job.team, job.accepted.idempotencyKey));
  });
}

/**
 * Removes expired jobs and describes the rest of the state by records.
 *
 * @param state state of the partition
 * @param now wall-clock time in milliseconds since the Unix epoch
 * @returns records of a snapshot, which give this state when they are applied to an empty one
 */
export function createSnapshotRecords(state: JobsState, now: number): readonly JournalRecord[] {
  removeExpiredJobs(state, now);
  return [
    ...state.usage.createTotalRecords(now),
    ...[...state.jobs.values()].map(createJobStateRecord),
  ];
}
