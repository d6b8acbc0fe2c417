import type { Resources } from '@chicorybend/common';
import type { EndpointLoss, ProgressReport } from '@chicorybend/decisions';

import type { JobQueueSettings } from './configuration.js';
import type { JobSpecification, StepSpecification } from './job.js';

/**
 * Phase of a task:
 *
 * - `pending`: no run exists; may be started once its step is released
 * - `placed`: a run is recorded for an endpoint that has not confirmed it yet
 * - `running`: the endpoint has confirmed the run
 * - `stopping`: the run is being stopped; it counts as running until its end is known
 * - `done`, `failed`: final; no further run is started
 */
export type TaskPhase = 'pending' | 'placed' | 'running' | 'stopping' | 'done' | 'failed';

export type JobPhase = 'open' | 'completed' | 'failed' | 'cancelled';

/** The loss of an endpoint that had a run of a task, as a term recorded it. */
export interface TaskLoss extends EndpointLoss {
  /** Empty for a loss that an earlier build recorded. */
  readonly endpointId: string;
  /** Start of its incarnation, in milliseconds since the Unix epoch. */
  readonly bornAt: number;
  /** Empty if it is not known. */
  readonly address: string;
  /** Epoch of the term. */
  readonly epoch: number;
}

/** A start without an answer of a run that was given up. */
export interface OutstandingStart {
  readonly endpointId: string;
  /** When it was given up, or taken over from a former owner, in monotonic milliseconds. */
  readonly recordedAt: number;
  /** Until when the endpoint, or a later incarnation of it, may execute the start, in monotonic milliseconds. */
  readonly until: number;
  /** Whether a former owner may have sent it. */
  readonly isByFormerOwner: boolean;
  /** Whether its last list has shown the run. */
  readonly isExecuting: boolean;
}

/** A task of one occurrence of a step. */
export interface TaskRecord {
  /** `<job>.<occurrence>.<step>.<index>` */
  readonly taskId: string;
  readonly step: StepRecord;
  readonly index: number;
  phase: TaskPhase;
  /** Number of the last run; 0 if there was none. */
  run: number;
  /**
   * Runs that ended as failed, each once, however many owners its endpoint reports the end to. An entry is 0 if the run
   * is not known because an earlier build has counted it. Of a long-running task, only the last one is kept.
   */
  failedRuns: number[];
  /** Endpoint of the current run; null if there is none. */
  endpointId: string | null;
  /** Incarnation of that endpoint. */
  endpointBornAt: number;
  /** Address of that endpoint; empty if an earlier build recorded the run. */
  endpointAddress: string;
  /** Rack of that endpoint; empty if it is not known. */
  endpointRack: string;
  /**
   * When leases of that incarnation that orders for former ones have widened have certainly expired, in monotonic
   * milliseconds; null if it is not known.
   */
  endpointLeasesWidenedUntil: number | null;
  /** Whether an answer of that incarnation has shown that the current run is there, and not in a later one. */
  isIncarnationKnown: boolean;
  /** When the start of the current run was sent, in monotonic milliseconds; null if it was not. */
  startSentAt: number | null;
  /**
   * Until when the start of the current run may be executed, in monotonic milliseconds; null if it was answered or not
   * sent.
   */
  startOutstandingUntil: number | null;
  /** Whether a former owner has recorded the current run. */
  isStartByFormerOwner: boolean;
  /** An earlier start that may still be executed; null if there is none. */
  outstandingStart: OutstandingStart | null;
  /** Where the next run resumes; empty for the beginning. */
  checkpoint: string;
  /** When the current run was recorded, in monotonic milliseconds. */
  placedAt: number;
  /** When a former owner last recorded the state of the run, in monotonic milliseconds; null if it is not known. */
  formerlyRecordedAt: number | null;
  /** When the current run was confirmed, in monotonic milliseconds. */
  startedAt: number;
  /** Whether this term ordered the start, so that `startedAt` is the true start of the run. */
  isStartTimeKnown: boolean;
  /** Progress reports of the current run. */
  progressReports: ProgressReport[];
  /** Endpoint on which the last run failed or was too slow; null if there is none. */
  avoidedEndpointId: string | null;
  /** Until when that endpoint is avoided even if no other one has room, in monotonic milliseconds. */
  avoidedUntil: number;
  /**
   * A list of runs requested after this time that lacks the current run proves that it does not exist; in
   * monotonic milliseconds. Infinity while the start may still be executed.
   */
  absenceConclusiveAfter: number;
  /** Earliest time of the next start, in monotonic milliseconds. */
  notBefore: number;
  /** Losses of endpoints that had a run of the task, in the order of time. */
  losses: TaskLoss[];
  /** How long the current run is on trial from its confirmation on, in milliseconds; 0 if it is not. */
  trialMilliseconds: number;
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
  /** Number of failed runs of the gang. */
  gangFailures: number;
  /** Last run of the gang in which a member has failed; several members may fail in the same run. */
  lastFailedGangRun: number;
  /** Last run of the gang in which a member ended early; the other members of that run are stopped. */
  brokenRun: number;
  /** Whether the steps that it depends on are complete, so that its tasks may start. */
  isReleased: boolean;
  /** Whether an endpoint was lost under any of its tasks. */
  hasLosses: boolean;
}

/** One execution of a job: the only one, or one repetition of its schedule. */
export interface OccurrenceRecord {
  readonly index: number;
  readonly steps: StepRecord[];
  doneSteps: number;
}

/** Settings of the queue and the team of a job at the time of its acceptance. */
export interface AdmissionSettings {
  /** Null for a job that was stored without them. */
  readonly queue: JobQueueSettings | null;
  /** Null for a job of a public queue, and for one that was stored without them. */
  readonly teamLimit: Resources | null;
}

/** State of an accepted job. */
export interface JobRecord {
  readonly jobId: string;
  readonly queue: string;
  /** Team that the job is charged to; empty for a public queue. */
  readonly team: string;
  /** Settings under which the job was accepted; they apply once its queue or team is no longer configured. */
  readonly admission: AdmissionSettings;
  readonly specification: JobSpecification;
  /** Wall-clock time, in milliseconds since the Unix epoch. */
  readonly acceptedAt: number;
  phase: JobPhase;
  /** Wall-clock time, in milliseconds since the Unix epoch; 0 while the job is open. */
  endedAt: number;
  /** Whether any task has begun to run; a run that is only placed may never reach its endpoint. */
  hasStarted: boolean;
  /** Number of occurrences created so far. */
  occurrenceCount: number;
  /** Occurrences that are not complete. */
  readonly occurrences: Map<number, OccurrenceRecord>;
  /** Last phase that is durable; the phase in answers to callers. */
  durablePhase: JobPhase;
}
