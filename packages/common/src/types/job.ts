import type { Resources } from './resources.js';

/** Kind of job. */
export type JobKind = 'batch' | 'gang' | 'service';

/** State of a job. */
export type JobState =
  | 'queued'
  | 'running'
  | 'succeeded'
  | 'failed'
  | 'cancelling'
  | 'cancelled'
  /** At least one non-idempotent task may or may not have run. */
  | 'unknown'
  /** Failed on several distinct workers; waits for the decision of an operator. */
  | 'held';

/** State of a task. Transitions are in `charts/task.json`. */
export type TaskState =
  | 'pending'
  | 'reserved'
  | 'intended'
  | 'running'
  | 'lost'
  | 'succeeded'
  | 'failed'
  | 'cancelled'
  | 'unknown';

/** Body of `POST /v1/jobs`. */
export interface JobRequest {
  readonly queue: string;
  readonly kind: JobKind;
  /** Number of tasks, or of replicas of a service. */
  readonly tasks: number;
  /** Resources of each task. */
  readonly resources: Resources;
  /** Whether a task may be run again after an execution with an unknown outcome. */
  readonly idempotent: boolean;
  readonly urgent: boolean;
  /** Run time declared by the caller, in milliseconds; often inaccurate. */
  readonly expectedRunMilliseconds: number;
  /** Opaque to the scheduler. */
  readonly payload: unknown;
}

/** State of one task as callers see it. */
export interface TaskView {
  readonly taskId: string;
  readonly state: TaskState;
  readonly attempt: number;
  readonly workerId: string | null;
  readonly result?: unknown;
  /** Human-readable reason why a pending task waits. */
  readonly waitsFor?: string;
}

/** State of a job as callers see it. */
export interface JobView {
  readonly jobId: string;
  readonly team: string;
  readonly queue: string;
  readonly kind: JobKind;
  readonly state: JobState;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  readonly acceptedAt: number;
  readonly tasks: readonly TaskView[];
}
