/**
 * Manages the workers of one owned partition: seals them, reserves their capacity, starts tasks, renews leases and
 * declares executions lapsed. Only the owner sends commands to them.
 */

import { createFailure, Err, Ok } from '@chicorybend/common';
import type {
  Clock,
  Counters,
  Failure,
  Log,
  Result,
  StartResult,
  TaskAttempt,
  VmRecord,
} from '@chicorybend/common';
import { createMemberHealth } from '@chicorybend/decisions';
import type { MemberHealth, Quarantine, RetryDelays, WorkerPool } from '@chicorybend/decisions';

import type { PartitionLease } from '../types/partition.js';
import type {
  ExecutionState,
  HoldRequest,
  MeasuredRuns,
  PeerMethods,
  ReclaimRequest,
  Reservation,
  ReservedStart,
  ReserveRequest,
  TaskEvent,
  WorkerView,
} from '../types/peerMethods.js';
import type { CallPartition } from '../utils/partitionCalls.js';

import { createFaultHandler } from '../utils/faults.js';
import { createTaskEventReporter } from './taskEventReporter.js';
import { listMeasuredRuns } from './measuredRuns.js';
import { latestLeaseEndAfterSend } from './taskLease.js';
import type { WorkerClient } from './workerClient.js';
import { createWorkerPoller } from './workerPoller.js';
import { createWorkerEntry, executionKey, toAttempt } from './workerEntry.js';
import type { Execution, WorkerEntry } from './workerEntry.js';
import { createWorkerReclaim } from './workerReclaim.js';
import { createExecutionTracker } from './executionTracker.js';
import { createReservedCapacity } from './reservedCapacity.js';
import { createWorkerCommands } from './workerCommands.js';
import { createWorkerViews } from './workerViews.js';
import type { WorkerLoad } from './workerViews.js';

export interface WorkerPartitionOptions {
  readonly lease: PartitionLease;
  /** Monotonic time by which the former owner had stopped acting, in milliseconds. */
  readonly formerOwnerStoppedAt: number;
  readonly pool: WorkerPool;
  readonly quarantine: Quarantine;
  readonly client: WorkerClient;
  readonly callPartition: CallPartition;
  readonly clock: Clock;
  readonly random: () => number;
  readonly counters: Counters;
  readonly log: Log;
}

/** Workers of one owned partition. */
export interface WorkerPartition {
  readonly lease: PartitionLease;
  /** @param vms workers of this partition in the current VM list */
  setWorkers(vms: readonly VmRecord[]): void;
  reserve(request: ReserveRequest): readonly Reservation[];
  release(reservationIds: readonly string[]): void;
  /** Holds capacity for work that does not fit yet. @returns number of tasks that capacity is held for */
  hold(request: HoldRequest): number;
  dropHold(workId: string): void;
  /** Stops running tasks to free capacity. @returns number of tasks that capacity will be free for */
  reclaim(request: ReclaimRequest): number;
  /** Starts reserved tasks. A task without a result may have been started. */
  start(starts: readonly ReservedStart[]): Promise<readonly StartResult[]>;
  stop(
    params: PeerMethods['worker.stop']['params'],
  ): Promise<Result<{ affected: readonly TaskAttempt[] }, Failure>>;
  lookup(params: PeerMethods['worker.lookup']['params']): ExecutionState;
  /** Lists the executions of a job partition whose ends are not durable. */
  listMeasuredRuns(jobPartition: number): MeasuredRuns;
  /** Lifts the quarantine of a worker. */
  liftQuarantine(workerId: string): Result<WorkerView, Failure>;
  list(): readonly WorkerView[];
  load(): WorkerLoad;
  close(): void;
}

/** Delays before a worker whose last start failed gets another one. */
const START_RETRY_DELAYS: RetryDelays = { minimumMilliseconds: 1_000, maximumMilliseconds: 10_000 };

