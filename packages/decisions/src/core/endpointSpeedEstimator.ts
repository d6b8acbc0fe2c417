/** Part of a usual deviation that an endpoint's slowness takes over. */
const GAIN = 0.15;
/** Part of a deviation that no usual endpoint shows. */
const OUTLIER_GAIN = 0.5;
/** Deviations beyond this, as a logarithm, are outliers: more than two times as slow or as fast. */
const OUTLIER_DEVIATION = 0.9;
/** Largest deviation that one run shows, as a logarithm. */
const MAXIMUM_DEVIATION = 2;
/** Evidence loses two thirds of its weight in this time, so that a recovered endpoint is used again. */
const DECAY_MILLISECONDS = 15_000;

/** A run of a group. */
export interface TimedRun {
  readonly endpointId: string;
  /** Time that it took, in milliseconds. */
  readonly milliseconds: number;
}

/** Learns how slow endpoints are relative to each other. */
export interface EndpointSpeedEstimator {
  /**
   * Learns from runs that are alike. The group has to be complete: the runs that end first are the short ones.
   *
   * @param runs all runs of the group
   * @param now monotonic time, in milliseconds
   */
  recordGroup(runs: readonly TimedRun[], now: number): void;
  /**
   * Learns from a run that is going to take a multiple of the usual time.
   *
   * @param factor time relative to other runs of the group
   * @param now monotonic time, in milliseconds
   */
  recordSlowRun(endpointId: string, factor: number, now: number): void;
  /** @returns time that work takes on an endpoint relative to the others; 1 for the usual */
  slowness(endpointId: string, now: number): number;
  forgetEndpoint(endpointId: string): void;
}

interface SlownessEstimate {
  /** Logarithm of the slowness. */
  logSlowness: number;
  updatedAt: number;
}

/**
 * Creates an estimate without evidence.
 *
 * @returns speeds
 */
export function createEndpointSpeedEstimator(): EndpointSpeedEstimator {
  const estimates = new Map<string, SlownessEstimate>();

  function logSlownessAt(endpointId: string, now: number): number {
    const evidence = estimates.get(endpointId);
    if (!evidence) return 0;
    return evidence.logSlowness * Math.exp((evidence.updatedAt - now) / DECAY_MILLISECONDS);
  }

  function updateEstimate(endpointId: string, difference: number, now: number): void {
    const known = logSlownessAt(endpointId, now);
    const deviation = Math.max(-MAXIMUM_DEVIATION, Math.min(MAXIMUM_DEVIATION, difference));
    const gain = Math.abs(deviation - known) > OUTLIER_DEVIATION ? OUTLIER_GAIN : GAIN;
    estimates.set(endpointId, { logSlowness: known + gain * (deviation - known), updatedAt: now });
  }

  return {
    recordGroup(runs, now) {
      const rows = runs.map(({ endpointId, milliseconds }) => {
        const time = Math.log(Math.max(1, milliseconds));
        return { endpointId, time, corrected: time - logSlownessAt(endpointId, now) };
      });
      const sum = rows.reduce((total, { corrected }) => total + corrected, 0);
      rows.forEach(({ endpointId, time, corrected }) => {
        const others = (sum - corrected) / (rows.length - 1);
        if (rows.length > 1) updateEstimate(endpointId, time - others, now);
      });
    },
    recordSlowRun(endpointId, factor, now) {
      updateEstimate(endpointId, Math.log(Math.max(1, factor)), now);
    },
    slowness: (endpointId, now) => Math.exp(logSlownessAt(endpointId, now)),
    forgetEndpoint(endpointId) {
      estimates.delete(endpointId);
    },
  };
}
