/** Bounds retries to a fraction of the first attempts, so that retries cannot multiply an overload. */
export interface RetryBudget {
  /** Records one first attempt. */
  recordAttempt(): void;
  /** @returns whether one retry may be made; it is then charged */
  takeRetry(): boolean;
}

/**
 * Creates a retry budget as a token bucket that attempts fill and retries empty.
 *
 * @param ratio retries allowed per attempt, for example 0.1
 * @param burst retries that may be saved up
 * @returns the budget
 */
export function createRetryBudget(ratio: number, burst: number): RetryBudget {
  let tokens = burst;
  return {
    recordAttempt() {
      tokens = Math.min(burst, tokens + ratio);
    },
    takeRetry() {
      if (tokens < 1) return false;
      tokens -= 1;
      return true;
    },
  };
}
