/**
 * Workers of one owned partition: sealing, capacity, starts, lease renewal and lapses. The owner is the only
 * daemon that sends commands to them.
 */

import { assertInvariant, createFailure, Err, Ok, RESOURCE_DIMENSIONS } from '@chicorybend/common';
import type {
  Clock,
  Counters,
  Failure,
  Log,
  Resources,
  Result,
  StartResult,
  TaskAttempt,
  VmRecord,
} from '@chicorybend/common';
import type { Quarantine, WorkerPool } from '@chicorybend/decisions';
import { v4 as createUuid } from 'uuid';

import type { PartitionLease, PartitionLoad } from '../types/partition.js';
import type {
  ExecutionState,
  PeerMethods,
  Reservation,
  ReservedStart,
  ReserveRequest,
  TaskEvent,
  WorkerView,
} from '../types/peerMethods.js';
import type { CallPartition } from '../utils/partitionCalls.js';

import { createFaultHandler } from '../utils/faults.js';
import { createEndReporter } from './endReporter.js';
import { createReservationTable } from './reservations.js';
import type { HeldReservation } from './reservations.js';
import { lapseAfter } from './taskLease.js';
import type { WorkerClient } from './workerClient.js';
import { createWorkerContacts } from './workerContacts.js';
import { createWorkerEntry, executionKey, toAttempt } from './workerEntry.js';
import type { Execution, WorkerEntry } from './workerEntry.js';
import { createWorkerReports } from './workerReports.js';
import { createWorkerStarts } from './workerStarts.js';

/** Rounding of fractional processors. */
const OVERCOMMIT_TOLERANCE = 1e-6;
/** Looking for expired reservations takes time in proportion to all of them. */
const EXPIRY_INTERVAL_MILLISECONDS = 50;

