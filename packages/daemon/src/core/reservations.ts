/**
 * Room on workers that is kept for tasks about to be started. Not durable: reservations of a former owner
 * are unknown to the next one, which refuses their starts.
 */
import type { Resources } from '@chicorybend/common';

/** Room kept for one task. */
export interface ActiveReservation {
  readonly reservationId: string;
  readonly taskId: string;
  readonly workerId: string;
  readonly incarnation: string;
  readonly resources: Resources;
  /** Monotonic time in milliseconds. */
  readonly expiresAt: number;
}

/** Reservations of one worker partition. */
export interface ReservationTable {
  add(reservation: ActiveReservation): void;
  get(reservationId: string): ActiveReservation | undefined;
  /** Takes a reservation out. */
  remove(reservationId: string): ActiveReservation | undefined;
  /** Takes out what is reserved for a task on a worker. */
  removeForTask(taskId: string, workerId: string): readonly ActiveReservation[];
  /** Takes out all reservations on a worker. */
  removeForWorker(workerId: string): readonly ActiveReservation[];
  /** Takes out reservations that have expired. */
  removeExpired(now: number): readonly ActiveReservation[];
  countForWorker(workerId: string): number;
  size(): number;
}

/**
 * Creates an empty table.
 *
 * @returns the table
 */
export function createReservationTable(): ReservationTable {
  const byId = new Map<string, ActiveReservation>();
  const byWorker = new Map<string, Set<ActiveReservation>>();

  function remove(reservationId: string): ActiveReservation | undefined {
    const reservation = byId.get(reservationId);
    if (!reservation) return undefined;
    byId.delete(reservationId);
    byWorker.get(reservation.workerId)?.delete(reservation);
    return reservation;
  }

  function removeAll(reservations: readonly ActiveReservation[]): readonly ActiveReservation[] {
    reservations.forEach((reservation) => remove(reservation.reservationId));
    return reservations;
  }

  return {
    add(reservation) {
      byId.set(reservation.reservationId, reservation);
      const onWorker = byWorker.get(reservation.workerId) ?? new Set();
      onWorker.add(reservation);
      byWorker.set(reservation.workerId, onWorker);
    },
    get: (reservationId) => byId.get(reservationId),
    remove: remove,
    removeForTask(taskId, workerId) {
      const onWorker = [...(byWorker.get(workerId) ?? [])];
      return removeAll(onWorker.filter((reservation) => reservation.taskId === taskId));
    },
    removeForWorker: (workerId) => removeAll([...(byWorker.get(workerId) ?? [])]),
    removeExpired: (now) =>
      removeAll([...byId.values()].filter((reservation) => reservation.expiresAt <= now)),
    countForWorker: (workerId) => byWorker.get(workerId)?.size ?? 0,
    size: () => byId.size,
  };
}
