/** Part of a usual deviation that an endpoint's slowness takes over. */
const GAIN = 0.15;
/** Part of a deviation that no usual endpoint shows. */
const OUTLIER_GAIN = 0.5;
/** Deviations beyond this, as a logarithm, are outliers: more than two times as slow or as fast. */
const OUTLIER_DEVIATION = 0.9;
/** Largest deviation that one run shows, as a logarithm. */
const MAXIMUM_DEVIATION = 2;
/** Evidence loses two thirds of its weight in this time, so that a recovered endpoint is used again. */
const EVIDENCE_MILLISECONDS = 15_000;

/** Learns how slow endpoints are relative to each other. */
export interface EndpointSpeeds {
  /**
   * Learns from a run, by comparison with the other runs of its group on other endpoints.
   *
   * @param groupId group of runs that are alike
   * @param milliseconds time that the run took, or is going to take by its progress
   * @param now monotonic time, in milliseconds
   */
  record(endpointId: string, groupId: string, milliseconds: number, now: number): void;
  /** @returns time that work takes on an endpoint relative to the others; 1 for the usual */
  slowness(endpointId: string, now: number): number;
  /** Forgets a group whose runs have ended. */
  forgetGroup(groupId: string): void;
  forgetEndpoint(endpointId: string): void;
}

interface Evidence {
  /** Logarithm of the slowness. */
  value: number;
  at: number;
}

/**
 * Creates an estimate without evidence.
 *
 * @returns speeds
 */
export function createEndpointSpeeds(): EndpointSpeeds {
  const endpoints = new Map<string, Evidence>();
  /** By group, the sum of the logarithms of times, each corrected by the slowness of its endpoint. */
  const groups = new Map<string, { sum: number; count: number }>();

  function logarithmAt(endpointId: string, now: number): number {
    const evidence = endpoints.get(endpointId);
    if (!evidence) return 0;
    return evidence.value * Math.exp((evidence.at - now) / EVIDENCE_MILLISECONDS);
  }

  return {
    record(endpointId, groupId, milliseconds, now) {
      const time = Math.log(Math.max(1, milliseconds));
      const known = logarithmAt(endpointId, now);
      const group = groups.get(groupId) ?? { sum: 0, count: 0 };
      if (group.count > 0) {
        const difference = time - group.sum / group.count;
        const deviation = Math.max(-MAXIMUM_DEVIATION, Math.min(MAXIMUM_DEVIATION, difference));
        const gain = Math.abs(deviation - known) > OUTLIER_DEVIATION ? OUTLIER_GAIN : GAIN;
        endpoints.set(endpointId, { value: known + gain * (deviation - known), at: now });
      }
      groups.set(groupId, { sum: group.sum + time - known, count: group.count + 1 });
    },
    slowness: (endpointId, now) => Math.exp(logarithmAt(endpointId, now)),
    forgetGroup(groupId) {
      groups.delete(groupId);
    },
    forgetEndpoint(endpointId) {
      endpoints.delete(endpointId);
    },
  };
}
