/**
 * Room on the workers of one partition that is kept for tasks: reservations for tasks about to be started, and
 * holds for work that does not fit yet. Neither is durable; both expire, because their askers may die.
 */
import { assertInvariant, RESOURCE_DIMENSIONS } from '@chicorybend/common';
import type { WorkerPool } from '@chicorybend/decisions';
import { v4 as createUuid } from 'uuid';

import type { PartitionLease } from '../types/partition.js';
import type { HoldRequest, Reservation, ReserveRequest } from '../types/peerMethods.js';

import { createReservationTable } from './reservations.js';
import type { ActiveReservation, ReservationTable } from './reservations.js';
import type { WorkerEntry } from './workerEntry.js';

/** Rounding of fractional processors. */
const OVERCOMMIT_TOLERANCE = 1e-6;
/** Looking for expired reservations takes time in proportion to all of them. */
const EXPIRY_INTERVAL_MILLISECONDS = 50;

/** What the room needs. */
export interface ReservedCapacityOptions {
  readonly lease: PartitionLease;
  readonly pool: WorkerPool;
  readonly workers: ReadonlyMap<string, WorkerEntry>;
  /** Monotonic time in milliseconds. */
  readonly now: () => number;
  readonly isSchedulable: (worker: WorkerEntry) => boolean;
  /** Takes notice of a worker whose reservations changed. */
  readonly updateSchedulability: (worker: WorkerEntry) => void;
}

/** Room that is kept on the workers of one partition. */
export interface ReservedCapacity {
  readonly reservations: ReservationTable;
  /** @returns reservations for the tasks that fit, or for all or none */
  reserve(request: ReserveRequest): readonly Reservation[];
  release(reservationIds: readonly string[]): void;
  /** Gives back what a reservation that was taken out of the table was charged. */
  returnToPool(reservation: ActiveReservation): void;
  /** Ends all reservations on a worker. */
  releaseReservationsOf(worker: WorkerEntry): void;
  /** Keeps room until the request expires or is repeated. @returns tasks that room is held for */
  hold(request: HoldRequest): number;
  dropHold(workId: string): void;
  /** Ends what has expired. */
  removeExpired(): void;
}

/** Room that is kept for one piece of work, in monotonic milliseconds. */
interface Hold {
  readonly waitingSince: number;
  readonly expiresAt: number;
}

/**
 * Creates the room of a partition, with nothing kept.
 *
 * @param options pool and workers
 * @returns the room
 */
export function createReservedCapacity(options: ReservedCapacityOptions): ReservedCapacity {
  const {
    lease,
    pool,
    workers,
    now,
    isSchedulable,
    updateSchedulability: updateSchedulability,
  } = options;
  const reservations = createReservationTable();
  const holds = new Map<string, Hold>();
  let lastExpiryAt = 0;

  function returnToPool(reservation: ActiveReservation): void {
    pool.release(reservation.workerId, reservation.resources);
    const worker = workers.get(reservation.workerId);
    if (worker) updateSchedulability(worker);
  }

  function assertNoOvercommit(workerId: string): void {
    const free = pool.freeOf(workerId);
    assertInvariant(
      free !== null && RESOURCE_DIMENSIONS.every((name) => free[name] >= -OVERCOMMIT_TOLERANCE),
      'no-overcommit',
      () => `worker ${workerId} has ${JSON.stringify(free)} free`,
    );
  }

  function reserveOnWorker(
    request: ReserveRequest,
    taskId: string,
    workerId: string,
  ): Reservation | null {
    const worker = workers.get(workerId);
    if (!worker?.incarnation || !isSchedulable(worker)) return null;
    pool.allocate(workerId, request.resources);
    assertNoOvercommit(workerId);
    const reservationId = createUuid();
    const { incarnation } = worker;
    const expiresAt = now() + request.ttlMilliseconds;
    const { resources } = request;
    reservations.add({ reservationId, taskId, workerId, incarnation, resources, expiresAt });
    updateSchedulability(worker);
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

  function dropHold(workId: string): void {
    if (holds.delete(workId)) pool.dropHold?.(workId);
  }

  function removeExpired(): void {
    if (now() - lastExpiryAt < EXPIRY_INTERVAL_MILLISECONDS) return;
    lastExpiryAt = now();
    reservations.removeExpired(now()).forEach(returnToPool);
    holds.forEach(({ expiresAt }, workId) => {
      if (expiresAt <= now()) dropHold(workId);
    });
  }

  function release(reservationIds: readonly string[]): void {
    reservationIds.forEach((id) => {
      const reservation = reservations.remove(id);
      if (reservation) returnToPool(reservation);
    });
  }

  function reserve(request: ReserveRequest): readonly Reservation[] {
    removeExpired();
    const count = request.taskIds.length;
    const workerIds = request.isAllOrNothing
      ? (pool.placeAll(request, count) ?? [])
      : pool.placeSome(request, count);
    const reserved = workerIds
      .map((workerId, index) => reserveOnWorker(request, request.taskIds[index] ?? '', workerId))
      .filter((reservation) => reservation !== null);
    if (!request.isAllOrNothing || reserved.length === count) return reserved;
    release(reserved.map(({ reservationId }) => reservationId));
    return [];
  }

  function findYoungestHold(waitingSince: number): string | null {
    const youngerHolds = [...holds]
      .filter(([, other]) => other.waitingSince > waitingSince)
      .sort(([, left], [, right]) => right.waitingSince - left.waitingSince);
    return youngerHolds[0]?.[0] ?? null;
  }

  /** The oldest work goes first, so that holds of small work cannot keep a gang out in turns. */
  function hold(request: HoldRequest): number {
    removeExpired();
    const { workId, resources, avoidWorkers, count, ttlMilliseconds } = request;
    const waitingSince = now() - request.waitedMilliseconds;
    holds.delete(workId);
    const holdSome = (): number =>
      pool.holdSome?.(workId, { resources, avoidRacks: [], avoidWorkers }, count) ?? 0;
    let heldCount = holdSome();
    let youngestWorkId = findYoungestHold(waitingSince);
    while (heldCount < count && youngestWorkId !== null) {
      dropHold(youngestWorkId);
      heldCount = holdSome();
      youngestWorkId = findYoungestHold(waitingSince);
    }
    if (heldCount > 0)
      holds.set(workId, { waitingSince: waitingSince, expiresAt: now() + ttlMilliseconds });
    return heldCount;
  }

  return {
    reservations,
    reserve,
    release,
    returnToPool: returnToPool,
    releaseReservationsOf: (worker) =>
      reservations.removeForWorker(worker.workerId).forEach(returnToPool),
    hold,
    dropHold,
    removeExpired: removeExpired,
  };
}
