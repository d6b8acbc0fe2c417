/**
 * Tracks up to which time the usage of each execution is counted. Usage records may overlap, repeat and arrive late;
 * only the interval after the counted time is added, so that nothing is counted twice.
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
 * Returns the time up to which the usage of an attempt is counted.
 *
 * @returns wall-clock time in milliseconds since the Unix epoch, or null if nothing of the attempt is counted
 */
export function countedUntil(task: Task, attempt: number): number | null {
  return task.counted.find((run) => run.attempt === attempt)?.until ?? null;
}

/**
 * Finds the interval of an execution that is not counted yet.
 *
 * @param located task with its job
 * @param run attempt, and wall-clock times in milliseconds since the Unix epoch
 * @returns the interval, or null if everything up to `endedAt` is counted
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
 * Adds the uncounted interval of an execution to the usage, and marks it as counted.
 *
 * @param usage usage of the partition
 * @param located task with its job; null if the job is unknown, and then nothing is counted
 * @param record end of the execution, or a checkpoint of its usage
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
 * Restores the counted runs of a task from a snapshot. Attempts in `countedAttempts` are counted in full: no later
 * record adds to them.
 */
export function restoreCountedRuns({ counted, countedAttempts }: TaskSnapshot): CountedRun[] {
  const fullyCountedRuns = (countedAttempts ?? []).map((attempt) => ({
    attempt,
    until: Number.MAX_SAFE_INTEGER,
  }));
  return [...(counted ?? []), ...fullyCountedRuns];
}
