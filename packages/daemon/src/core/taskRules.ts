/**
 * Rules for retries, stops and job states. The end of an execution becomes events of the state chart `task`.
 */
import type { JobState, TaskState } from '@chicorybend/common';

import type { TaskEndedRecord } from '../types/journalRecord.js';

import type { Job, Task } from './jobState.js';

/** Failed executions of an idempotent batch task after which its job has failed. */
export const MAXIMUM_TASK_FAILURES = 3;

/**
 * @returns whether tasks of the job may run again after an execution that may have had effects
 */
export function mayRunAgain(job: Job): boolean {
  return job.request.kind === 'service' || job.request.idempotent;
}

/**
 * @returns whether the job was cancelled or a task of it has failed, so that no further execution may start
 */
export function isTerminating(job: Job): boolean {
  return job.isCancelled || job.counts.failed > 0;
}

/**
 * @returns whether running tasks of the job are stopped; those of a failed batch run to their end
 */
export function mustStopRunningTasks(job: Job): boolean {
  return job.isCancelled || (job.request.kind === 'gang' && job.counts.failed > 0);
}

function eventAfterFailure(job: Job, task: Task): string {
  if (isTerminating(job)) return 'FAILED';
  if (job.request.kind === 'service') return 'RETRY';
  return mayRunAgain(job) && task.failures + 1 < MAXIMUM_TASK_FAILURES ? 'RETRY' : 'FAILED';
}

function eventAfterStop(job: Job): string {
  if (isTerminating(job)) return 'STOPPED';
  return mayRunAgain(job) ? 'RECLAIMED' : 'FAILED';
}

function eventAfterLoss(job: Job): string {
  if (!mayRunAgain(job)) return 'OUTCOME_UNKNOWN';
  return isTerminating(job) ? 'STOPPED' : 'RETRY';
}

/**
 * Translates the end of an execution into events of the state chart of its task.
 *
 * @param job state of the job before the end
 * @param task state of the task before the end
 * @param end how the execution ended
 * @returns events to apply in this order
 */
export function eventsAfterEnd(
  job: Job,
  task: Task,
  end: TaskEndedRecord['end'],
): readonly string[] {
  switch (end) {
    case 'succeeded':
      return [job.request.kind === 'service' && !isTerminating(job) ? 'RETRY' : 'SUCCEEDED'];
    case 'failed':
      return [eventAfterFailure(job, task)];
    case 'stopped':
    case 'checkpointed':
      return [eventAfterStop(job)];
    default:
      return ['LEASE_LAPSED', eventAfterLoss(job)];
  }
}

function stateOfEndedJob(
  counts: Readonly<Record<TaskState, number>>,
  isCancelled: boolean,
): JobState {
  if (counts.unknown > 0) return 'unknown';
  if (counts.failed > 0) return 'failed';
  if (counts.cancelled > 0) return 'cancelled';
  return isCancelled && counts.succeeded === 0 ? 'cancelled' : 'succeeded';
}

/**
 * @returns state of the job in the view of callers
 */
export function stateOfJob(job: Job): JobState {
  const { counts } = job;
  if (job.endedAt !== null) return stateOfEndedJob(counts, job.isCancelled);
  if (job.isCancelled) return 'cancelling';
  if (job.isHeld) return 'held';
  return counts.pending + counts.reserved === job.tasks.length ? 'queued' : 'running';
}
