import type {
  Configuration,
  ConfigurationRoot,
  FinishedTask,
  InteractiveRequest,
  InteractiveResponse,
  JobRequest,
  JobView,
  Resources,
  RunningTask,
  StartResult,
  TaskAttempt,
  TaskStart,
} from '@chicorybend/common';
import type { QueuePriority, TeamShare } from '@chicorybend/decisions';

import type { MembershipRecord } from './membershipView.js';
import type { PartitionLoad } from './partition.js';

/** What a heartbeat tells about the sender's partitions. */
export interface HeartbeatLoads {
  /** Partitions that the sender serves. */
  readonly owned: readonly { partition: number; epoch: number }[];
  /** Loads that have changed. */
  readonly loads: readonly PartitionLoad[];
}

/** Parameters of a heartbeat. */
export interface Heartbeat {
  readonly incarnation: string;
  readonly membershipVersion: number;
  readonly configurationRevision: number;
  /** Age of the sender's last confirmation of the configuration against the store, in milliseconds. */
  readonly freshnessAgeMilliseconds: number;
  readonly isDraining: boolean;
  /** Present when the receiver may not know them as they are; absent from answers. */
  readonly loads?: HeartbeatLoads;
  /** The sender's membership record, present when the receiver is known to hold an older one. */
  readonly record?: MembershipRecord;
}

/** Answer to a heartbeat: the same facts about the receiver. */
export type HeartbeatReply = Heartbeat;

/** An interactive request on its way to its partition. */
export interface ForwardedRequest {
  readonly partition: number;
  readonly requestId: string;
  readonly team: string;
  /** Present on non-idempotent requests: a UUID version 7. */
  readonly idempotencyKey: string | null;
  readonly bodyHash: string;
  readonly request: InteractiveRequest;
  /** True on the overflow hop: execute here or refuse, without deduplication. */
  readonly isOverflow: boolean;
}

/** A reservation at the owner of a worker's partition. */
export interface Reservation {
  readonly reservationId: string;
  readonly taskId: string;
  readonly workerId: string;
  readonly workerPartition: number;
  readonly workerEpoch: number;
  readonly rack: string;
  /** Process of the worker; a start after its restart is refused. */
  readonly incarnation?: string;
}

/** Asks the owner of a partition for room on its workers. */
export interface ReserveRequest {
  readonly workerPartition: number;
  readonly jobPartition: number;
  readonly team: string;
  readonly taskIds: readonly string[];
  readonly resources: Resources;
  /** All tasks or none. */
  readonly isAllOrNothing: boolean;
  /** Racks that hold other replicas already; avoided where possible. */
  readonly avoidRacks: readonly string[];
  /** Workers on which the job has failed; not used. */
  readonly avoidWorkers: readonly string[];
  readonly ttlMilliseconds: number;
  /** Work whose held room may be used too. */
  readonly heldFor?: string;
  /** Whether room that is held for other work may be used, if there is no other. */
  readonly isUrgent?: boolean;
}

/** Asks the owner of a partition to keep room for work that does not fit yet. */
export interface HoldRequest {
  readonly workerPartition: number;
  /** Work that is to use the room. */
  readonly workId: string;
  /** Resources of each task. */
  readonly resources: Resources;
  /** Tasks to hold room for at most. */
  readonly count: number;
  /** How long the work has waited, in milliseconds; it displaces holds of work that has waited less. */
  readonly waitedMilliseconds: number;
  readonly avoidWorkers: readonly string[];
  /** The hold ends after this time unless it is asked for again. */
  readonly ttlMilliseconds: number;
}

/** Whether and for whom a running task may have to give way. */
export interface ReclaimTerms {
  readonly priority: QueuePriority;
  /** Whether it may be stopped and run again later; never true of tasks that may run only once. */
  readonly isStoppable: boolean;
}

/** A start of a reserved task. */
export interface ReservedStart {
  readonly reservationId: string;
  readonly workerId: string;
  readonly start: TaskStart;
  /** Without terms the task never gives way. */
  readonly terms?: ReclaimTerms;
}

/** Asks the owner of a partition to take room back from running tasks for work that does not fit. */
export interface ReclaimRequest extends HoldRequest {
  readonly team: string;
  readonly priority: QueuePriority;
  /** Positions of the teams above their share, as the asker has heard; only these give room. */
  readonly teams: Readonly<Record<string, TeamShare>>;
  /** Capacity of the cell, for dominant shares. */
  readonly capacity: Resources;
}

/** What the owner of a worker's partition knows about an execution. */
export type ExecutionState =
  | { readonly kind: 'running'; readonly running: RunningTask }
  | { readonly kind: 'finished'; readonly finished: FinishedTask }
  /** The worker was sealed at the present epoch and neither runs nor has finished it. */
  | { readonly kind: 'absent' }
  /** The worker is silent; the execution may go on until its lease lapses. */
  | { readonly kind: 'silent' }
  /** The worker is silent and every lease that it could hold has lapsed, or it restarted. */
  | { readonly kind: 'lapsed' };

/** An execution that ended, on its way to the owner of its job. */
export interface TaskEvent {
  readonly jobPartition: number;
  readonly workerId: string;
  readonly event:
    | { readonly kind: 'finished'; readonly finished: FinishedTask }
    | {
        readonly kind: 'lapsed';
        readonly attempt: TaskAttempt;
        /** Interval in which the worker is known to have run it; absent if it never reported it. */
        readonly ran?: RunInterval;
      };
}

/** Time in which an execution ran, in wall-clock milliseconds since the Unix epoch. */
export interface RunInterval {
  /** By the worker's clock. */
  readonly startedAt: number;
  readonly until: number;
}

