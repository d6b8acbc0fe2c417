import type { Clock } from '@chicorybend/common';

import type { LatencyEstimate } from './latencyEstimate.js';

/**
 * Makes a call with the timeout of a latency estimate, and updates the estimate with the result.
 *
 * @param latency latency estimate for calls of this kind
 * @param call makes the call, given its timeout in milliseconds
 * @param hasFailed whether an outcome means that the call was not answered, which counts as a timeout
 */
export async function callWithAdaptiveTimeout<Outcome>(
  clock: Clock,
  latency: LatencyEstimate,
  call: (timeoutMilliseconds: number) => Promise<Outcome>,
  hasFailed: (outcome: Outcome) => boolean,
): Promise<Outcome> {
  const sentAt = clock.monotonicMilliseconds();
  const outcome = await call(latency.timeoutMilliseconds());
  if (hasFailed(outcome)) latency.recordTimeout();
  else latency.recordAnswer(clock.monotonicMilliseconds() - sentAt);
  return outcome;
}
