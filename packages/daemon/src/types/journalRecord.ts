import type { FinishedTask, JobRequest, TaskEnd } from '@chicorybend/common';

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
}

/** A start that certainly had no effect. */
export interface TaskNotStartedRecord {
  readonly type: 'task-not-started';
  readonly taskId: string;
  readonly attempt: number;
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

/** Usage of one execution, counted once by its identity. */
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

/** A durable record of a partition. */
export type JournalRecord =
  | JobAcceptedRecord
  | TaskIntentRecord
  | TaskNotStartedRecord
  | TaskEndedRecord
  | JobCancelledRecord
  | JobHeldRecord
  | EpochBeganRecord
  | UsageRecord;
