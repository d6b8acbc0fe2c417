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

/** Partitions of the sender of a heartbeat and their loads. */
export interface HeartbeatLoads {
  /** Partitions that the sender serves. */
  readonly owned: readonly { partition: number; epoch: number }[];
  /** Loads that changed since they were last sent. */
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

/** Answer to a heartbeat: the same fields about the receiver. */
export type HeartbeatReply = Heartbeat;

/** An interactive request that is forwarded to the owner of its partition. */
export interface ForwardedRequest {
  readonly partition: number;
  readonly requestId: string;
  readonly team: string;
  /** Present on non-idempotent requests: a UUID version 7. */
  readonly idempotencyKey: string | null;
  readonly bodyHash: string;
  readonly request: InteractiveRequest;
  /** True if the request overflowed to another partition: it is executed there or refused, without deduplication. */
  readonly isOverflow: boolean;
}

/** Resources of a worker that the owner of its partition has reserved for a task. */
export interface Reservation {
  readonly reservationId: string;
  readonly taskId: string;
  readonly workerId: string;
  readonly workerPartition: number;
  readonly workerEpoch: number;
  readonly rack: string;
  /** Identifies the process of the worker; a start after its restart is refused. */
  readonly incarnation?: string;
}

/** Asks the owner of a partition to reserve resources on its workers. */
export interface ReserveRequest {
  readonly workerPartition: number;
  readonly jobPartition: number;
  readonly team: string;
  readonly taskIds: readonly string[];
  readonly resources: Resources;
  /** Whether either all tasks get a reservation or none. */
  readonly isAllOrNothing: boolean;
  /** Racks that hold other replicas already; avoided where possible. */
  readonly avoidRacks: readonly string[];
  /** Workers on which the job has failed; they are excluded. */
  readonly avoidWorkers: readonly string[];
  readonly ttlMilliseconds: number;
  /** `workId` of the hold whose resources may be used too. */
  readonly heldFor?: string;
  /** Whether resources that are held for others may be used, if no others are free. */
  readonly isUrgent?: boolean;
}

/** Asks the owner of a partition to hold resources for tasks that do not fit yet. */
export interface HoldRequest {
  readonly workerPartition: number;
  /** Identifies the waiting tasks that the resources are held for. */
  readonly workId: string;
  /** Resources of each task. */
  readonly resources: Resources;
  /** Largest number of tasks to hold resources for. */
  readonly count: number;
  /** How long the tasks have waited, in milliseconds; the hold displaces holds for tasks that have waited less. */
  readonly waitedMilliseconds: number;
  readonly avoidWorkers: readonly string[];
  /** The hold expires after this time unless the request is repeated. */
  readonly ttlMilliseconds: number;
}

/** Conditions under which a running task may be preempted. */
export interface ReclaimTerms {
  readonly priority: QueuePriority;
  /** Whether the task may be stopped and run again later; never true for tasks that may run only once. */
  readonly isStoppable: boolean;
}

/** A start of a reserved task. */
export interface ReservedStart {
  readonly reservationId: string;
  readonly workerId: string;
  readonly start: TaskStart;
  /** A task without terms is never preempted. */
  readonly terms?: ReclaimTerms;
}

/** Asks the owner of a partition to preempt running tasks in favour of tasks that do not fit. */
export interface ReclaimRequest extends HoldRequest {
  readonly team: string;
  readonly priority: QueuePriority;
  /** Teams above their share, as known to the sender; only their tasks are preempted. */
  readonly teams: Readonly<Record<string, TeamShare>>;
  /** Capacity of the cell, for the computation of dominant shares. */
  readonly capacity: Resources;
}

/** State of an execution as known to the owner of the worker's partition. */
export type ExecutionState =
  | { readonly kind: 'running'; readonly running: RunningTask }
  | { readonly kind: 'finished'; readonly finished: FinishedTask }
  /** The worker was sealed at the present epoch and neither runs nor has finished the execution. */
  | { readonly kind: 'absent' }
  /** The worker does not answer; the execution may continue until its lease lapses. */
  | { readonly kind: 'silent' }
  /** The worker does not answer and every lease that it could hold has lapsed, or it has restarted. */
  | { readonly kind: 'lapsed' };

/** Reports the end of an execution to the owner of its job. */
export interface TaskEvent {
  readonly jobPartition: number;
  readonly workerId: string;
  readonly event:
    | { readonly kind: 'finished'; readonly finished: FinishedTask }
    | {
        readonly kind: 'lapsed';
        readonly attempt: TaskAttempt;
        /** Interval in which the worker is known to have run the task; absent if it never reported it. */
        readonly ran?: RunInterval;
      };
}

/** Time in which an execution ran, in wall-clock milliseconds since the Unix epoch. */
export interface RunInterval {
  /** Start by the clock of the worker. */
  readonly startedAt: number;
  readonly until: number;
}

/** An execution whose end is not durable yet, as known to the owner of the worker's partition. */
export interface MeasuredRun extends TaskAttempt, RunInterval {
  /** Whether it still runs; `until` is then the time of the worker's last report, by the owner's clock. */
  readonly isRunning: boolean;
}

/** Executions of one job partition on the workers of one worker partition. */
export interface MeasuredRuns {
  readonly runs: readonly MeasuredRun[];
  /** False while some workers have not reported at this epoch. */
  readonly isComplete: boolean;
}

/** Resource usage of one partition up to the last reports of its workers. */
export interface PartitionUsage {
  readonly rows: readonly UsageRow[];
  /** Number of executions whose usage is in the rows only up to their last checkpoint. */
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

/** State of a worker as known to the owner of its partition. */
export interface WorkerView {
  readonly workerId: string;
  readonly partition: number;
  readonly state: 'unsealed' | 'live' | 'silent' | 'leaving' | 'quarantined';
  readonly capacity: Resources;
  readonly free: Resources;
  readonly runningTasks: number;
}

/** State of a daemon as reported by itself. */
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
  /** Returns how long the receiver has had no heartbeat or answer from a member, in milliseconds. */
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
  /** Releases a held job on behalf of an operator. */
  'job.release': { params: { jobId: string }; result: JobView };
  'job.list': { params: { partition: number; team: string | null }; result: readonly JobView[] };
  'worker.reserve': { params: ReserveRequest; result: readonly Reservation[] };
  'worker.release': {
    params: { workerPartition: number; reservationIds: readonly string[] };
    result: object;
  };
  /** Holds resources for as many tasks as possible; replaces the earlier hold with the same `workId`. */
  'worker.hold': { params: HoldRequest; result: { held: number } };
  'worker.drop-hold': { params: { workerPartition: number; workId: string }; result: object };
  /** Preempts tasks; returns the number of tasks that resources are freed for. The resources are held for them. */
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
      /** Process of the worker that the task was to start on, from the intent in the journal. */
      incarnation?: string;
      /** Job partition and epoch of the sender; starts of lower epochs are refused from then on. */
      jobPartition?: number;
      jobEpoch?: number;
      /** Preemption terms of the execution, which a new owner of the worker's partition does not know. */
      terms?: ReclaimTerms;
    };
    result: ExecutionState;
  };
  'worker.runs': {
    params: { workerPartition: number; jobPartition: number };
    result: MeasuredRuns;
  };
  /** Lifts the quarantine of a worker on behalf of an operator. */
  'worker.lift': { params: { workerPartition: number; workerId: string }; result: WorkerView };
  'worker.list': { params: { partition: number }; result: readonly WorkerView[] };
  /** Repeated until answered. The answer means that the event is durable and may be acknowledged to the worker. */
  'task.event': { params: TaskEvent; result: object };
  /** Asks a partition to return unused units of a team's upper limit. */
  'allotment.return': {
    params: { partition: number; team: string; dimension: 'tasks' | 'requests' };
    result: { returned: number };
  };
  'usage.report': { params: { partition: number }; result: PartitionUsage };
  'daemon.read': { params: object; result: DaemonView };
  'daemon.drain': { params: object; result: object };
}
