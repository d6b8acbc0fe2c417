import type { Resources } from '@chicorybend/common';

/** One step of a job: a number of identical tasks. */
export interface StepSpecification {
  /** Number of tasks. */
  readonly count: number;
  /** Resources that each task requires. */
  readonly resources: Resources;
  /** Rough estimate of the duration of a task, in milliseconds. */
  readonly estimatedMilliseconds: number;
  /** Indexes of earlier steps that must be complete before this step starts. */
  readonly after: readonly number[];
  readonly hasCheckpoints: boolean;
  /** Whether the tasks run only all at once (gang scheduling). */
  readonly isGang: boolean;
  /** Whether the tasks run longer when spread over racks. */
  readonly prefersOneRack: boolean;
  /** Label that the endpoint must have; empty for none. */
  readonly requiredLabel: string;
  /** Rack that holds the input data; empty if there is none. */
  readonly preferredRack: string;
  /** Maximum number of tasks of one occurrence on one endpoint; 0 for no limit. */
  readonly maximumPerEndpoint: number;
  /** Whether several copies of a task may run at once. */
  readonly isSpeculative: boolean;
  /** Whether the tasks run until the job is cancelled. */
  readonly isLongRunning: boolean;
  /** Image of the tasks; tasks of one image have similar performance. */
  readonly image: string;
  /** Objective for the tail latency of a serving task, in milliseconds; 0 if the task serves no requests. */
  readonly targetMilliseconds: number;
  /** Whether the tasks use only processor time that other tasks leave idle. */
  readonly isFilling: boolean;
  /** Maximum number of tasks that may be disrupted at once; null if the step has no budget. */
  readonly disruptionBudget: number | null;
}

/** Fixed-interval repetition of a job. */
export interface Schedule {
  /** Due time of the first occurrence, in milliseconds since the Unix epoch. */
  readonly startAt: number;
  readonly intervalMilliseconds: number;
  readonly repetitions: number;
}

/** Job as submitted by a caller. */
export interface JobSpecification {
  readonly payload: string;
  readonly steps: readonly StepSpecification[];
  readonly schedule: Schedule | null;
}

/** State of a job in answers to callers. */
export type JobStatus = 'pending' | 'running' | 'completed' | 'failed' | 'cancelled';
