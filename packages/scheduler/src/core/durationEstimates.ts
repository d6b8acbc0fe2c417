import { createEndpointSpeedEstimator, createRunTimeRegression } from '@chicorybend/decisions';
import type { TimedRun } from '@chicorybend/decisions';
import type { Clock } from '@chicorybend/common';

import type { JobQueueSettings } from '../types/configuration.js';
import type { JobRecord, StepRecord, TaskRecord } from '../types/jobRecord.js';
import type { StepSpecification } from '../types/job.js';
import { chargedResources } from './endpointTable.js';

/** Number of endpoints per advice call that the estimate of a critical path assumes. */
const ASSUMED_ADVISED_ENDPOINTS = 30;
/** Age after which a critical path is computed again, because more durations have been observed. */
const CRITICAL_PATH_CACHE_MILLISECONDS = 1_000;

/** Critical path of a job. */
export interface CriticalPathEstimate {
  /** By step index: duration of the longest dependency chain that starts with the step, in milliseconds. */
  readonly remaining: readonly number[];
  /** Duration of the longest dependency chain of the job, in milliseconds. */
  readonly longest: number;
}

/** Expected durations of runs, learnt during a term. */
export interface DurationEstimates {
  /** Records the duration of a run that has just succeeded. */
  recordCompletion(task: TaskRecord): void;
  /** Records that a run would take `factor` times the expected duration on its endpoint. */
  recordStraggler(task: TaskRecord, factor: number): void;
  /** @returns expected duration of a run of a step on an average endpoint, in milliseconds */
  expectedMilliseconds(step: StepRecord): number;
  /** @returns whether enough runs of a queue have ended to predict others */
  isLearnt(queue: string): boolean;
  /** @returns expected work of all tasks of one occurrence, in processor milliseconds */
  workOf(job: JobRecord): number;
  /** @returns durations of the successful runs of a step, in milliseconds */
  completedDurations(step: StepRecord): readonly number[];
  criticalPathOf(job: JobRecord, queue: JobQueueSettings): CriticalPathEstimate;
  /** @returns duration of runs on an endpoint relative to other endpoints; 1 for an average one */
  slowness(endpointId: string): number;
  forgetJob(jobId: string): void;
  forgetSteps(stepIds: readonly string[]): void;
  forgetEndpoint(endpointId: string): void;
}

/** Successful runs of a step, and their durations in the same order. */
interface CompletedRuns {
  readonly runs: TimedRun[];
  readonly durations: number[];
  /** Sum of the durations, in milliseconds. */
  total: number;
}

const NO_DURATIONS: readonly number[] = [];

/** Creates estimates without observations. */
export function createDurationEstimates(clock: Clock): DurationEstimates {
  const model = createRunTimeRegression();
  const speeds = createEndpointSpeedEstimator();
  /** By step id. Extended in place, because each report of a running task asks for the expected duration. */
  const completedRuns = new Map<string, CompletedRuns>();
  const criticalPaths = new Map<string, { estimate: CriticalPathEstimate; computedAt: number }>();

  function isComparable({ step, run, isStartTimeKnown }: TaskRecord): boolean {
    const { isGang, isLongRunning, hasCheckpoints, isFilling } = step.specification;
    const ranFromStart = !hasCheckpoints || run === 1;
    return isStartTimeKnown && ranFromStart && !isGang && !isLongRunning && !isFilling;
  }

  function addCompletedRun({ stepId }: StepRecord, run: TimedRun): readonly TimedRun[] {
    const completed = completedRuns.get(stepId) ?? { runs: [], durations: [], total: 0 };
    completed.runs.push(run);
    completed.durations.push(run.milliseconds);
    completed.total += run.milliseconds;
    completedRuns.set(stepId, completed);
    return completed.runs;
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
      const runs = addCompletedRun(step, { endpointId, milliseconds });
      if (runs.length === step.specification.count) speeds.recordGroup(runs, now);
    },
    recordStraggler({ endpointId }, factor) {
      if (endpointId === null) return;
      speeds.recordSlowRun(endpointId, factor, clock.monotonicMilliseconds());
    },
    expectedMilliseconds(step) {
      const completed = completedRuns.get(step.stepId);
      if (completed && completed.runs.length > 1) return completed.total / completed.runs.length;
      return model.predict(step.job.queue, step.specification.estimatedMilliseconds);
    },
    isLearnt: model.hasEnoughRuns,
    workOf: ({ queue, specification }) =>
      specification.steps.reduce(
        (sum, step) =>
          sum +
          step.count *
            chargedResources(step).processors *
            model.predict(queue, step.estimatedMilliseconds),
        0,
      ),
    completedDurations: ({ stepId }) => completedRuns.get(stepId)?.durations ?? NO_DURATIONS,
    criticalPathOf(job, queue) {
      const now = clock.monotonicMilliseconds();
      const known = criticalPaths.get(job.jobId);
      if (known && now - known.computedAt < CRITICAL_PATH_CACHE_MILLISECONDS) return known.estimate;
      const estimate = computeCriticalPath(job, queue);
      criticalPaths.set(job.jobId, { estimate, computedAt: now });
      return estimate;
    },
    slowness: (endpointId) => speeds.slowness(endpointId, clock.monotonicMilliseconds()),
    forgetJob(jobId) {
      criticalPaths.delete(jobId);
    },
    forgetSteps(stepIds) {
      stepIds.forEach((stepId) => {
        completedRuns.delete(stepId);
      });
    },
    forgetEndpoint: speeds.forgetEndpoint,
  };
}