/** An execution whose end is not durable, as the owner of its worker's partition knows it. */
export interface MeasuredRun extends TaskAttempt, RunInterval {
  /** Whether it goes on; `until` is then the last report of the worker, by the owner's clock. */
  readonly isRunning: boolean;
}

/** Executions of one job partition on the workers of one worker partition. */
export interface MeasuredRuns {
  readonly runs: readonly MeasuredRun[];
  /** False while some workers have not been heard at this epoch. */
  readonly isComplete: boolean;
}

/** Usage of one partition up to the last reports of the workers. */
export interface PartitionUsage {
  readonly rows: readonly UsageRow[];
  /** Executions of which only the part up to their last checkpoint is in the rows. */
  readonly unmeasured: number;
}

/** One row of a usage report. */
export interface UsageRow {
  readonly team: string;
  readonly queue: string;
  /** Start of the hour, in milliseconds since the Unix epoch. */
  readonly hour: number;
  readonly processorSeconds: number;
  readonly memoryByteSeconds: number;
  readonly acceleratorSeconds: number;
  readonly tasks: number;
}

/** State of a worker as its partition's owner sees it. */
export interface WorkerView {
  readonly workerId: string;
  readonly partition: number;
  readonly state: 'unsealed' | 'live' | 'silent' | 'leaving' | 'quarantined';
  readonly capacity: Resources;
  readonly free: Resources;
  readonly runningTasks: number;
}

/** State of a daemon as it sees itself. */
export interface DaemonView {
  readonly daemonId: string;
  readonly state: string;
  readonly dataCentre: string;
  readonly apiAddress: string;
  readonly partitions: readonly number[];
  readonly configurationRevision: number;
  readonly isFresh: boolean;
  readonly counters: Readonly<Record<string, number>>;
}

/** Calls between daemons, as JSON-RPC 2.0 methods. */
export interface PeerMethods {
  'membership.heartbeat': { params: Heartbeat; result: HeartbeatReply };
  /** How long the receiver has heard nothing from a member, in milliseconds. */
  'membership.silence': {
    params: { daemonId: string; incarnation: string };
    result: { membershipVersion: number; silentMilliseconds: number };
  };
  'ownership.handover': {
    params: { partition: number; epoch: number; state: Readonly<Record<string, unknown>> };
    result: { accepted: boolean };
  };
  'configuration.announce': { params: { revokedKeys: readonly string[] }; result: object };
  'configuration.changed': { params: { revision: number }; result: { revision: number } };
  'configuration.read': {
    params: object;
    result: { root: ConfigurationRoot | null; configuration: Configuration | null };
  };
  'request.execute': { params: ForwardedRequest; result: InteractiveResponse };
  'job.submit': {
    params: {
      partition: number;
      team: string;
      idempotencyKey: string;
      bodyHash: string;
      request: JobRequest;
    };
    result: { jobId: string };
  };
  'job.read': { params: { jobId: string; team: string }; result: JobView };
  /** Waits until the job has ended, or answers with its present state after the wait. */
  'job.wait': {
    params: { jobId: string; team: string; waitMilliseconds: number };
    result: JobView;
  };
  'job.cancel': { params: { jobId: string; team: string }; result: JobView };
  /** Lets a held job go on, for an operator. */
  'job.release': { params: { jobId: string }; result: JobView };
  'job.list': { params: { partition: number; team: string | null }; result: readonly JobView[] };
  'worker.reserve': { params: ReserveRequest; result: readonly Reservation[] };
  'worker.release': {
    params: { workerPartition: number; reservationIds: readonly string[] };
    result: object;
  };
  /** Holds room for as many tasks as possible, in place of what was held for the work before. */
  'worker.hold': { params: HoldRequest; result: { held: number } };
  'worker.drop-hold': { params: { workerPartition: number; workId: string }; result: object };
  /** Tasks of the work that room will become free for; the room is held for it. */
  'worker.reclaim': { params: ReclaimRequest; result: { helped: number } };
  'worker.start': {
    params: { workerPartition: number; starts: readonly ReservedStart[] };
    result: readonly StartResult[];
  };
  'worker.stop': {
    params: {
      workerPartition: number;
      mode: 'stop' | 'checkpoint' | 'throttle';
      workerId: string;
      tasks: readonly TaskAttempt[];
    };
    result: { affected: readonly TaskAttempt[] };
  };
  'worker.lookup': {
    params: {
      workerPartition: number;
      workerId: string;
      attempt: TaskAttempt;
      /** Process of the worker that the start was for, from the intent. */
      incarnation?: string;
      /** Job partition and epoch of the asker; starts of lower epochs are refused from then on. */
      jobPartition?: number;
      jobEpoch?: number;
      /** Terms of the execution, which a new owner of the worker does not know. */
      terms?: ReclaimTerms;
    };
    result: ExecutionState;
  };
  'worker.runs': {
    params: { workerPartition: number; jobPartition: number };
    result: MeasuredRuns;
  };
  /** Lifts the quarantine of a worker, for an operator. */
  'worker.lift': { params: { workerPartition: number; workerId: string }; result: WorkerView };
  'worker.list': { params: { partition: number }; result: readonly WorkerView[] };
  /** Told until answered; the answer means that the event is durable and may be acknowledged. */
  'task.event': { params: TaskEvent; result: object };
  /** Asks a partition to give up idle units of a team's upper limit. */
  'allotment.return': {
    params: { partition: number; team: string; dimension: 'tasks' | 'requests' };
    result: { returned: number };
  };
  'usage.report': { params: { partition: number }; result: PartitionUsage };
  'daemon.read': { params: object; result: DaemonView };
  'daemon.drain': { params: object; result: object };
}
