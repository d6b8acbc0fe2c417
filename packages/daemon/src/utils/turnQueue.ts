import type { CancelTimer, Clock } from '@chicorybend/common';

/** A turn ends after this time, even with less than its number of pieces done. */
const MAXIMUM_TURN_MILLISECONDS = 5;

/** Work that is done in small parts, so that a wave of it does not hold up the event loop. */
export interface TurnQueue {
  /** Adds a piece of work; it is done in a later turn. */
  push(callback: () => void): void;
  /** @returns pieces that wait */
  size(): number;
  /** Drops what waits. */
  clear(): void;
}

/**
 * Creates a queue of work that does a bounded number of pieces per turn of the event loop.
 *
 * @param clock source of turns
 * @param perTurn pieces per turn
 * @returns the queue
 */
export function createTurnQueue(clock: Clock, callbacksPerTurn: number): TurnQueue {
  let callbacks: (() => void)[] = [];
  let next = 0;
  let cancelTimer: CancelTimer | null = null;

  function schedule(): void {
    cancelTimer ??= clock.setTimer(runTurn, 0);
  }

  function runTurn(): void {
    cancelTimer = null;
    const until = Math.min(callbacks.length, next + callbacksPerTurn);
    const endsAt = clock.monotonicMilliseconds() + MAXIMUM_TURN_MILLISECONDS;
    while (next < until && clock.monotonicMilliseconds() <= endsAt) {
      const callback = callbacks[next];
      next += 1;
      callback?.();
    }
    if (next < callbacks.length) schedule();
    else clear();
  }

  function clear(): void {
    callbacks = [];
    next = 0;
    cancelTimer?.();
    cancelTimer = null;
  }

  return {
    push(callback) {
      callbacks.push(callback);
      schedule();
    },
    size: () => callbacks.length - next,
    clear,
  };
}