/** Creates the partition without workers; each worker that `setWorkers` adds is sealed. */
export function createWorkerPartition(options: WorkerPartitionOptions): WorkerPartition {
  const { lease, pool, quarantine, clock, random, log, callPartition } = options;
  const workers = new Map<string, WorkerEntry>();
  const startHealth = new Map<string, MemberHealth>();
  const reporter = createTaskEventReporter({ lease, clock, random, callPartition, log });
  const latestFormerLeaseEnd = latestLeaseEndAfterSend(options.formerOwnerStoppedAt);
  const now = () => clock.monotonicMilliseconds();
  const reservedCapacity = createReservedCapacity({
    lease,
    pool,
    workers,
    now,
    isSchedulable,
    updateSchedulability,
  });
  const { reservations } = reservedCapacity;
  const views = createWorkerViews({ ...options, partition: lease.partition, workers, now });
  const executionTracker = createExecutionTracker({
    pool,
    now,
    wallClockNow: () => clock.wallMilliseconds(),
    onEnd,
    onLapsedExecutionReported,
    onIncarnationChange: reservedCapacity.releaseReservationsOf,
  });
  const commands = createWorkerCommands({
    ...options,
    workers,
    reservations,
    executionTracker,
    returnToPool: reservedCapacity.returnToPool,
    onSilent: markSilent,
    onStartEnded,
    onStart,
  });
  const workerReclaim = createWorkerReclaim({
    ...options,
    workers,
    commands,
    isSchedulable,
    hold: reservedCapacity.hold,
  });
  const poller = createWorkerPoller({
    ...options,
    executionTracker,
    onSilent: markSilent,
    onWorkerChanged: updateSchedulability,
  });

  function markSilent(worker: WorkerEntry): void {
    if (worker.liveness !== 'live') return;
    worker.liveness = 'silent';
    log.info('worker silent', { workerId: worker.workerId });
    reservedCapacity.releaseReservationsOf(worker);
    updateSchedulability(worker);
  }

  /** A worker that takes no starts has the most room, and its reports do not show that it takes any. */
  function onStartEnded({ workerId }: WorkerEntry, isTaken: boolean): void {
    const health = startHealth.get(workerId);
    if (isTaken) health?.recordAnswer(now());
    else health?.recordFailure(now());
    const worker = workers.get(workerId);
    if (worker) updateSchedulability(worker);
  }

  /** A worker whose last start failed gets one start at a time, after a delay. */
  function mayTakeStart(worker: WorkerEntry): boolean {
    const health = startHealth.get(worker.workerId);
    if (!health?.isSuspect()) return true;
    const isTried =
      reservations.countForWorker(worker.workerId) > 0 ||
      [...worker.executions.values()].some(({ state }) => state === 'starting');
    return health.isRetryDue(now()) && !isTried;
  }

  /** A task on a worker on probation is a probe: no other task is placed there until it has ended. */
  function onStart(worker: WorkerEntry): void {
    poller.useBusyInterval(worker);
    quarantine.recordStart?.(worker.workerId, now());
    if (worker.isOnProbation) updateSchedulability(worker);
  }

  function recordInQuarantine(worker: WorkerEntry, event: TaskEvent['event']): void {
    if (event.kind !== 'finished') return;
    const { end, taskId } = event.finished;
    if (end !== 'succeeded' && end !== 'failed') return;
    const jobId = taskId.slice(0, taskId.lastIndexOf('/'));
    const hasSucceeded = end === 'succeeded';
    const verdict = quarantine.recordEnd(worker.workerId, jobId, hasSucceeded, now());
    if (verdict === 'quarantine-worker') worker.isOnProbation = true;
    else if (hasSucceeded) worker.isOnProbation = false;
  }

  function onEnd(worker: WorkerEntry, event: TaskEvent): void {
    recordInQuarantine(worker, event.event);
    if (event.event.kind === 'lapsed') {
      reporter.report(event, () => {});
      return;
    }
    const attempt = toAttempt(event.event.finished);
    const key = executionKey(attempt);
    worker.unconfirmedEnds.set(key, event);
    reporter.report(event, () => {
      worker.unconfirmedEnds.delete(key);
      worker.endsToAcknowledge.set(key, attempt);
    });
  }

  /** The worker went on after the end of the lease, against the protocol; the task may run elsewhere by now. */
  function onLapsedExecutionReported(worker: WorkerEntry, execution: Execution): void {
    log.error('worker still runs an execution that was declared lapsed; stopping it', {
      workerId: worker.workerId,
      ...execution,
    });
    commands
      .sendTaskCommand(worker, 'stop', [toAttempt(execution)])
      .catch(createFaultHandler(log, 'stopping a lapsed execution failed'));
  }

  function isBusy(worker: WorkerEntry): boolean {
    return worker.executions.size + reservations.countForWorker(worker.workerId) > 0;
  }

  function isSchedulable(worker: WorkerEntry): boolean {
    if (worker.liveness !== 'live' || !worker.isInVmList || worker.vm.state === 'leaving') {
      return false;
    }
    if (quarantine.isQuarantined(worker.workerId, now()) || !mayTakeStart(worker)) return false;
    return !worker.isOnProbation || !isBusy(worker);
  }

  function updateSchedulability(worker: WorkerEntry): void {
    if (worker.liveness === 'unsealed') return;
    pool.setSchedulable(worker.workerId, isSchedulable(worker));
  }

  function addWorker(vm: VmRecord): void {
    const worker = createWorkerEntry(vm, latestFormerLeaseEnd);
    workers.set(vm.id, worker);
    startHealth.set(vm.id, createMemberHealth(START_RETRY_DELAYS));
    poller.add(worker);
  }

  function updateWorker(worker: WorkerEntry, vm: VmRecord | undefined): void {
    worker.isInVmList = vm !== undefined;
    if (vm) worker.vm = vm;
    const isGone = !vm && worker.liveness !== 'live' && worker.executions.size === 0;
    if (isGone && now() > worker.latestLeaseEnd) removeWorker(worker);
    else updateSchedulability(worker);
  }

  function removeWorker(worker: WorkerEntry): void {
    poller.remove(worker);
    reservedCapacity.releaseReservationsOf(worker);
    workers.delete(worker.workerId);
    startHealth.delete(worker.workerId);
    if (worker.incarnation !== null) pool.remove(worker.workerId);
  }

  function setWorkers(vms: readonly VmRecord[]): void {
    const vmById = new Map(vms.map((vm) => [vm.id, vm]));
    [...workers.values()].forEach((worker) => updateWorker(worker, vmById.get(worker.workerId)));
    vms.filter((vm) => !workers.has(vm.id)).forEach(addWorker);
  }

  async function stop(
    params: PeerMethods['worker.stop']['params'],
  ): Promise<Result<{ affected: readonly TaskAttempt[] }, Failure>> {
    const { workerId, mode, tasks } = params;
    const worker = workers.get(workerId);
    if (!worker) return Err(createFailure('unknown-worker', { workerId }));
    const outcome = await commands.sendTaskCommand(worker, mode, tasks);
    if (outcome.isOk()) return Ok({ affected: outcome.value.affected });
    return Err(createFailure('outcome-unknown', { target: workerId, reason: outcome.error.kind }));
  }

  function describeExecution(worker: WorkerEntry, execution: Execution): ExecutionState {
    if (worker.liveness !== 'live' || execution.state !== 'running' || !execution.report) {
      return { kind: 'silent' };
    }
    return { kind: 'running', running: execution.report };
  }

  function describeUnknownExecution(
    worker: WorkerEntry,
    incarnation: string | undefined,
  ): ExecutionState {
    if (worker.liveness !== 'live') {
      return { kind: now() > worker.latestLeaseEnd ? 'lapsed' : 'silent' };
    }
    const isRestarted = incarnation !== undefined && incarnation !== worker.incarnation;
    return { kind: isRestarted ? 'lapsed' : 'absent' };
  }

  function lookup(params: PeerMethods['worker.lookup']['params']): ExecutionState {
    const { workerId, attempt, incarnation, jobPartition, jobEpoch } = params;
    if (jobPartition !== undefined && jobEpoch !== undefined) {
      commands.fenceOlderJobEpochs(jobPartition, jobEpoch);
    }
    // Drops the reservation, so that a start that arrives after this answer is refused.
    reservations.removeForTask(attempt.taskId, workerId).forEach(reservedCapacity.returnToPool);
    const worker = workers.get(workerId);
    if (!worker) return { kind: now() > latestFormerLeaseEnd ? 'lapsed' : 'silent' };
    const key = executionKey(attempt);
    const execution = worker.executions.get(key);
    if (execution) {
      execution.terms ??= params.terms ?? null;
      return describeExecution(worker, execution);
    }
    const ended = worker.unconfirmedEnds.get(key)?.event;
    if (ended?.kind === 'finished') return ended;
    if (worker.lapsedExecutionKeys.has(key)) return { kind: 'lapsed' };
    return describeUnknownExecution(worker, incarnation);
  }

  function liftQuarantine(workerId: string): Result<WorkerView, Failure> {
    const worker = workers.get(workerId);
    if (!worker) return Err(createFailure('unknown-worker', { workerId }));
    const { state } = views.toView(worker);
    // A worker whose probe is due is no longer quarantined, but still gets one task at a time.
    if (state !== 'quarantined' && !worker.isOnProbation) {
      return Err(createFailure('not-quarantined', { workerId, state }));
    }
    quarantine.lift(workerId);
    worker.isOnProbation = false;
    updateSchedulability(worker);
    log.info('quarantine lifted by an operator', { workerId });
    return Ok(views.toView(worker));
  }

  return {
    lease,
    setWorkers,
    reserve: reservedCapacity.reserve,
    release: reservedCapacity.release,
    hold: reservedCapacity.hold,
    dropHold: reservedCapacity.dropHold,
    reclaim: workerReclaim.reclaim,
    start: (reserved) => commands.start(reserved),
    stop,
    lookup,
    list: views.list,
    load() {
      reservedCapacity.removeExpired();
      return views.load();
    },
    liftQuarantine,
    listMeasuredRuns: (jobPartition) => listMeasuredRuns([...workers.values()], jobPartition),
    close() {
      poller.close();
      reporter.close();
    },
  };
}
