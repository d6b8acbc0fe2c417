import type { ProgressReport } from '@chicorybend/decisions';

import type { JobSpecification, StepSpecification } from './job.js';

/**
 * Phase of a task:
 *
 * - `pending`: no run exists; may be started when its step's turn has come
 * - `placed`: a run is recorded for an endpoint, and the endpoint has not confirmed it
 * - `running`: the endpoint has confirmed the run
 * - `stopping`: the run is to end; it counts as running until its end is known
 * - `done`, `failed`: no further run is wanted
 */
export type TaskPhase = 'pending' | 'placed' | 'running' | 'stopping' | 'done' | 'failed';

/** Phase of a job. */
export type JobPhase = 'open' | 'completed' | 'failed' | 'cancelled';

/** A task of one occurrence of a step. */
export interface TaskRecord {
  /** `<job>.<occurrence>.<step>.<index>` */
  readonly taskId: string;
  readonly step: StepRecord;
  readonly index: number;
  phase: TaskPhase;
  /** Number of the last run; 0 if there was none. */
  run: number;
  /** Runs that have ended as failed. */
  failures: number;
  /** Endpoint of the present run; null if there is none. */
  endpointId: string | null;
  /** Incarnation of that endpoint. */
  endpointBornAt: number;
  /** Where the next run resumes; empty for the beginning. */
  checkpoint: string;
  /** When the present run was confirmed, in monotonic milliseconds. */
  startedAt: number;
  /** Whether its start was given by this term, so that its time is known. */
  isStartTimeKnown: boolean;
  /** Progress of the present run. */
  progressReports: ProgressReport[];
  /** Endpoint on which the last run failed or took too long; null if there is none. */
  avoidedEndpointId: string | null;
  /** Until when that endpoint is avoided even if no other has room, in monotonic milliseconds. */
  avoidedUntil: number;
  /** Time from which the absence of the run from a list is evidence, in monotonic milliseconds. */
  absenceConclusiveAfter: number;
  /** Not started again before this time, in monotonic milliseconds. */
  notBefore: number;
}

/** A step of one occurrence of a job. */
export interface StepRecord {
  /** `<job>.<occurrence>.<step>` */
  readonly stepId: string;
  readonly job: JobRecord;
  readonly occurrence: number;
  readonly index: number;
  readonly specification: StepSpecification;
  readonly tasks: TaskRecord[];
  /** Number of tasks that are done. */
  doneCount: number;
  /** Failed runs of the gang. */
  gangFailures: number;
  /** Last run of the gang that a member has left; the other members of that run are to stop. */
  brokenRun: number;
  /** Whether the steps before it are complete and its time has come. */
  isReleased: boolean;
}

/** One time of a job: the only one, or one of its repetitions. */
export interface OccurrenceRecord {
  readonly index: number;
  readonly steps: StepRecord[];
  doneSteps: number;
}

/** A job that was accepted. */
export interface JobRecord {
  readonly jobId: string;
  readonly queue: string;
  /** Team that the job is charged to; empty for a public queue. */
  readonly team: string;
  readonly specification: JobSpecification;
  /** In milliseconds since the Unix epoch. */
  readonly acceptedAt: number;
  phase: JobPhase;
  /** In milliseconds since the Unix epoch; 0 while the job is open. */
  endedAt: number;
  /** Whether any task has been placed. */
  hasStarted: boolean;
  /** Number of occurrences created so far. */
  occurrenceCount: number;
  /** Occurrences that are not complete. */
  readonly occurrences: Map<number, OccurrenceRecord>;
  /** Phase that callers are shown; changes once the phase is durable. */
  durablePhase: JobPhase;
}
