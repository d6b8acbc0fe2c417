import type { JobSpecification } from '../types/job.js';

/** Size of a task in the stored state of its job, with its checkpoint and its share of the endpoints, in bytes. */
const STORED_TASK_BYTES = 100;

/**
 * @param maximumValueBytes maximum size of a value in the store, in bytes
 * @returns maximum number of tasks of a job that are open at once, so that its state fits into one value
 */
export function maximumOpenTasks(maximumValueBytes: number): number {
  return Math.floor(maximumValueBytes / STORED_TASK_BYTES);
}

/** @returns number of tasks of one occurrence of a job */
export function countTasksPerOccurrence({ steps }: JobSpecification): number {
  return steps.reduce((sum, { count }) => sum + count, 0);
}

/**
 * An occurrence stays open until its tasks have ended, and forever if some of them run until the job is cancelled.
 *
 * @returns number of tasks that have to be open at once for all occurrences of a job to run
 */
export function countRequiredTasks(specification: JobSpecification): number {
  const { steps, schedule } = specification;
  const isLasting = steps.some(({ isLongRunning }) => isLongRunning);
  const occurrences = isLasting ? (schedule?.repetitions ?? 1) : 1;
  return occurrences * countTasksPerOccurrence(specification);
}
