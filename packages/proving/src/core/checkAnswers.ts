import { isDeepStrictEqual } from 'node:util';

import type { RequestStartedEntry, RunEntry } from '@chicorybend/standins';

import type { JobObservation, RequestObservation } from '../types/observation.js';
import type { Violation } from '../types/violation.js';
import { groupBy } from '../utils/groupBy.js';

function describeWrongRequest(
  request: RequestObservation,
  executions: readonly RequestStartedEntry[],
): string[] {
  return request.outcomes.flatMap((outcome): string[] => {
    if (outcome.kind !== 'answered') return [];
    const { requestId, endpointId, result } = outcome.value;
    if (!isDeepStrictEqual(result, request.expectedResult)) {
      return [`result ${JSON.stringify(result)} is not the result of this request`];
    }
    const hasRun = executions.some(
      (each) => each.requestId === requestId && each.endpointId === endpointId,
    );
    return hasRun
      ? []
      : [`request ${requestId} was answered by ${endpointId}, which did not execute it`];
  });
}

/**
 * Checks that every answered interactive request got the complete result of its own execution, and that the endpoint
 * named in the answer executed it.
 *
 * @param entries record of the stand-ins
 * @param requests requests as their callers saw them
 */
export function checkRequestAnswers(
  entries: readonly RunEntry[],
  requests: readonly RequestObservation[],
): Violation[] {
  const starts = entries.filter(
    (entry): entry is RequestStartedEntry => entry.type === 'request-started',
  );
  const byMarker = groupBy(starts, (start) => start.marker);
  return requests.flatMap((request) =>
    describeWrongRequest(request, byMarker.get(request.marker) ?? []).map((reason): Violation => ({
      kind: 'wrong-answer',
      marker: request.marker,
      reason,
    })),
  );
}

function describeWrongJob(job: JobObservation): string[] {
  const view = job.finalView;
  if (!view) return [];
  const wrongCount =
    view.tasks.length === job.tasks
      ? []
      : [`job ${view.jobId} has ${view.tasks.length} tasks instead of ${job.tasks}`];
  const wrongResults = view.tasks
    .filter((task) => task.state === 'succeeded')
    .filter((task) => !isDeepStrictEqual(task.result, job.expectedResult))
    .map((task) => `task ${task.taskId} has result ${JSON.stringify(task.result)}`);
  return [...wrongCount, ...wrongResults];
}

/**
 * Checks that every job has as many tasks as submitted, and that each succeeded task has the result of its own job.
 *
 * @param jobs jobs as their callers saw them
 */
export function checkJobAnswers(jobs: readonly JobObservation[]): Violation[] {
  return jobs.flatMap((job) =>
    describeWrongJob(job).map((reason): Violation => ({
      kind: 'wrong-answer',
      marker: job.marker,
      reason,
    })),
  );
}
