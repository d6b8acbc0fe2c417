/** Duration of the first reservation of a step, in milliseconds; outlasts most of the work in its way. */
const FIRST_WINDOW_MILLISECONDS = 10_000;
/** Maximum duration of a reservation, in milliseconds, and so of the time for which it keeps other work waiting. */
const MAXIMUM_WINDOW_MILLISECONDS = 20_000;
/** Time between two reservations, in milliseconds, in which other work starts; covers a round and a call for advice. */
const PAUSE_MILLISECONDS = 1_000;

/**
 * What a step that waits may reserve:
 *
 * - `nothing`: other work has its turn
 * - `tasks`: the room of its tasks, as far as there is any
 * - `endpoints`: whole endpoints, on which other work would fill what the tasks leave
 */
export type ReservationScope = 'nothing' | 'tasks' | 'endpoints';

interface Window {
  readonly milliseconds: number;
  readonly endsAt: number;
}

/**
 * Limits how long a step that cannot start keeps room from other work. Each reservation lasts twice as long as the one
 * before, so that it outlasts the work in its way at some point, and other work gets its turn between them.
 */
export interface ReservationWindows {
  /**
   * @param stepId step that would reserve room now
   * @param now current time, in monotonic milliseconds
   * @returns what it may reserve; whole endpoints only if the first reservation did not suffice
   */
  scopeOf(stepId: string, now: number): ReservationScope;
  /** The step has started, so that it begins anew if it waits again. */
  forget(stepId: string): void;
}

/** Creates the windows of all steps. */
export function createReservationWindows(): ReservationWindows {
  const windows = new Map<string, Window>();

  function forgetAbandoned(now: number): void {
    windows.forEach(({ endsAt }, stepId) => {
      if (now - endsAt > MAXIMUM_WINDOW_MILLISECONDS) windows.delete(stepId);
    });
  }

  function openWindow(stepId: string, milliseconds: number, now: number): void {
    windows.set(stepId, { milliseconds, endsAt: now + milliseconds });
  }

  return {
    scopeOf(stepId, now) {
      const last = windows.get(stepId);
      if (!last) {
        forgetAbandoned(now);
        openWindow(stepId, FIRST_WINDOW_MILLISECONDS, now);
        return 'tasks';
      }
      if (now < last.endsAt) {
        return last.milliseconds === FIRST_WINDOW_MILLISECONDS ? 'tasks' : 'endpoints';
      }
      if (now < last.endsAt + PAUSE_MILLISECONDS) return 'nothing';
      openWindow(stepId, Math.min(2 * last.milliseconds, MAXIMUM_WINDOW_MILLISECONDS), now);
      return 'endpoints';
    },
    forget(stepId) {
      windows.delete(stepId);
    },
  };
}
