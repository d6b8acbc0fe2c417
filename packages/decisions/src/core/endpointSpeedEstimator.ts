/** Fraction of the difference between a measurement and the estimate by which the estimate moves. */
const GAIN = 0.15;
/** The same for outliers, which a healthy endpoint does not show. */
const OUTLIER_GAIN = 0.5;
/** Larger differences are outliers; natural logarithm: more than twice as slow or as fast as estimated. */
const OUTLIER_DEVIATION = 0.9;
/** Limit of the slowness measured in one run, as a natural logarithm. */
const MAXIMUM_DEVIATION = 2;
/** Time in which an estimate decays to about a third, so that a recovered endpoint is used again. */
const DECAY_MILLISECONDS = 15_000;

/** Run time of one run on one endpoint. */
export interface TimedRun {
  readonly endpointId: string;
  /** Run time in milliseconds. */
  readonly milliseconds: number;
}

/** Estimates how slow endpoints are relative to each other. */
export interface EndpointSpeedEstimator {
  /**
   * Compares the run times of similar runs. The group must be complete, because the runs that end first are the
   * short ones and would bias the comparison.
   *
   * @param runs all runs of the group
   * @param now monotonic time, in milliseconds
   */
  recordGroup(runs: readonly TimedRun[], now: number): void;
  /**
   * Records a run in progress that is projected to take a multiple of the usual time.
   *
   * @param factor projected time relative to other runs of the group
   * @param now monotonic time, in milliseconds
   */
  recordSlowRun(endpointId: string, factor: number, now: number): void;
  /** @returns run time on an endpoint relative to the others; 1 for an average or unknown endpoint */
  slowness(endpointId: string, now: number): number;
  forgetEndpoint(endpointId: string): void;
}

interface SlownessEstimate {
  /** Natural logarithm of the slowness at `updatedAt`. */
  logSlowness: number;
  /** Monotonic time in milliseconds. */
  updatedAt: number;
}

/** Creates an estimator that takes all endpoints for equally fast. */
export function createEndpointSpeedEstimator(): EndpointSpeedEstimator {
  const estimates = new Map<string, SlownessEstimate>();

  function logSlownessAt(endpointId: string, now: number): number {
    const estimate = estimates.get(endpointId);
    if (!estimate) return 0;
    return estimate.logSlowness * Math.exp((estimate.updatedAt - now) / DECAY_MILLISECONDS);
  }

  function updateEstimate(endpointId: string, measured: number, now: number): void {
    const known = logSlownessAt(endpointId, now);
    const deviation = Math.max(-MAXIMUM_DEVIATION, Math.min(MAXIMUM_DEVIATION, measured));
    const gain = Math.abs(deviation - known) > OUTLIER_DEVIATION ? OUTLIER_GAIN : GAIN;
    estimates.set(endpointId, { logSlowness: known + gain * (deviation - known), updatedAt: now });
  }

  return {
    recordGroup(runs, now) {
      // `time` and `corrected` are logarithms; `corrected` excludes the estimated slowness of the endpoint.
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
