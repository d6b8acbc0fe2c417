/**
 * What the owner of a worker's partition knows about one worker.
 */
import type { Resources, RunningTask, TaskAttempt, VmRecord } from '@chicorybend/common';
import { NO_RESOURCES } from '@chicorybend/decisions';

import type { ReclaimTerms, TaskEvent } from '../types/peerMethods.js';

/** An execution that occupies a worker. */
export interface Execution extends TaskAttempt {
  readonly team: string;
  readonly jobPartition: number;
  readonly resources: Resources;
  /** `doubtful` means that the start was sent and not answered. */
  state: 'starting' | 'doubtful' | 'running';
  /** Monotonic time at which the worker was known to run it, in milliseconds. */
  confirmedAt: number;
  /** On the worker's clock: the start is refused if it arrives later. */
  readonly notAfter: number;
  /** Last report of the worker. */
  report: RunningTask | null;
  /** Null until the owner of the job has told them. */
  terms: ReclaimTerms | null;
  /** Wall-clock time of this daemon at the last report, in milliseconds since the Unix epoch. */
  reportedAt?: number;
}

/** A reading of a worker's clock. */
export interface ClockReading {
  readonly workerMilliseconds: number;
  /** Monotonic time of this daemon at which the reading arrived, in milliseconds. */
  readonly receivedAt: number;
}

/** State of one worker. */
export interface WorkerEntry {
  readonly workerId: string;
  vm: VmRecord;
  /** Whether the VM list names it. */
  isInVmList: boolean;
  /** `unsealed` until the first answer at this epoch. */
  liveness: 'unsealed' | 'live' | 'silent';
  incarnation: string | null;
  clockReading: ClockReading | null;
  capacity: Resources;
  /** Monotonic time by which every lease that the worker could hold has lapsed, in milliseconds. */
  latestLeaseEnd: number;
  readonly executions: Map<string, Execution>;
  /** Ends that the owner of the job has not made durable yet. */
  readonly unconfirmedEnds: Map<string, TaskEvent>;
  /** Ends that are durable, to be acknowledged with the next renewal. */
  readonly endsToAcknowledge: Map<string, TaskAttempt>;
  /** Executions of this incarnation that were declared lapsed. */
  readonly lapsedExecutionKeys: Set<string>;
  /** Whether only a probe task may be placed on it. */
  isOnProbation: boolean;
}

/**
 * @param attempt execution
 * @returns its identity as a text
 */
export function executionKey(attempt: TaskAttempt): string {
  return `${attempt.taskId}#${attempt.attempt}`;
}

/**
 * @param attempt execution
 * @returns its identity without other fields
 */
export function toAttempt({ taskId, attempt }: TaskAttempt): TaskAttempt {
  return { taskId, attempt };
}

/**
 * Creates the state of a worker that has not been sealed.
 *
 * @param vm entry of the VM list
 * @param latestLeaseEnd monotonic time by which leases granted by former owners have lapsed, in milliseconds
 * @returns the state
 */
export function createWorkerEntry(vm: VmRecord, latestLeaseEnd: number): WorkerEntry {
  return {
    workerId: vm.id,
    vm,
    isInVmList: true,
    liveness: 'unsealed',
    incarnation: null,
    clockReading: null,
    capacity: vm.capacity ?? NO_RESOURCES,
    latestLeaseEnd: latestLeaseEnd,
    executions: new Map(),
    unconfirmedEnds: new Map(),
    endsToAcknowledge: new Map(),
    lapsedExecutionKeys: new Set(),
    isOnProbation: false,
  };
}
