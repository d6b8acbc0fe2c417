/** Limits of an exponential backoff. */
export interface BackoffLimits {
  /** Upper bound of the first delay in milliseconds. */
  readonly firstMilliseconds: number;
  /** Upper bound of any delay in milliseconds. */
  readonly maximumMilliseconds: number;
}

/**
 * Computes a delay of 50 to 100 % of the exponential bound. The jitter keeps clients that failed at the same time
 * from retrying at the same time.
 *
 * @param attempt index of the retry, starting at 0
 * @param random source of random numbers in [0, 1)
 * @returns delay in milliseconds
 */
export function computeBackoff(
  limits: BackoffLimits,
  attempt: number,
  random: () => number,
): number {
  const bound = Math.min(limits.maximumMilliseconds, limits.firstMilliseconds * 2 ** attempt);
  return bound * (0.5 + 0.5 * random());
}
