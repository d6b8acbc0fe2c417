import { maximumTrialEndpoints } from '@chicorybend/decisions';

import type { StepRecord, TaskRecord } from '../types/jobRecord.js';
import { isOnTrial } from './endpointLosses.js';
import { isSuspect } from './jobRecords.js';

/** Maximum share of the endpoints that have runs on trial, and so accept no others, at once. */
const MAXIMUM_TRIAL_SHARE = 0.25;

/** Tasks of a step that may start, by how they are placed. */
export interface StartableTasks {
  /** Tasks that are started on trial, apart from those of other steps. */
  readonly onTrial: readonly TaskRecord[];
  /** Maximum number of further endpoints on which they may be started now. */
  readonly newTrialEndpoints: number;
  readonly ordinary: readonly TaskRecord[];
}

/** @returns number of endpoints that may get a trial, of `endpoints` of which `busy` have one */
export function remainingTrialEndpoints(endpoints: number, busy: number): number {
  return Math.max(1, Math.floor(MAXIMUM_TRIAL_SHARE * endpoints)) - busy;
}

function hasPassed(task: TaskRecord, now: number): boolean {
  return task.phase === 'done' || (task.phase === 'running' && !isOnTrial(task, now));
}

/** A task that runs at an endpoint that may be lost has not shown that it does no harm. */
function countPassed({ tasks, silentEndpoints }: StepRecord, now: number): number {
  return tasks.filter(
    (task) =>
      hasPassed(task, now) && !(task.endpointId !== null && silentEndpoints.has(task.endpointId)),
  ).length;
}

/**
 * Divides the pending tasks of a step. While one of its tasks may have crashed an endpoint, the others may carry the
 * same fault, so they are on trial too until a run of the step has passed. A gang is on trial as a whole.
 *
 * @param pending tasks that could start now
 * @param now monotonic time in milliseconds
 */
export function divideStartableTasks(
  step: StepRecord,
  pending: readonly TaskRecord[],
  now: number,
): StartableTasks {
  const { tasks, hasLosses, silentEndpoints } = step;
  const isInDoubt = silentEndpoints.size > 0 || (hasLosses && tasks.some(isSuspect));
  if (!isInDoubt || pending.length === 0) {
    return { onTrial: [], newTrialEndpoints: 0, ordinary: pending };
  }
  if (step.specification.isGang) {
    return { onTrial: pending, newTrialEndpoints: pending.length, ordinary: [] };
  }
  const passed = countPassed(step, now);
  const trialEndpoints = new Set([
    ...tasks.filter((task) => isOnTrial(task, now)).map(({ endpointId }) => endpointId),
    ...silentEndpoints,
  ]);
  const onTrial = passed > 0 ? pending.filter(isSuspect) : [...pending];
  return {
    onTrial: onTrial.sort((left, right) => right.losses.length - left.losses.length),
    newTrialEndpoints: Math.max(0, maximumTrialEndpoints(passed) - trialEndpoints.size),
    ordinary: passed > 0 ? pending.filter((task) => !isSuspect(task)) : [],
  };
}
