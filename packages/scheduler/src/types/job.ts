import type { Resources } from '@chicorybend/common';

/** One step of a job: tasks that are alike. */
export interface StepSpecification {
  /** Number of tasks. */
  readonly count: number;
  /** What each task needs. */
  readonly resources: Resources;
  /** Rough estimate of the duration of a task, in milliseconds. */
  readonly estimatedMilliseconds: number;
  /** Earlier steps, by index, whose tasks must all be done first. */
  readonly after: readonly number[];
  readonly hasCheckpoints: boolean;
  /** Whether the tasks run only together. */
  readonly isGang: boolean;
  /** Whether the tasks run longer when spread over racks. */
  readonly prefersOneRack: boolean;
  /** Kind of hardware that the endpoint must have; empty for any. */
  readonly requiredHardware: string;
  /** Rack of the data; empty if the step has none. */
  readonly preferredRack: string;
  /** Largest number of tasks of one occurrence on one endpoint; 0 for any number. */
  readonly maximumPerEndpoint: number;
  /** Whether copies of a task may run at once. */
  readonly isSpeculative: boolean;
  /** Whether the tasks run until the job is cancelled. */
  readonly isLongRunning: boolean;
  /** Program of the tasks; tasks of one image behave alike. */
  readonly image: string;
  /** Bound of the tail of response times of a serving task, in milliseconds; 0 for none. */
  readonly targetMilliseconds: number;
  /** Whether the tasks use only processor time that others leave. */
  readonly isFilling: boolean;
  /** Number of tasks that the system may have away at once; null if the step has no budget. */
  readonly disruptionBudget: number | null;
}

/** Repetition of a job at fixed times. */
export interface Schedule {
  /** Due time of the first occurrence, in milliseconds since the Unix epoch. */
  readonly startAt: number;
  readonly intervalMilliseconds: number;
  readonly repetitions: number;
}

/** What a caller asks to run. */
export interface JobSpecification {
  readonly payload: string;
  readonly steps: readonly StepSpecification[];
  readonly schedule: Schedule | null;
}

/** State of a job as callers see it. */
export type JobStatus = 'pending' | 'running' | 'completed' | 'failed' | 'cancelled';
