/**
 * Room on workers that is kept for tasks about to be started. Not durable: reservations of a former owner
 * are unknown to the next one, which refuses their starts.
 */
import type { Resources } from '@chicorybend/common';

/** Room kept for one task. */
export interface HeldReservation {
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
  add(reservation: HeldReservation): void;
  get(reservationId: string): HeldReservation | undefined;
  /** Takes a reservation out. */
  take(reservationId: string): HeldReservation | undefined;
  /** Takes out what is reserved for a task on a worker. */
  takeOfTask(taskId: string, workerId: string): readonly HeldReservation[];
  /** Takes out all reservations on a worker. */
  takeOfWorker(workerId: string): readonly HeldReservation[];
  /** Takes out reservations that have expired. */
  takeExpired(now: number): readonly HeldReservation[];
  countOfWorker(workerId: string): number;
  size(): number;
}

/**
 * Creates an empty table.
 *
 * @returns the table
 */
export function createReservationTable(): ReservationTable {
  const byId = new Map<string, HeldReservation>();
  const byWorker = new Map<string, Set<HeldReservation>>();

  function take(reservationId: string): HeldReservation | undefined {
    const reservation = byId.get(reservationId);
    if (!reservation) return undefined;
    byId.delete(reservationId);
    byWorker.get(reservation.workerId)?.delete(reservation);
    return reservation;
  }

  function takeAll(chosen: readonly HeldReservation[]): readonly HeldReservation[] {
    chosen.forEach((reservation) => take(reservation.reservationId));
    return chosen;
  }

  return {
    add(reservation) {
      byId.set(reservation.reservationId, reservation);
      const own = byWorker.get(reservation.workerId) ?? new Set();
      own.add(reservation);
      byWorker.set(reservation.workerId, own);
    },
    get: (reservationId) => byId.get(reservationId),
    take,
    takeOfTask(taskId, workerId) {
      const own = [...(byWorker.get(workerId) ?? [])];
      return takeAll(own.filter((reservation) => reservation.taskId === taskId));
    },
    takeOfWorker: (workerId) => takeAll([...(byWorker.get(workerId) ?? [])]),
    takeExpired: (now) =>
      takeAll([...byId.values()].filter((reservation) => reservation.expiresAt <= now)),
    countOfWorker: (workerId) => byWorker.get(workerId)?.size ?? 0,
    size: () => byId.size,
  };
}
