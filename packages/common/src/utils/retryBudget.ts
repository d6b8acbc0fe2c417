/** Limits retries to a fraction of the first attempts, so that retries cannot amplify an overload. */
export interface RetryBudget {
  /** Records one first attempt. */
  recordAttempt(): void;
  /** @returns whether a retry is allowed; if so, it is deducted from the budget */
  takeRetry(): boolean;
}

/**
 * Creates a retry budget: a token bucket that starts full, gains tokens with each first attempt and loses one with
 * each retry.
 *
 * @param ratio retries allowed per first attempt, for example 0.1
 * @param burst maximum number of retries that can accumulate
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
