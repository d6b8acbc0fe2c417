/**
 * Workers of one owned partition: sealing, capacity, starts, lease renewal and lapses. The owner is the only
 * daemon that sends commands to them.
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
import type { Quarantine, WorkerPool } from '@chicorybend/decisions';

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
import { createEndReporter } from './endReporter.js';
import { measureRuns } from './measuredRuns.js';
import { latestLeaseEndAfterSend } from './taskLease.js';
import type { WorkerClient } from './workerClient.js';
import { createWorkerContacts } from './workerContacts.js';
import { createWorkerEntry, executionKey, toAttempt } from './workerEntry.js';
import type { Execution, WorkerEntry } from './workerEntry.js';
import { createWorkerReclaim } from './workerReclaim.js';
import { createWorkerReports } from './workerReports.js';
import { createWorkerRoom } from './workerRoom.js';
import { createWorkerStarts } from './workerStarts.js';
import { createWorkerViews } from './workerViews.js';
import type { WorkerLoad } from './workerViews.js';

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

/** Workers of one owned partition. */
export interface WorkerPartition {
  readonly lease: PartitionLease;
  /** Takes over the part of the VM list that belongs to the partition. */
  setWorkers(vms: readonly VmRecord[]): void;
  reserve(request: ReserveRequest): readonly Reservation[];
  release(reservationIds: readonly string[]): void;
  /** Keeps room for work that does not fit yet. @returns tasks that room is held for */
  hold(request: HoldRequest): number;
  dropHold(workId: string): void;
  /** Takes room back from running tasks. @returns tasks that room will become free for */
  reclaim(request: ReclaimRequest): number;
  /** Starts reserved tasks. A start without a result may have happened. */
  start(starts: readonly ReservedStart[]): Promise<readonly StartResult[]>;
  stop(
    params: PeerMethods['worker.stop']['params'],
  ): Promise<Result<{ affected: readonly TaskAttempt[] }, Failure>>;
  lookup(params: PeerMethods['worker.lookup']['params']): ExecutionState;
  /** Lists the executions of a job partition whose ends are not durable. */
  measureRuns(jobPartition: number): MeasuredRuns;
  /** Lifts the quarantine of a worker. */
  lift(workerId: string): Result<WorkerView, Failure>;
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
  const reporter = createEndReporter({ lease, clock, random, callPartition, log });
  const formerLeasesEndBy = latestLeaseEndAfterSend(options.formerOwnerStoppedAt);
  const now = () => clock.monotonicMilliseconds();
  const room = createWorkerRoom({ lease, pool, workers, now, isSchedulable, refresh });
  const { reservations } = room;
  const views = createWorkerViews({ ...options, partition: lease.partition, workers, now });
  const reports = createWorkerReports({
    pool,
    now,
    wallNow: () => clock.wallMilliseconds(),
    onEnd,
    onZombie,
    onIncarnation: room.freeReserved,
  });
  const starts = createWorkerStarts({
    ...options,
    workers,
    reservations,
    reports,
    releaseReservation: room.giveBack,
    onSilent,
    onStart: noteStart,
  });
  const reclaim = createWorkerReclaim({
    ...options,
    workers,
    starts,
    isSchedulable,
    hold: room.hold,
  });
  const contacts = createWorkerContacts({ ...options, reports, onSilent, onChanged: refresh });

  function onSilent(worker: WorkerEntry): void {
    if (worker.contact !== 'live') return;
    worker.contact = 'silent';
    log.info('worker silent', { workerId: worker.workerId });
    room.freeReserved(worker);
    refresh(worker);
  }

  /** On a quarantined worker the task is a probe, and no other one follows until it has ended. */
  function noteStart(worker: WorkerEntry): void {
    contacts.noteBusy(worker);
    quarantine.recordStart?.(worker.workerId, now());
    if (worker.isSuspect) refresh(worker);
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
    room.freeReserved(worker);
    workers.delete(worker.workerId);
    if (worker.incarnation !== null) pool.remove(worker.workerId);
  }

  function setWorkers(vms: readonly VmRecord[]): void {
    const listed = new Map(vms.map((vm) => [vm.id, vm]));
    [...workers.values()].forEach((worker) => updateWorker(worker, listed.get(worker.workerId)));
    vms.filter((vm) => !workers.has(vm.id)).forEach(addWorker);
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
    reservations.takeOfTask(attempt.taskId, workerId).forEach(room.giveBack);
    const worker = workers.get(workerId);
    if (!worker) return { kind: now() > formerLeasesEndBy ? 'lapsed' : 'silent' };
    const key = executionKey(attempt);
    const execution = worker.executions.get(key);
    if (execution) {
      execution.terms ??= params.terms ?? null;
      return lookupExecution(worker, execution);
    }
    const ended = worker.unconfirmed.get(key)?.event;
    if (ended?.kind === 'finished') return ended;
    if (worker.lapsed.has(key)) return { kind: 'lapsed' };
    return lookupUnknown(worker, incarnation);
  }

  function lift(workerId: string): Result<WorkerView, Failure> {
    const worker = workers.get(workerId);
    if (!worker) return Err(createFailure('unknown-worker', { workerId }));
    const { state } = views.view(worker);
    // A worker whose probe is due is not quarantined, but gets one task at a time.
    if (state !== 'quarantined' && !worker.isSuspect) {
      return Err(createFailure('not-quarantined', { workerId, state }));
    }
    quarantine.lift(workerId);
    worker.isSuspect = false;
    refresh(worker);
    log.info('quarantine lifted by an operator', { workerId });
    return Ok(views.view(worker));
  }

  return {
    lease,
    setWorkers,
    reserve: room.reserve,
    release: room.release,
    hold: room.hold,
    dropHold: room.dropHold,
    reclaim: reclaim.reclaim,
    start: (reserved) => starts.start(reserved),
    stop,
    lookup,
    list: views.list,
    load() {
      room.expire();
      return views.load();
    },
    lift,
    measureRuns: (jobPartition) => measureRuns([...workers.values()], jobPartition),
    close() {
      contacts.close();
      reporter.close();
    },
  };
}
