import type { Resources } from './resources.js';

/** Identity of one execution of a task. */
export interface TaskAttempt {
  /** `<jobId>/<index>` */
  readonly taskId: string;
  /** Number of the execution, from 1. */
  readonly attempt: number;
}

/** What a worker needs to run a task. */
export interface TaskStart extends TaskAttempt {
  readonly team: string;
  /** Partition of the job, which is told about the end of the task. */
  readonly jobPartition: number;
  /** Epoch of the job partition's owner that decided on the start. */
  readonly jobEpoch: number;
  readonly resources: Resources;
  /** Opaque to the scheduler. */
  readonly payload: unknown;
}

/** A task as a worker reports it while it runs. */
export interface RunningTask extends TaskAttempt {
  readonly team: string;
  readonly jobPartition: number;
  /** Declared resources that the task was started with. */
  readonly resources: Resources;
  /** What the task was seen using; lags behind. */
  readonly used: Resources;
  readonly leaseRemainingMilliseconds: number;
  /** Wall-clock time of the worker in milliseconds since the Unix epoch. */
  readonly startedAt: number;
  readonly throttled: boolean;
}

/** How an execution ended at the worker. */
export type TaskEnd = 'succeeded' | 'failed' | 'stopped' | 'checkpointed' | 'lease-lapsed';

/** An execution that has ended; kept by the worker until acknowledged. */
export interface FinishedTask extends TaskAttempt {
  readonly team: string;
  readonly jobPartition: number;
  readonly end: TaskEnd;
  readonly resources: Resources;
  readonly peak: Resources;
  readonly result: unknown;
  /** Wall-clock times of the worker in milliseconds since the Unix epoch. */
  readonly startedAt: number;
  readonly endedAt: number;
}

/** Fields of every command to a worker. */
export interface WorkerCommand {
  /** Partition that the worker belongs to. */
  readonly partition: number;
  /** Epoch of the sender's ownership; a worker that has seen a later one refuses with 409. */
  readonly epoch: number;
}

/** Refusal of a worker, sent with HTTP status 409 and before any effect. */
export interface WorkerRefusal {
  readonly refused: 'stale-epoch' | 'past-not-after' | 'other-incarnation';
  readonly highestEpoch: number;
}

/** `POST /seal`: takes the worker over at an epoch. */
export type SealRequest = WorkerCommand;

/** Everything that the worker runs or has finished without an acknowledgement. */
export interface SealResponse {
  readonly workerId: string;
  /** Changes when the worker restarts; a restarted worker runs nothing. */
  readonly incarnation: string;
  /** Monotonic time of the worker in milliseconds. */
  readonly workerMilliseconds: number;
  readonly capacity: Resources;
  readonly running: readonly RunningTask[];
  readonly finished: readonly FinishedTask[];
}

/** `POST /start`. */
export interface StartRequest extends WorkerCommand {
  readonly incarnation: string;
  /** On the worker's monotonic clock; a later command is refused. */
  readonly notAfterWorkerMilliseconds: number;
  readonly leaseMilliseconds: number;
  readonly tasks: readonly TaskStart[];
}

/** Outcome of one start. `duplicate` means that this attempt was started or has ended before. */
export interface StartResult extends TaskAttempt {
  readonly outcome: 'started' | 'duplicate' | 'refused';
  readonly reason?: string;
}

/** Answer of `POST /start`. */
export interface StartResponse {
  readonly workerMilliseconds: number;
  readonly results: readonly StartResult[];
}

/** `POST /renew`: extends the leases of all running tasks and acknowledges ends. */
export interface RenewRequest extends WorkerCommand {
  readonly leaseMilliseconds: number;
  readonly acknowledged: readonly TaskAttempt[];
  /** On the worker's monotonic clock; a renewal that arrives later extends no lease. */
  readonly notAfterWorkerMilliseconds?: number;
}

/** Same content as a seal. */
export type RenewResponse = SealResponse;

/** `POST /stop`, `POST /checkpoint`, `POST /throttle`. */
export interface TaskCommand extends WorkerCommand {
  readonly tasks: readonly TaskAttempt[];
}

/** Answer to a {@link TaskCommand}: which tasks were running and are affected. */
export interface TaskCommandResponse {
  readonly affected: readonly TaskAttempt[];
}