/** What a worker partition needs. */
export interface WorkerPartitionOptions {
  readonly lease: PartitionLease;
  /** Monotonic time at which the former owner had stopped acting, in milliseconds. */
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

/** What heartbeats tell about the workers of a partition. */
export type WorkerLoad = Required<
  Pick<PartitionLoad, 'partition' | 'freeTotal' | 'freeLargest' | 'runningByTeam' | 'usedByTeam'>
>;

/** Workers of one owned partition. */
export interface WorkerPartition {
  readonly lease: PartitionLease;
  /** Takes over the part of the VM list that belongs to the partition. */
  setWorkers(vms: readonly VmRecord[]): void;
  reserve(request: ReserveRequest): readonly Reservation[];
  release(reservationIds: readonly string[]): void;
  /** Starts reserved tasks. A start without a result may have happened. */
  start(starts: readonly ReservedStart[]): Promise<readonly StartResult[]>;
  stop(
    params: PeerMethods['worker.stop']['params'],
  ): Promise<Result<{ affected: readonly TaskAttempt[] }, Failure>>;
  lookup(params: PeerMethods['worker.lookup']['params']): ExecutionState;
  list(): readonly WorkerView[];
  load(): WorkerLoad;
  close(): void;
}

/**
 * Opens the workers of a partition and begins to seal them.
 *
 * @param options lease and dependencies
 * @returns the partition
 */
export function createWorkerPartition(options: WorkerPartitionOptions): WorkerPartition {
  const { lease, pool, quarantine, clock, random, log, callPartition } = options;
  const workers = new Map<string, WorkerEntry>();
  const reservations = createReservationTable();
  const reporter = createEndReporter({ lease, clock, random, callPartition, log });
  const formerLeasesEndBy = lapseAfter(options.formerOwnerStoppedAt);
  let lastExpiryAt = 0;
  const now = () => clock.monotonicMilliseconds();
  const reports = createWorkerReports({ pool, now, onEnd, onZombie, onIncarnation: freeReserved });
  const starts = createWorkerStarts({
    ...options,
    workers,
    reservations,
    reports,
    releaseReservation,
    onSilent,
    onOccupied: (worker) => contacts.noteBusy(worker),
  });
  const contacts = createWorkerContacts({ ...options, reports, onSilent, onChanged: refresh });

  function releaseReservation(reservation: HeldReservation): void {
    pool.release(reservation.workerId, reservation.resources);
    const worker = workers.get(reservation.workerId);
    if (worker) refresh(worker);
  }

  function freeReserved(worker: WorkerEntry): void {
    reservations.takeOfWorker(worker.workerId).forEach(releaseReservation);
  }

  function onSilent(worker: WorkerEntry): void {
    if (worker.contact !== 'live') return;
    worker.contact = 'silent';
    log.info('worker silent', { workerId: worker.workerId });
    freeReserved(worker);
    refresh(worker);
  }

  function learn(worker: WorkerEntry, event: TaskEvent['event']): void {
    if (event.kind !== 'finished') return;
    const { end, taskId } = event.finished;
    if (end !== 'succeeded' && end !== 'failed') return;
    const jobId = taskId.slice(0, taskId.lastIndexOf('/'));
    const hasSucceeded = end === 'succeeded';
    const verdict = quarantine.recordEnd(worker.workerId, jobId, hasSucceeded, now());
    if (verdict === 'quarantine-worker') worker.isSuspect = true;
    else if (hasSucceeded) worker.isSuspect = false;
  }

  function onEnd(worker: WorkerEntry, event: TaskEvent): void {
    learn(worker, event.event);
    if (event.event.kind === 'lapsed') {
      reporter.report(event, () => {});
      return;
    }
    const attempt = toAttempt(event.event.finished);
    const key = executionKey(attempt);
    worker.unconfirmed.set(key, event);
    reporter.report(event, () => {
      worker.unconfirmed.delete(key);
      worker.confirmed.set(key, attempt);
    });
  }

  /** The worker went on past the lease, against the protocol; the task may run elsewhere by now. */
  function onZombie(worker: WorkerEntry, execution: Execution): void {
    log.error('worker runs a lapsed execution', { workerId: worker.workerId, ...execution });
    starts
      .command(worker, 'stop', [toAttempt(execution)])
      .catch(createFaultHandler(log, 'the stop of a lapsed execution failed'));
  }

  function isBusy(worker: WorkerEntry): boolean {
    return worker.executions.size + reservations.countOfWorker(worker.workerId) > 0;
  }

  function isSchedulable(worker: WorkerEntry): boolean {
    if (worker.contact !== 'live' || !worker.isListed || worker.vm.state === 'leaving') {
      return false;
    }
    if (quarantine.isQuarantined(worker.workerId, now())) return false;
    return !worker.isSuspect || !isBusy(worker);
  }

  function refresh(worker: WorkerEntry): void {
    if (worker.contact === 'unsealed') return;
    pool.setSchedulable(worker.workerId, isSchedulable(worker));
  }

  function addWorker(vm: VmRecord): void {
    const worker = createWorkerEntry(vm, formerLeasesEndBy);
    workers.set(vm.id, worker);
    contacts.add(worker);
  }

  function updateWorker(worker: WorkerEntry, vm: VmRecord | undefined): void {
    worker.isListed = vm !== undefined;
    if (vm) worker.vm = vm;
    const isGone = !vm && worker.contact !== 'live' && worker.executions.size === 0;
    if (isGone && now() > worker.leaseEndsBy) removeWorker(worker);
    else refresh(worker);
  }

  function removeWorker(worker: WorkerEntry): void {
    contacts.remove(worker);
    freeReserved(worker);
    workers.delete(worker.workerId);
    if (worker.incarnation !== null) pool.remove(worker.workerId);
  }

  function setWorkers(vms: readonly VmRecord[]): void {
    const listed = new Map(vms.map((vm) => [vm.id, vm]));
    [...workers.values()].forEach((worker) => updateWorker(worker, listed.get(worker.workerId)));
    vms.filter((vm) => !workers.has(vm.id)).forEach(addWorker);
  }

  function assertRoom(workerId: string): void {
    const free = pool.freeOf(workerId);
    assertInvariant(
      free !== null && RESOURCE_DIMENSIONS.every((name) => free[name] >= -OVERCOMMIT_TOLERANCE),
      'no-overcommit',
      () => `worker ${workerId} has ${JSON.stringify(free)} free`,
    );
  }

  function hold(request: ReserveRequest, taskId: string, workerId: string): Reservation | null {
    const worker = workers.get(workerId);
    if (!worker?.incarnation || !isSchedulable(worker)) return null;
    pool.allocate(workerId, request.resources);
    assertRoom(workerId);
    const reservationId = createUuid();
    const { incarnation } = worker;
    const expiresAt = now() + request.ttlMilliseconds;
    const { resources } = request;
    reservations.add({ reservationId, taskId, workerId, incarnation, resources, expiresAt });
    refresh(worker);
    return {
      reservationId,
      taskId,
      workerId,
      incarnation,
      workerPartition: lease.partition,
      workerEpoch: lease.epoch,
      rack: worker.vm.rack,
    };
  }

  function expireReservations(): void {
    if (now() - lastExpiryAt < EXPIRY_INTERVAL_MILLISECONDS) return;
    lastExpiryAt = now();
    reservations.takeExpired(now()).forEach(releaseReservation);
  }

  function release(reservationIds: readonly string[]): void {
    reservationIds.forEach((id) => {
      const reservation = reservations.take(id);
      if (reservation) releaseReservation(reservation);
    });
  }

  function reserve(request: ReserveRequest): readonly Reservation[] {
    expireReservations();
    const count = request.taskIds.length;
    const chosen = request.isAllOrNothing
      ? (pool.placeAll(request, count) ?? [])
      : pool.placeSome(request, count);
    const held = chosen
      .map((workerId, index) => hold(request, request.taskIds[index] ?? '', workerId))
      .filter((reservation) => reservation !== null);
    if (!request.isAllOrNothing || held.length === count) return held;
    release(held.map(({ reservationId }) => reservationId));
    return [];
  }

  async function stop(
    params: PeerMethods['worker.stop']['params'],
  ): Promise<Result<{ affected: readonly TaskAttempt[] }, Failure>> {
    const { workerId, mode, tasks } = params;
    const worker = workers.get(workerId);
    if (!worker) return Err(createFailure('unknown-worker', { workerId }));
    const outcome = await starts.command(worker, mode, tasks);
    if (outcome.isOk()) return Ok({ affected: outcome.value.affected });
    return Err(createFailure('outcome-unknown', { target: workerId, reason: outcome.error.kind }));
  }

  function lookupExecution(worker: WorkerEntry, execution: Execution): ExecutionState {
    if (worker.contact !== 'live' || execution.state !== 'running' || !execution.report) {
      return { kind: 'silent' };
    }
    return { kind: 'running', running: execution.report };
  }

  function lookupUnknown(worker: WorkerEntry, incarnation: string | undefined): ExecutionState {
    if (worker.contact !== 'live') {
      return { kind: now() > worker.leaseEndsBy ? 'lapsed' : 'silent' };
    }
    const isRestarted = incarnation !== undefined && incarnation !== worker.incarnation;
    return { kind: isRestarted ? 'lapsed' : 'absent' };
  }

  function lookup(params: PeerMethods['worker.lookup']['params']): ExecutionState {
    const { workerId, attempt, incarnation, jobPartition, jobEpoch } = params;
    if (jobPartition !== undefined && jobEpoch !== undefined) {
      starts.noteJobEpoch(jobPartition, jobEpoch);
    }
    // A start that is still on its way must not happen after this answer.
    reservations.takeOfTask(attempt.taskId, workerId).forEach(releaseReservation);
    const worker = workers.get(workerId);
    if (!worker) return { kind: now() > formerLeasesEndBy ? 'lapsed' : 'silent' };
    const key = executionKey(attempt);
    const execution = worker.executions.get(key);
    if (execution) return lookupExecution(worker, execution);
    const ended = worker.unconfirmed.get(key)?.event;
    if (ended?.kind === 'finished') return ended;
    if (worker.lapsed.has(key)) return { kind: 'lapsed' };
    return lookupUnknown(worker, incarnation);
  }

  function stateOf(worker: WorkerEntry): WorkerView['state'] {
    if (worker.contact !== 'live') return worker.contact;
    if (!worker.isListed || worker.vm.state === 'leaving') return 'leaving';
    return quarantine.isQuarantined(worker.workerId, now()) ? 'quarantined' : 'live';
  }

  function viewWorker(worker: WorkerEntry): WorkerView {
    const { workerId, capacity, executions } = worker;
    const none: Resources = { processors: 0, memoryBytes: 0, accelerators: 0 };
    const free = worker.contact === 'live' ? (pool.freeOf(workerId) ?? none) : none;
    const state = stateOf(worker);
    const { partition } = lease;
    return { workerId, partition, state, capacity, free, runningTasks: executions.size };
  }

  function load(): WorkerLoad {
    expireReservations();
    const { freeTotal, freeLargest } = pool.totals();
    const runningByTeam: Record<string, number> = {};
    const usedByTeam: WorkerLoad['usedByTeam'] & Record<string, Resources> = {};
    workers.forEach(({ executions }) => {
      executions.forEach(({ team, resources }) => {
        const used = usedByTeam[team] ?? { processors: 0, memoryBytes: 0, accelerators: 0 };
        runningByTeam[team] = (runningByTeam[team] ?? 0) + 1;
        usedByTeam[team] = {
          processors: used.processors + resources.processors,
          memoryBytes: used.memoryBytes + resources.memoryBytes,
          accelerators: used.accelerators + resources.accelerators,
        };
      });
    });
    return { partition: lease.partition, freeTotal, freeLargest, runningByTeam, usedByTeam };
  }

  return {
    lease,
    setWorkers,
    reserve,
    release,
    start: (reserved) => starts.start(reserved),
    stop,
    lookup,
    list: () => [...workers.values()].map(viewWorker),
    load,
    close() {
      contacts.close();
      reporter.close();
    },
  };
}
