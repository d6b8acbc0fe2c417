/** Limits of an exponential backoff. */
export interface BackoffLimits {
  /** Upper bound of the first delay in milliseconds. */
  readonly firstMilliseconds: number;
  /** Upper bound of any delay in milliseconds. */
  readonly maximumMilliseconds: number;
}

/**
 * Computes a delay with full jitter, so that clients that failed together do not retry together.
 *
 * @param limits bounds of the delay
 * @param attempt number of failed attempts so far, from 0
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
