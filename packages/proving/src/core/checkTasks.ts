import type { RunEntry, TaskStartedEntry } from '@chicorybend/standins';

import type { JobObservation } from '../types/observation.js';
import type { Violation } from '../types/violation.js';
import { groupBy } from '../utils/groupBy.js';
import { executionKeyOf, sortByTime } from '../utils/timeline.js';

function isTaskStart(entry: RunEntry): entry is TaskStartedEntry {
  return entry.type === 'task-started';
}

/**
 * Checks that no task has two executions at the same time and that no attempt of a task is executed twice.
 *
 * @param entries record of the stand-ins
 */
export function checkTaskOverlap(entries: readonly RunEntry[]): Violation[] {
  const running = new Map<string, Map<string, TaskStartedEntry>>();
  const violations: Violation[] = [];
  sortByTime(entries).forEach((entry) => {
    if (entry.type === 'task-ended') {
      running.get(entry.taskId)?.delete(executionKeyOf(entry));
    } else if (entry.type === 'task-started') {
      const executions = running.get(entry.taskId) ?? new Map<string, TaskStartedEntry>();
      running.set(entry.taskId, executions);
      executions.set(executionKeyOf(entry), entry);
      if (executions.size < 2) return;
      violations.push({
        kind: 'task-overlap',
        taskId: entry.taskId,
        at: entry.at,
        executions: [...executions.values()].map(({ workerId, attempt }) => ({
          workerId,
          attempt,
        })),
      });
    }
  });
  return [...violations, ...findRepeatedAttempts(entries)];
}

function findRepeatedAttempts(entries: readonly RunEntry[]): Violation[] {
  const starts = entries.filter(isTaskStart);
  const byAttempt = groupBy(starts, (start) => `${start.taskId}#${start.attempt}`);
  return [...byAttempt.values()].flatMap((group): Violation[] => {
    const [first] = group;
    if (!first || group.length < 2) return [];
    return [
      {
        kind: 'attempt-repeated',
        taskId: first.taskId,
        attempt: first.attempt,
        workerIds: group.map((start) => start.workerId),
      },
    ];
  });
}

/** Counts runs from the beginning: the execution after a checkpoint continues the run and is not counted again. */
function countRuns(starts: readonly TaskStartedEntry[], checkpointed: ReadonlySet<string>): number {
  return starts.filter((start) => !checkpointed.has(executionKeyOf(start))).length;
}

function findCheckpointed(entries: readonly RunEntry[]): ReadonlySet<string> {
  const ends = entries.flatMap((entry) =>
    entry.type === 'task-ended' && entry.end === 'checkpointed' ? [executionKeyOf(entry)] : [],
  );
  return new Set(ends);
}

function findRepeatedTasks(
  job: JobObservation,
  byTask: ReadonlyMap<string, TaskStartedEntry[]>,
  checkpointed: ReadonlySet<string>,
): Violation[] {
  if (job.isIdempotent || job.kind === 'service') return [];
  return [...byTask].flatMap(([taskId, starts]): Violation[] => {
    const executions = countRuns(starts, checkpointed);
    if (executions <= 1) return [];
    return [{ kind: 'non-idempotent-task-repeated', taskId, marker: job.marker, executions }];
  });
}

/**
 * Checks that no non-idempotent task runs more than once and that no submission creates two jobs. Services are exempt
 * from the first rule: a lost replica is restarted.
 *
 * @param entries record of the stand-ins
 * @param jobs jobs as their callers saw them
 */
export function checkTaskRepetition(
  entries: readonly RunEntry[],
  jobs: readonly JobObservation[],
): Violation[] {
  const checkpointed = findCheckpointed(entries);
  const byMarker = groupBy(entries.filter(isTaskStart), (start) => start.marker);
  return jobs.flatMap((job): Violation[] => {
    const byTask = groupBy(byMarker.get(job.marker) ?? [], (start) => start.taskId);
    const repeated = findRepeatedTasks(job, byTask, checkpointed);
    if (byTask.size <= job.tasks) return repeated;
    const { marker, tasks } = job;
    return [...repeated, { kind: 'job-duplicated', marker, tasks, started: byTask.size }];
  });
}
