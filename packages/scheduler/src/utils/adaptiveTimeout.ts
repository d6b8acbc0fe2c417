import type { Clock } from '@chicorybend/common';

import type { LatencyEstimate } from './latencyEstimate.js';

/**
 * Makes a call within the timeout that an estimate gives, and lets the estimate learn from it.
 *
 * @param clock source of time
 * @param latency estimate of the latency of such calls
 * @param call the call, with its timeout in milliseconds
 * @param hasFailed whether an outcome means that there was no answer
 * @returns outcome of the call
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
