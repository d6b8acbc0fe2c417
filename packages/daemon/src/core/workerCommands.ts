/**
 * Sends starts and other task commands to the workers of one partition.
 */

import { Err } from '@chicorybend/common';
import type {
  Clock,
  Result,
  StartRequest,
  StartResponse,
  StartResult,
  TaskAttempt,
  TaskCommandResponse,
} from '@chicorybend/common';

import type { PartitionLease } from '../types/partition.js';
import type { ReservedStart } from '../types/peerMethods.js';

import type { ActiveReservation, ReservationTable } from './reservations.js';
import {
  COMMAND_WINDOW_MILLISECONDS,
  latestLeaseEndAfterSend,
  latestLeaseEndAfterCall,
  TASK_LEASE_MILLISECONDS,
} from './taskLease.js';
import type { TaskCommandMode, WorkerCallError, WorkerClient } from './workerClient.js';
import { executionKey, toAttempt } from './workerEntry.js';
import type { Execution, WorkerEntry } from './workerEntry.js';
import type { ExecutionTracker } from './executionTracker.js';

export interface WorkerCommandsOptions {
  readonly lease: PartitionLease;
  readonly clock: Clock;
  readonly client: WorkerClient;
  readonly workers: ReadonlyMap<string, WorkerEntry>;
  readonly reservations: ReservationTable;
  readonly executionTracker: ExecutionTracker;
  readonly returnToPool: (reservation: ActiveReservation) => void;
  readonly onSilent: (worker: WorkerEntry) => void;
  /** Called with each result of a start: whether the worker took it. */
  readonly onStartEnded: (worker: WorkerEntry, isTaken: boolean) => void;
  /** Called before a start is sent. */
  readonly onStart: (worker: WorkerEntry) => void;
}

/** Commands to the workers of one partition. */
export interface WorkerCommands {
  /** Starts reserved tasks. A task without a result may have been started. */
  start(starts: readonly ReservedStart[]): Promise<readonly StartResult[]>;
  sendTaskCommand(
    worker: WorkerEntry,
    mode: TaskCommandMode,
    tasks: readonly TaskAttempt[],
  ): Promise<Result<TaskCommandResponse, WorkerCallError>>;
  /** From now on, refuses starts that carry a lower epoch of the job partition. */
  fenceOlderJobEpochs(jobPartition: number, jobEpoch: number): void;
}

interface AdmittedStart {
  readonly reserved: ReservedStart;
  readonly execution: Execution;
}

