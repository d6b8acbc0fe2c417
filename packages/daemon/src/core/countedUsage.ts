/**
 * How much of the usage of each execution has been counted. Records may overlap, repeat and arrive late; only
 * what lies after the counted part is added.
 */
import type {
  CountedRun,
  TaskEndedRecord,
  TaskSnapshot,
  UsageRecord,
} from '../types/journalRecord.js';

import type { LocatedTask, Task } from './jobState.js';
import type { UsageInterval, UsageLedger } from './usage.js';

/**
 * Tells until when the usage of an execution has been counted.
 *
 * @param task task of the execution
 * @param attempt number of the execution
 * @returns wall-clock time in milliseconds since the Unix epoch, or null before the first part
 */
export function countedUntil(task: Task, attempt: number): number | null {
  return task.counted.find((run) => run.attempt === attempt)?.until ?? null;
}

/**
 * Gives the part of an execution that has not been counted.
 *
 * @param located task with its job
 * @param run attempt, and wall-clock times in milliseconds since the Unix epoch
 * @returns interval to count, or null if there is none
 */
export function findUncountedInterval(
  { job, task }: LocatedTask,
  { attempt, startedAt, endedAt }: Pick<UsageRecord, 'attempt' | 'startedAt' | 'endedAt'>,
): UsageInterval | null {
  const until = countedUntil(task, attempt);
  const from = until ?? startedAt;
  if (endedAt <= from) return null;
  const { queue, resources } = job.request;
  const isContinuation = until !== null;
  return {
    team: job.team,
    queue,
    startedAt: from,
    endedAt,
    resources,
    isContinuation,
  };
}

/**
 * Counts the part of an execution that has not been counted.
 *
 * @param usage usage of the partition
 * @param located task with its job, or null if the job is not known
 * @param record end of the execution, or its usage up to a time
 */
export function countUsage(
  usage: UsageLedger,
  located: LocatedTask | null,
  record: TaskEndedRecord | UsageRecord,
): void {
  const uncounted = located ? findUncountedInterval(located, record) : null;
  if (!located || !uncounted) return;
  const { attempt, endedAt } = record;
  const otherRuns = located.task.counted.filter((run) => run.attempt !== attempt);
  located.task.counted = [...otherRuns, { attempt, until: endedAt }];
  usage.addInterval(uncounted);
}

/**
 * Restores what was counted of a task.
 *
 * @param snapshot state of the task
 * @returns how much of each attempt has been counted
 */
export function restoreCountedRuns({ counted, countedAttempts }: TaskSnapshot): CountedRun[] {
  const fullyCountedRuns = (countedAttempts ?? []).map((attempt) => ({
    attempt,
    until: Number.MAX_SAFE_INTEGER,
  }));
  return [...(counted ?? []), ...fullyCountedRuns];
}
