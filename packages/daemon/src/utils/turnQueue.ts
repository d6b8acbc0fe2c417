import type { CancelTimer, Clock } from '@chicorybend/common';

/** A turn ends after this time, even if fewer callbacks have run than a turn may run. */
const MAXIMUM_TURN_MILLISECONDS = 5;

/** Runs callbacks in small groups, so that a large number of them does not block the event loop. */
export interface TurnQueue {
  /** Adds a callback, which runs in a later turn of the event loop. */
  push(callback: () => void): void;
  /** @returns number of callbacks that wait */
  size(): number;
  /** Discards the callbacks that wait. */
  clear(): void;
}

/**
 * @param clock timers and time of the turns
 * @param callbacksPerTurn maximum number of callbacks that run in one turn
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
