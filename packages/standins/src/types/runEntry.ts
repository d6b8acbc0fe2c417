import type { Resources, TaskEnd, VmState } from '@chicorybend/common';

/** Fields of every entry. */
interface EntryBase {
  /** Wall time in fractional milliseconds since the Unix epoch; monotonic and comparable between stand-ins. */
  readonly at: number;
}

/** A worker started with a new incarnation. */
export interface WorkerUpEntry extends EntryBase {
  readonly type: 'worker-up';
  readonly workerId: string;
  readonly incarnation: string;
  readonly capacity: Resources;
}

/** A worker crashed; `task-ended` entries of its tasks precede this entry. */
export interface WorkerDownEntry extends EntryBase {
  readonly type: 'worker-down';
  readonly workerId: string;
  readonly incarnation: string;
}

/** An execution of a task began at a worker. */
export interface TaskStartedEntry extends EntryBase {
  readonly type: 'task-started';
  readonly workerId: string;
  readonly incarnation: string;
  readonly taskId: string;
  readonly attempt: number;
  readonly team: string;
  readonly resources: Resources;
  readonly jobPartition: number;
  readonly jobEpoch: number;
  /** Partition and epoch of the worker's owner that sent the command. */
  readonly workerPartition: number;
  readonly workerEpoch: number;
  /** `marker` of the payload, by which callers recognise their own tasks. */
  readonly marker: string | null;
}

/** An execution of a task ended at a worker. */
export interface TaskEndedEntry extends EntryBase {
  readonly type: 'task-ended';
  readonly workerId: string;
  readonly incarnation: string;
  readonly taskId: string;
  readonly attempt: number;
  readonly end: TaskEnd | 'crashed';
}

/** An endpoint started. */
export interface EndpointUpEntry extends EntryBase {
  readonly type: 'endpoint-up';
  readonly endpointId: string;
  readonly slots: number;
  readonly connections: number;
}

/** An execution of a request began at an endpoint. */
export interface RequestStartedEntry extends EntryBase {
  readonly type: 'request-started';
  readonly endpointId: string;
  /** Unique per execution at the endpoint, also for executions of the same request. */
  readonly executionId: number;
  readonly requestId: string;
  readonly team: string;
  /** `marker` of the payload, by which callers recognise their own requests. */
  readonly marker: string | null;
  /** Number of requests that run at the endpoint, including this one. */
  readonly concurrent: number;
}

/** An execution of a request ended at an endpoint. */
export interface RequestEndedEntry extends EntryBase {
  readonly type: 'request-ended';
  readonly endpointId: string;
  readonly executionId: number;
  readonly requestId: string;
  /** `unanswered`: the connection closed, or the endpoint crashed, before the answer was sent. */
  readonly outcome: 'answered' | 'failed' | 'unanswered';
}

/** The number of open connections at an endpoint changed. */
export interface ConnectionsEntry extends EntryBase {
  readonly type: 'connections';
  readonly endpointId: string;
  readonly open: number;
}

/** A change became visible in the VM list. */
export interface VmListedEntry extends EntryBase {
  readonly type: 'vm-listed';
  readonly vmId: string;
  readonly state: VmState | 'absent';
}

/** Entry of the run record: an event at a stand-in. */
export type RunEntry =
  | WorkerUpEntry
  | WorkerDownEntry
  | TaskStartedEntry
  | TaskEndedEntry
  | EndpointUpEntry
  | RequestStartedEntry
  | RequestEndedEntry
  | ConnectionsEntry
  | VmListedEntry;

/** Kind of a {@link RunEntry}. */
export type RunEntryType = RunEntry['type'];

/** Entry of one kind. */
export type RunEntryOf<Type extends RunEntryType> = Extract<RunEntry, { type: Type }>;
