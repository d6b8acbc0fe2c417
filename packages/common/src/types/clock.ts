/** Cancels a timer that was set through a {@link Clock}. */
export type CancelTimer = () => void;

/** Source of time. It is always passed in, so that tests can control it. */
export interface Clock {
  /** @returns wall-clock time in milliseconds since the Unix epoch */
  wallMilliseconds(): number;

  /** @returns time in milliseconds since an arbitrary origin; never decreases */
  monotonicMilliseconds(): number;

  /**
   * Calls a function once after a delay.
   *
   * @returns function that cancels the timer
   */
  setTimer(callback: () => void, delayMilliseconds: number): CancelTimer;
}
