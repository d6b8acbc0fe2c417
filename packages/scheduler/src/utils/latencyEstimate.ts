/** Weight of a new sample in the exponentially smoothed latency. */
const SMOOTHING_FACTOR = 0.2;
/** A call times out after this multiple of the smoothed latency. */
const TIMEOUT_FACTOR = 4;

/** Bounds of a timeout, in milliseconds. */
export interface TimeoutBounds {
  readonly minimumMilliseconds: number;
  readonly maximumMilliseconds: number;
}

/** Adaptive timeout, derived from the smoothed latency of the calls. */
export interface LatencyEstimate {
  /** @returns timeout of the next call, in milliseconds */
  timeoutMilliseconds(): number;
  recordAnswer(latencyMilliseconds: number): void;
  /** Doubles the timeout, so that calls to a slow peer do not time out for ever. */
  recordTimeout(): void;
}

/**
 * Creates an estimate without samples; the timeout starts at its minimum.
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
