import type { Clock } from '../types/clock.js';

/** Clock that moves only when told to. For tests and for simulations of one module. */
export interface ManualClock extends Clock {
  /**
   * Moves time forward and fires the timers that fall due, in order.
   *
   * @param milliseconds how far to move, in milliseconds
   */
  advance(milliseconds: number): void;
}

interface PendingTimer {
  readonly dueAt: number;
  readonly callback: () => void;
}

/**
 * Creates a clock that moves only when told to.
 *
 * @param startWallMilliseconds wall-clock time at the start, in milliseconds since the Unix epoch
 * @returns the clock
 */
export function createManualClock(startWallMilliseconds = 1_700_000_000_000): ManualClock {
  let elapsed = 0;
  const timers = new Set<PendingTimer>();

  function findEarliestTimer(limit: number): PendingTimer | undefined {
    let earliest: PendingTimer | undefined;
    timers.forEach((timer) => {
      if (timer.dueAt <= limit && (!earliest || timer.dueAt < earliest.dueAt)) earliest = timer;
    });
    return earliest;
  }

  return {
    wallMilliseconds: () => startWallMilliseconds + elapsed,
    monotonicMilliseconds: () => elapsed,
    setTimer(callback, delayMilliseconds) {
      const timer = { dueAt: elapsed + Math.max(0, delayMilliseconds), callback };
      timers.add(timer);
      return () => {
        timers.delete(timer);
      };
    },
    advance(milliseconds) {
      const limit = elapsed + milliseconds;
      for (let timer = findEarliestTimer(limit); timer; timer = findEarliestTimer(limit)) {
        timers.delete(timer);
        elapsed = Math.max(elapsed, timer.dueAt);
        timer.callback();
      }
      elapsed = limit;
    },
  };
}
