import type { Resources } from './resources.js';

/** Identity of one execution of a task. */
export interface TaskAttempt {
  /** `<jobId>/<index>` */
  readonly taskId: string;
  /** Number of the execution, starting at 1. */
  readonly attempt: number;
}

/** One task of a start request. */
export interface TaskStart extends TaskAttempt {
  readonly team: string;
  /** Partition of the job; its owner is notified when the task ends. */
  readonly jobPartition: number;
  /** Epoch of the job partition's owner when it decided to start the task. */
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
  /** Last measured resource usage of the task; lags behind the actual usage. */
  readonly used: Resources;
  readonly leaseRemainingMilliseconds: number;
  /** Wall-clock time of the worker in milliseconds since the Unix epoch. */
  readonly startedAt: number;
  readonly throttled: boolean;
}

/** How an execution ended on the worker. */
export type TaskEnd = 'succeeded' | 'failed' | 'stopped' | 'checkpointed' | 'lease-lapsed';

/** An execution that has ended. The worker reports it until the end is acknowledged. */
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

/** Fields that are part of every command to a worker. */
export interface WorkerCommand {
  /** Partition that the worker belongs to. */
  readonly partition: number;
  /** Epoch of the sender's ownership of the partition; a worker that has seen a higher one refuses with status 409. */
  readonly epoch: number;
}

/** Refusal of a command, sent with HTTP status 409. The command had no effect. */
export interface WorkerRefusal {
  readonly refused: 'stale-epoch' | 'past-not-after' | 'other-incarnation';
  readonly highestEpoch: number;
}

/** `POST /seal`: a new owner takes over the worker; from then on it refuses commands of lower epochs. */
export type SealRequest = WorkerCommand;

/** All running executions, and all ended ones that have not been acknowledged. */
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
  /** Deadline on the worker's monotonic clock, in milliseconds; the command is refused after it. */
  readonly notAfterWorkerMilliseconds: number;
  readonly leaseMilliseconds: number;
  readonly tasks: readonly TaskStart[];
}

/** Outcome of one start. `duplicate`: this attempt is running or has ended already. */
export interface StartResult extends TaskAttempt {
  readonly outcome: 'started' | 'duplicate' | 'refused';
  readonly reason?: string;
}

/** Response of `POST /start`. */
export interface StartResponse {
  readonly workerMilliseconds: number;
  readonly results: readonly StartResult[];
}

/** `POST /renew`: extends the leases of all running tasks and acknowledges ends. */
export interface RenewRequest extends WorkerCommand {
  readonly leaseMilliseconds: number;
  readonly acknowledged: readonly TaskAttempt[];
  /** Deadline on the worker's monotonic clock, in milliseconds; a renewal that arrives later extends no lease. */
  readonly notAfterWorkerMilliseconds?: number;
}

/** Response of `POST /renew`; the content is that of a seal. */
export type RenewResponse = SealResponse;

/** `POST /stop`, `POST /checkpoint`, `POST /throttle`. */
export interface TaskCommand extends WorkerCommand {
  readonly tasks: readonly TaskAttempt[];
}

/** Response to a {@link TaskCommand}: the listed tasks were running and are affected. */
export interface TaskCommandResponse {
  readonly affected: readonly TaskAttempt[];
}
