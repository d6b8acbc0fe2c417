import type { Clock } from '../types/clock.js';

/**
 * Waits.
 *
 * @param clock source of time
 * @param milliseconds how long to wait, in milliseconds
 * @returns promise that resolves after the wait
 */
export function sleep(clock: Clock, milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    clock.setTimer(resolve, milliseconds);
  });
}

/** Marks the loser in {@link withTimeout}. */
export const TIMED_OUT = Symbol('timed out');

/**
 * Waits for a promise for a limited time. The promise itself is not cancelled.
 *
 * @param clock source of time
 * @param promise what to wait for
 * @param milliseconds limit in milliseconds
 * @returns value of the promise, or {@link TIMED_OUT}
 */
export function withTimeout<Value>(
  clock: Clock,
  promise: Promise<Value>,
  milliseconds: number,
): Promise<Value | typeof TIMED_OUT> {
  return new Promise((resolve, reject) => {
    const cancel = clock.setTimer(() => resolve(TIMED_OUT), milliseconds);
    promise.then(
      (value) => {
        cancel();
        resolve(value);
      },
      (error: unknown) => {
        cancel();
        reject(error instanceof Error ? error : new Error(String(error)));
      },
    );
  });
}
