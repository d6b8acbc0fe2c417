import type { AdmissionController } from '../types/requestQueue.js';

/** Weight of a new sample; about the last twenty requests count. */
const SERVICE_SAMPLE_WEIGHT = 0.1;

/** Settings of {@link createAdmissionController}. */
export interface AdmissionControllerOptions {
  /** Expected service time before the first request has been served, in milliseconds. */
  readonly initialServiceMilliseconds: number;
}

/**
 * Creates the admission by deadline of one queue of interactive requests.
 *
 * @param options settings
 * @returns admission
 */
export function createAdmissionController(
  options: AdmissionControllerOptions,
): AdmissionController {
  let meanMilliseconds = options.initialServiceMilliseconds;

  return {
    decide(queued, slots, remainingMilliseconds) {
      // Without a slot nothing is served; the caller is told to come back after one service time.
      const waitMilliseconds = slots > 0 ? (queued * meanMilliseconds) / slots : Infinity;
      const excessMilliseconds = waitMilliseconds + meanMilliseconds - remainingMilliseconds;
      if (excessMilliseconds <= 0) return { kind: 'admit' };
      const backMilliseconds = Number.isFinite(excessMilliseconds)
        ? Math.min(excessMilliseconds, Math.max(waitMilliseconds, meanMilliseconds))
        : meanMilliseconds;
      return {
        kind: 'refuse',
        retryAfterMilliseconds: Math.max(1, Math.ceil(backMilliseconds)),
      };
    },
    recordServiceTime(milliseconds) {
      if (!(milliseconds >= 0)) return;
      meanMilliseconds += SERVICE_SAMPLE_WEIGHT * (milliseconds - meanMilliseconds);
    },
    expectedServiceMilliseconds: () => meanMilliseconds,
  };
}
