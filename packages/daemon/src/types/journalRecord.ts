import type { FinishedTask, JobRequest, TaskEnd, TaskState } from '@chicorybend/common';

import type { UsageRow } from './peerMethods.js';

/** A job as accepted. */
export interface JobAcceptedRecord {
  readonly type: 'job-accepted';
  readonly jobId: string;
  readonly team: string;
  readonly idempotencyKey: string;
  /** SHA-256 of the body, to tell a retry from another job under the same key. */
  readonly bodyHash: string;
  readonly request: JobRequest;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  readonly acceptedAt: number;
}

/** Written before a start command is sent. */
export interface TaskIntentRecord {
  readonly type: 'task-intent';
  readonly taskId: string;
  readonly attempt: number;
  readonly workerId: string;
  readonly workerPartition: number;
  /** Process of the worker that the start is for; tells a restarted worker from one that never started it. */
  readonly incarnation?: string;
}

/** A start that certainly had no effect. */
export interface TaskNotStartedRecord {
  readonly type: 'task-not-started';
  readonly taskId: string;
  readonly attempt: number;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  readonly decidedAt?: number;
}

/** An execution that ended, or that was lost with its worker. */
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

/** A cancellation that was accepted. */
export interface JobCancelledRecord {
  readonly type: 'job-cancelled';
  readonly jobId: string;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  readonly cancelledAt?: number;
}

/** A job put on hold after failing on distinct workers, or released by an operator. */
export interface JobHeldRecord {
  readonly type: 'job-held';
  readonly jobId: string;
  readonly held: boolean;
}

/** First record of an epoch; fences the former owner. */
export interface EpochBeganRecord {
  readonly type: 'epoch-began';
  readonly epoch: number;
  readonly ownerId: string;
}

/** Usage of one execution up to a time; what was counted of it before is not counted again. */
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

/** How much of an execution's usage has been counted. */
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
  /** Attempts whose usage has been counted in full; written by version 0.1.0 before checkpoints. */
  readonly countedAttempts?: readonly number[];
}

/** Whole state of one job, in snapshots only. */
export interface JobStateRecord {
  readonly type: 'job-state';
  readonly accepted: JobAcceptedRecord;
  readonly isCancelled: boolean;
  readonly isHeld: boolean;
  /** Wall-clock time in milliseconds since the Unix epoch, or null while the job goes on. */
  readonly endedAt: number | null;
  readonly failedWorkers: readonly string[];
  readonly tasks: readonly TaskSnapshot[];
}

/** Usage of one team and queue in one hour, in snapshots only. */
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
