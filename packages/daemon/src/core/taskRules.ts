/**
 * What the end of an execution means for its task, as events of the state chart `task`.
 */
import type { JobState, TaskState } from '@chicorybend/common';

import type { TaskEndedRecord } from '../types/journalRecord.js';

import type { Job, Task } from './jobState.js';

/** Executions of an idempotent batch task that may fail before its job fails. */
export const MAXIMUM_TASK_FAILURES = 3;

/**
 * @param job job to judge
 * @returns whether its tasks may run again after an execution that had effects
 */
export function mayRunAgain(job: Job): boolean {
  return job.request.kind === 'service' || job.request.idempotent;
}

/**
 * @param job job to judge
 * @returns whether no further execution of the job may start
 */
export function isTerminating(job: Job): boolean {
  return job.isCancelled || job.counts.failed > 0;
}

/**
 * @param job job to judge
 * @returns whether its running tasks are to be stopped
 */
export function mustStopRunningTasks(job: Job): boolean {
  return job.isCancelled || (job.request.kind === 'gang' && job.counts.failed > 0);
}

function afterFailure(job: Job, task: Task): string {
  if (isTerminating(job)) return 'FAILED';
  if (job.request.kind === 'service') return 'RETRY';
  return mayRunAgain(job) && task.failures + 1 < MAXIMUM_TASK_FAILURES ? 'RETRY' : 'FAILED';
}

function afterStop(job: Job): string {
  if (isTerminating(job)) return 'STOPPED';
  return mayRunAgain(job) ? 'RECLAIMED' : 'FAILED';
}

function afterLoss(job: Job): string {
  if (!mayRunAgain(job)) return 'OUTCOME_UNKNOWN';
  return isTerminating(job) ? 'STOPPED' : 'RETRY';
}

/**
 * Translates the end of an execution to events of the task's state chart.
 *
 * @param job job of the task, before the end
 * @param task task, before the end
 * @param end how the execution ended
 * @returns events to apply one after the other
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
      return [afterFailure(job, task)];
    case 'stopped':
    case 'checkpointed':
      return [afterStop(job)];
    default:
      return ['LEASE_LAPSED', afterLoss(job)];
  }
}

function stateOfEnded(counts: Readonly<Record<TaskState, number>>, isCancelled: boolean): JobState {
  if (counts.unknown > 0) return 'unknown';
  if (counts.failed > 0) return 'failed';
  if (counts.cancelled > 0) return 'cancelled';
  return isCancelled && counts.succeeded === 0 ? 'cancelled' : 'succeeded';
}

/**
 * @param job job to judge
 * @returns its state as callers see it
 */
export function stateOfJob(job: Job): JobState {
  const { counts } = job;
  if (job.endedAt !== null) return stateOfEnded(counts, job.isCancelled);
  if (job.isCancelled) return 'cancelling';
  if (job.isHeld) return 'held';
  return counts.pending + counts.reserved === job.tasks.length ? 'queued' : 'running';
}
