import type { FinishedTask, JobRequest, TaskEnd, TaskState } from '@chicorybend/common';

import type { UsageRow } from './peerMethods.js';

/** Acceptance of a job. */
export interface JobAcceptedRecord {
  readonly type: 'job-accepted';
  readonly jobId: string;
  readonly team: string;
  readonly idempotencyKey: string;
  /** SHA-256 of the request body, to tell a retry from a different job with the same idempotency key. */
  readonly bodyHash: string;
  readonly request: JobRequest;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  readonly acceptedAt: number;
}

/** Intent to start a task; durable before the start command is sent. */
export interface TaskIntentRecord {
  readonly type: 'task-intent';
  readonly taskId: string;
  readonly attempt: number;
  readonly workerId: string;
  readonly workerPartition: number;
  /** Worker process that the start is for; distinguishes a restarted worker from one that never started the task. */
  readonly incarnation?: string;
}

/** Outcome of a start that certainly had no effect. */
export interface TaskNotStartedRecord {
  readonly type: 'task-not-started';
  readonly taskId: string;
  readonly attempt: number;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  readonly decidedAt?: number;
}

/** End of an execution, including its loss with the worker. */
export interface TaskEndedRecord {
  readonly type: 'task-ended';
  readonly taskId: string;
  readonly attempt: number;
  readonly workerId: string;
  readonly end: TaskEnd | 'lost';
  readonly result: unknown;
  /** Wall-clock times in milliseconds since the Unix epoch; equal if unknown. */
  readonly startedAt: number;
  readonly endedAt: number;
  readonly peak: FinishedTask['peak'];
}

/** Accepted cancellation of a job. */
export interface JobCancelledRecord {
  readonly type: 'job-cancelled';
  readonly jobId: string;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  readonly cancelledAt?: number;
}

/** Hold of a job after failures on distinct workers, or its release by an operator. */
export interface JobHeldRecord {
  readonly type: 'job-held';
  readonly jobId: string;
  readonly held: boolean;
}

/** First record of an epoch. Its commit fences the former owner. */
export interface EpochBeganRecord {
  readonly type: 'epoch-began';
  readonly epoch: number;
  readonly ownerId: string;
}

/**
 * Resource usage of one execution from its start to `endedAt`. Time that earlier records of the execution cover is not
 * counted again.
 */
export interface UsageRecord {
  readonly type: 'usage';
  readonly taskId: string;
  readonly attempt: number;
  readonly team: string;
  readonly queue: string;
  readonly startedAt: number;
  readonly endedAt: number;
  readonly processorSeconds: number;
  readonly memoryByteSeconds: number;
  readonly acceleratorSeconds: number;
}

/** Time up to which the usage of an execution has been counted. */
export interface CountedRun {
  readonly attempt: number;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  readonly until: number;
}

/** State of one task in a snapshot. */
export interface TaskSnapshot {
  readonly state: TaskState;
  readonly attempt: number;
  readonly failures: number;
  readonly mayHaveRun: boolean;
  readonly workerId?: string;
  readonly workerPartition?: number;
  readonly incarnation?: string;
  readonly result?: unknown;
  readonly counted?: readonly CountedRun[];
  /** Attempts whose usage has been counted in full; only in snapshots that version 0.1.0 wrote before checkpoints. */
  readonly countedAttempts?: readonly number[];
}

/** Complete state of one job; only in snapshots. */
export interface JobStateRecord {
  readonly type: 'job-state';
  readonly accepted: JobAcceptedRecord;
  readonly isCancelled: boolean;
  readonly isHeld: boolean;
  /** Wall-clock time in milliseconds since the Unix epoch, or null while the job is active. */
  readonly endedAt: number | null;
  readonly failedWorkers: readonly string[];
  readonly tasks: readonly TaskSnapshot[];
}

/** Resource usage of one team and queue in one hour; only in snapshots. */
export interface UsageTotalRecord extends UsageRow {
  readonly type: 'usage-total';
}

/** A durable record of a partition. */
export type JournalRecord =
  | JobAcceptedRecord
  | TaskIntentRecord
  | TaskNotStartedRecord
  | TaskEndedRecord
  | JobCancelledRecord
  | JobHeldRecord
  | EpochBeganRecord
  | UsageRecord
  | JobStateRecord
  | UsageTotalRecord;
