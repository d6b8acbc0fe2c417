/** Part of the difference to the last sample that the smoothed latency takes over. */
const SMOOTHING_FACTOR = 0.2;
/** A call that takes this many times the smoothed latency is given up. */
const TIMEOUT_FACTOR = 4;

/** Bounds of a timeout, in milliseconds. */
export interface TimeoutBounds {
  readonly minimumMilliseconds: number;
  readonly maximumMilliseconds: number;
}

/** Timeout that follows the latency of the calls. */
export interface LatencyEstimate {
  /** @returns timeout for the next call, in milliseconds */
  timeoutMilliseconds(): number;
  recordAnswer(latencyMilliseconds: number): void;
  /** Doubles the timeout, so that a slow peer is not timed out for ever. */
  recordTimeout(): void;
}

/**
 * Creates an estimate from no samples; the timeout starts at the minimum.
 *
 * @param bounds bounds of the timeout
 * @returns estimate
 */
export function createLatencyEstimate(bounds: TimeoutBounds): LatencyEstimate {
  const { minimumMilliseconds, maximumMilliseconds } = bounds;
  let smoothed = minimumMilliseconds / TIMEOUT_FACTOR;
  function clamp(value: number): number {
    return Math.min(maximumMilliseconds, Math.max(minimumMilliseconds, value));
  }
  return {
    timeoutMilliseconds: () => clamp(TIMEOUT_FACTOR * smoothed),
    recordAnswer(latencyMilliseconds) {
      smoothed += SMOOTHING_FACTOR * (latencyMilliseconds - smoothed);
    },
    recordTimeout() {
      smoothed = Math.min(maximumMilliseconds, smoothed * 2);
    },
  };
}
