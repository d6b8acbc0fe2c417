/** Cancels a timer that was set through a {@link Clock}. */
export type CancelTimer = () => void;

/**
 * Source of time. Passed in everywhere, so that tests can control it.
 */
export interface Clock {
  /** @returns wall-clock time in milliseconds since the Unix epoch */
  wallMilliseconds(): number;

  /** @returns time in milliseconds from an arbitrary origin; it never goes back */
  monotonicMilliseconds(): number;

  /**
   * Calls a function once, later.
   *
   * @param callback function to call
   * @param delayMilliseconds delay in milliseconds
   * @returns function that cancels the call
   */
  setTimer(callback: () => void, delayMilliseconds: number): CancelTimer;
}
