import { createEndpointSpeedEstimator, createRunTimeRegression } from '@chicorybend/decisions';
import type { TimedRun } from '@chicorybend/decisions';
import type { Clock } from '@chicorybend/common';

import type { JobQueueSettings } from '../types/configuration.js';
import type { JobRecord, StepRecord, TaskRecord } from '../types/jobRecord.js';
import type { StepSpecification } from '../types/job.js';

/** Endpoints that one call for advice is about when the objective of a job is computed. */
const ASSUMED_ADVISED_ENDPOINTS = 30;
/** Chains are computed again after this time, because more has been learnt, in milliseconds. */
const CRITICAL_PATH_CACHE_MILLISECONDS = 1_000;

/** What remains of a job. */
export interface CriticalPathEstimate {
  /** By step, what remains on the longest chain from the step on, in milliseconds. */
  readonly remaining: readonly number[];
  /** The longest chain of the job, in milliseconds. */
  readonly longest: number;
}

/** Expected times of work, learnt during a term. */
export interface DurationEstimates {
  /** Learns from a run that has ended with success. */
  recordCompletion(task: TaskRecord): void;
  /** Learns that a run is going to take a multiple of the usual time where it is. */
  recordStraggler(task: TaskRecord, factor: number): void;
  /** @returns expected time of a run of the step on a usual endpoint, in milliseconds */
  expectedMilliseconds(step: StepRecord): number;
  /** @returns times of the runs of the step that have ended with success, in milliseconds */
  completedDurations(step: StepRecord): readonly number[];
  criticalPathOf(job: JobRecord, queue: JobQueueSettings): CriticalPathEstimate;
  /** @returns time that work takes on an endpoint relative to the others; 1 for the usual */
  slowness(endpointId: string): number;
  forgetJob(jobId: string, stepIds: readonly string[]): void;
  forgetEndpoint(endpointId: string): void;
}

/**
 * Creates estimates that have learnt nothing.
 *
 * @param clock source of time
 * @returns estimates
 */
export function createDurationEstimates(clock: Clock): DurationEstimates {
  const model = createRunTimeRegression();
  const speeds = createEndpointSpeedEstimator();
  /** Times of the runs of a step that have ended with success. */
  const completedRuns = new Map<string, TimedRun[]>();
  const criticalPaths = new Map<string, { estimate: CriticalPathEstimate; computedAt: number }>();

  function isComparable({ step, run, isStartTimeKnown: isStartKnown }: TaskRecord): boolean {
    const { isGang, isLongRunning, hasCheckpoints, isFilling } = step.specification;
    const ranFromStart = !hasCheckpoints || run === 1;
    return isStartKnown && ranFromStart && !isGang && !isLongRunning && !isFilling;
  }

  function completedDurationsOf(step: StepRecord): number[] {
    return (completedRuns.get(step.stepId) ?? []).map(({ milliseconds }) => milliseconds);
  }

  function computeCriticalPath(job: JobRecord, queue: JobQueueSettings): CriticalPathEstimate {
    const { advice } = queue;
    const adviceMilliseconds = advice
      ? advice.callMilliseconds + ASSUMED_ADVISED_ENDPOINTS * advice.endpointMilliseconds
      : 0;
    const specifications = job.specification.steps;
    const remaining = new Array<number>(specifications.length).fill(0);
    const stepMilliseconds = ({ estimatedMilliseconds }: StepSpecification) =>
      adviceMilliseconds + model.predict(job.queue, estimatedMilliseconds);
    for (let index = specifications.length - 1; index >= 0; index -= 1) {
      const later = specifications.flatMap(({ after }, position) =>
        after.includes(index) ? [remaining[position]!] : [],
      );
      remaining[index] = stepMilliseconds(specifications[index]!) + Math.max(0, ...later);
    }
    return { remaining, longest: Math.max(...remaining) };
  }

  return {
    recordCompletion(task) {
      const { step, endpointId } = task;
      if (!isComparable(task) || endpointId === null) return;
      const now = clock.monotonicMilliseconds();
      const milliseconds = now - task.startedAt;
      model.record(step.job.queue, step.specification.estimatedMilliseconds, milliseconds);
      const runs = [...(completedRuns.get(step.stepId) ?? []), { endpointId, milliseconds }];
      completedRuns.set(step.stepId, runs);
      if (runs.length === step.specification.count) speeds.recordGroup(runs, now);
    },
    recordStraggler({ endpointId }, factor) {
      if (endpointId === null) return;
      speeds.recordSlowRun(endpointId, factor, clock.monotonicMilliseconds());
    },
    expectedMilliseconds(step) {
      const times = completedDurationsOf(step);
      if (times.length > 1) return times.reduce((sum, time) => sum + time, 0) / times.length;
      return model.predict(step.job.queue, step.specification.estimatedMilliseconds);
    },
    completedDurations: completedDurationsOf,
    criticalPathOf(job, queue) {
      const now = clock.monotonicMilliseconds();
      const known = criticalPaths.get(job.jobId);
      if (known && now - known.computedAt < CRITICAL_PATH_CACHE_MILLISECONDS) return known.estimate;
      const estimate = computeCriticalPath(job, queue);
      criticalPaths.set(job.jobId, { estimate, computedAt: now });
      return estimate;
    },
    slowness: (endpointId) => speeds.slowness(endpointId, clock.monotonicMilliseconds()),
    forgetJob(jobId, stepIds) {
      criticalPaths.delete(jobId);
      stepIds.forEach((stepId) => {
        completedRuns.delete(stepId);
      });
    },
    forgetEndpoint: speeds.forgetEndpoint,
  };
}
