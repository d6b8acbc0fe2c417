import type { Clock } from '../types/clock.js';

/** Resolves after the given time in milliseconds. */
export function sleep(clock: Clock, milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    clock.setTimer(resolve, milliseconds);
  });
}

/** Result of {@link withTimeout} if the limit passed first. */
export const TIMED_OUT = Symbol('timed out');

/**
 * Waits for a promise for a limited time. The operation behind the promise is not cancelled.
 *
 * @param milliseconds limit in milliseconds
 * @returns value of the promise, or {@link TIMED_OUT}
 * @throws the rejection of the promise, as an Error, if it comes before the limit
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