export function createWorkerCommands(options: WorkerCommandsOptions): WorkerCommands {
  const { lease, clock, client, workers, reservations, executionTracker, returnToPool } = options;
  const highestJobEpochs = new Map<number, number>();

  function fenceOlderJobEpochs(jobPartition: number, jobEpoch: number): void {
    const highest = highestJobEpochs.get(jobPartition) ?? 0;
    if (jobEpoch > highest) highestJobEpochs.set(jobPartition, jobEpoch);
  }

  function createRefusal(reserved: ReservedStart, reason: string): StartResult {
    return { ...toAttempt(reserved.start), outcome: 'refused', reason };
  }

  function findRefusalReason(
    reserved: ReservedStart,
    reservation: ActiveReservation,
    worker: WorkerEntry,
  ): string | null {
    const { jobPartition, jobEpoch, taskId } = reserved.start;
    if (jobEpoch < (highestJobEpochs.get(jobPartition) ?? 0)) {
      return 'stale epoch of the job partition';
    }
    if (reservation.taskId !== taskId || reservation.workerId !== reserved.workerId) {
      return 'reserved for another task';
    }
    if (reservation.expiresAt <= clock.monotonicMilliseconds()) {
      return 'the reservation has expired';
    }
    if (worker.liveness !== 'live' || worker.incarnation !== reservation.incarnation) {
      return 'the worker is silent or has restarted';
    }
    if (!worker.isInVmList || worker.vm.state === 'leaving') return 'the worker is leaving';
    return null;
  }

  function computeNotAfter(worker: WorkerEntry): number {
    const clockReading = worker.clockReading ?? { workerMilliseconds: 0, receivedAt: 0 };
    // The reading was taken before it arrived, so counting from its arrival gives the earlier limit.
    const elapsed = clock.monotonicMilliseconds() - clockReading.receivedAt;
    return clockReading.workerMilliseconds + elapsed + COMMAND_WINDOW_MILLISECONDS;
  }

  /** The execution takes over the resources that were charged for the reservation. */
  function createExecution(worker: WorkerEntry, reserved: ReservedStart): Execution {
    const task = reserved.start;
    const execution: Execution = {
      ...toAttempt(task),
      team: task.team,
      jobPartition: task.jobPartition,
      resources: task.resources,
      state: 'starting',
      confirmedAt: 0,
      notAfter: computeNotAfter(worker),
      report: null,
      terms: reserved.terms ?? null,
    };
    worker.executions.set(executionKey(task), execution);
    options.onStart(worker);
    return execution;
  }

  function admit(reserved: ReservedStart): AdmittedStart | StartResult {
    fenceOlderJobEpochs(reserved.start.jobPartition, reserved.start.jobEpoch);
    const reservation = reservations.remove(reserved.reservationId);
    if (!reservation) return createRefusal(reserved, 'the reservation is not known');
    const worker = workers.get(reservation.workerId);
    const reason = worker ? findRefusalReason(reserved, reservation, worker) : 'the worker is gone';
    if (!worker || reason !== null) {
      returnToPool(reservation);
      return createRefusal(reserved, reason ?? '');
    }
    return { reserved, execution: createExecution(worker, reserved) };
  }

  function createRequest(worker: WorkerEntry, admitted: readonly AdmittedStart[]): StartRequest {
    return {
      partition: lease.partition,
      epoch: lease.epoch,
      incarnation: worker.incarnation ?? '',
      notAfterWorkerMilliseconds: Math.min(...admitted.map(({ execution }) => execution.notAfter)),
      leaseMilliseconds: TASK_LEASE_MILLISECONDS,
      tasks: admitted.map(({ reserved }) => reserved.start),
    };
  }

  function refuseAll(
    worker: WorkerEntry,
    admitted: readonly AdmittedStart[],
    reason: string,
  ): readonly StartResult[] {
    return admitted.map(({ reserved, execution }) => {
      executionTracker.removeExecution(worker, execution);
      return createRefusal(reserved, reason);
    });
  }

  function markDoubtful(execution: Execution): void {
    if (execution.state === 'starting') execution.state = 'doubtful';
  }

  function applyResult(
    worker: WorkerEntry,
    execution: Execution,
    result: StartResult | undefined,
  ): StartResult[] {
    if (result?.outcome === 'started') {
      if (execution.state !== 'running') execution.confirmedAt = clock.monotonicMilliseconds();
      execution.state = 'running';
      options.onStartEnded(worker, true);
      return [result];
    }
    if (result?.outcome === 'refused') {
      options.onStartEnded(worker, false);
      executionTracker.removeExecution(worker, execution);
      return [result];
    }
    // A duplicate runs already or has ended; a later report of the worker shows which.
    markDoubtful(execution);
    return [];
  }

  function applyResponse(
    worker: WorkerEntry,
    admitted: readonly AdmittedStart[],
    response: StartResponse,
  ): readonly StartResult[] {
    const results = new Map(response.results.map((result) => [executionKey(result), result]));
    return admitted.flatMap(({ execution }) =>
      applyResult(worker, execution, results.get(executionKey(execution))),
    );
  }

  function applyError(
    worker: WorkerEntry,
    admitted: readonly AdmittedStart[],
    error: WorkerCallError,
  ): readonly StartResult[] {
    options.onStartEnded(worker, false);
    if (error.kind === 'refused') return refuseAll(worker, admitted, error.refusal.refused);
    options.onSilent(worker);
    if (error.kind === 'not-sent') return refuseAll(worker, admitted, error.reason);
    admitted.forEach(({ execution }) => markDoubtful(execution));
    return [];
  }

  async function send(
    worker: WorkerEntry,
    admitted: readonly AdmittedStart[],
  ): Promise<readonly StartResult[]> {
    if (!lease.mayAct()) return refuseAll(worker, admitted, 'the owner may not act');
    worker.latestLeaseEnd = Math.max(
      worker.latestLeaseEnd,
      latestLeaseEndAfterSend(clock.monotonicMilliseconds()),
    );
    const answer = await client.start(worker.vm.address, createRequest(worker, admitted));
    const endedAt = clock.monotonicMilliseconds();
    worker.latestLeaseEnd = Math.max(worker.latestLeaseEnd, latestLeaseEndAfterCall(endedAt));
    return answer.isOk()
      ? applyResponse(worker, admitted, answer.value)
      : applyError(worker, admitted, answer.error);
  }

  function groupByWorker(admitted: readonly AdmittedStart[]): Map<string, AdmittedStart[]> {
    const groups = new Map<string, AdmittedStart[]>();
    admitted.forEach((admission) => {
      const { workerId } = admission.reserved;
      const group = groups.get(workerId);
      if (group) group.push(admission);
      else groups.set(workerId, [admission]);
    });
    return groups;
  }

  async function start(starts: readonly ReservedStart[]): Promise<readonly StartResult[]> {
    const admissions = starts.map(admit);
    const refusals = admissions.filter((admission) => 'outcome' in admission);
    const groups = groupByWorker(admissions.filter((admission) => 'execution' in admission));
    const sends = [...groups].map(([workerId, admitted]) => {
      const worker = workers.get(workerId);
      return worker ? send(worker, admitted) : [];
    });
    return [...refusals, ...(await Promise.all(sends)).flat()];
  }

  async function sendTaskCommand(
    worker: WorkerEntry,
    mode: TaskCommandMode,
    tasks: readonly TaskAttempt[],
  ): Promise<Result<TaskCommandResponse, WorkerCallError>> {
    if (!lease.mayAct()) return Err({ kind: 'not-sent', reason: 'the owner may not act' });
    const { partition, epoch } = lease;
    return client.command(worker.vm.address, mode, { partition, epoch, tasks });
  }

  return { start, sendTaskCommand, fenceOlderJobEpochs };
}
