/**
 * Capacity on workers that is reserved for tasks about to start. Reservations are not durable: the next owner of
 * the partition does not know them and refuses their starts.
 */
import type { Resources } from '@chicorybend/common';

/** Capacity reserved for one task on one worker. */
export interface ActiveReservation {
  readonly reservationId: string;
  readonly taskId: string;
  readonly workerId: string;
  /** Process of the worker that the reservation is for. */
  readonly incarnation: string;
  readonly resources: Resources;
  /** Monotonic time in milliseconds. */
  readonly expiresAt: number;
}

/** Reservations of one worker partition. The removing methods return what they removed. */
export interface ReservationTable {
  add(reservation: ActiveReservation): void;
  get(reservationId: string): ActiveReservation | undefined;
  remove(reservationId: string): ActiveReservation | undefined;
  removeForTask(taskId: string, workerId: string): readonly ActiveReservation[];
  removeForWorker(workerId: string): readonly ActiveReservation[];
  /** @param now monotonic time in milliseconds */
  removeExpired(now: number): readonly ActiveReservation[];
  countForWorker(workerId: string): number;
  size(): number;
}

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
    remove,
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
