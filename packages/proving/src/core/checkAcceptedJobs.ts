import type { JobState } from '@chicorybend/common';
import type { RunEntry } from '@chicorybend/standins';

import type { JobObservation } from '../types/observation.js';
import type { Violation } from '../types/violation.js';

const FINAL_STATES: ReadonlySet<JobState> = new Set([
  'succeeded',
  'failed',
  'cancelled',
  'unknown',
  'held',
]);

function findSucceededTasks(entries: readonly RunEntry[]): ReadonlySet<string> {
  const ends = entries.flatMap((entry) =>
    entry.type === 'task-ended' && entry.end === 'succeeded' ? [entry.taskId] : [],
  );
  return new Set(ends);
}

function describeLoss(job: JobObservation, succeeded: ReadonlySet<string>): string[] {
  const isAccepted = job.outcomes.some((outcome) => outcome.kind === 'answered');
  if (!isAccepted) return [];
  const view = job.finalView;
  if (!view) return ['accepted job could not be read at the end of the run'];
  if (!FINAL_STATES.has(view.state)) return [`job ${view.jobId} is still ${view.state}`];
  return view.tasks
    .filter((task) => task.state === 'succeeded' && !succeeded.has(task.taskId))
    .map(
      (task) =>
        `task ${task.taskId} is reported as succeeded, but no worker executed it successfully`,
    );
}

/**
 * Checks that every accepted job reaches a final state, and that a worker executed each task reported as succeeded
 * successfully. Call it at the end of a run, after all faults were reverted and all services cancelled.
 *
 * @param entries record of the stand-ins
 * @param jobs jobs as their callers saw them
 */
export function checkAcceptedJobs(
  entries: readonly RunEntry[],
  jobs: readonly JobObservation[],
): Violation[] {
  const succeeded = findSucceededTasks(entries);
  return jobs.flatMap((job) =>
    describeLoss(job, succeeded).map((reason): Violation => ({
      kind: 'accepted-job-lost',
      marker: job.marker,
      reason,
    })),
  );
}
