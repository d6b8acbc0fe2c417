import { canHost } from './chooseEndpoint.js';
import type { EndpointCandidate, EndpointRequirements } from './chooseEndpoint.js';

/** The endpoints in a call add at most this fraction of the fixed time of the call. */
const ENDPOINT_COST_FRACTION = 0.5;
/** A call is about at least this many endpoints, whatever they cost. */
const MINIMUM_ENDPOINTS = 10;

/** Time that a call for eligibility advice takes: a fixed part and a part per endpoint. */
export interface AdviceCallCost {
  /** Fixed time of a call, in milliseconds. */
  readonly callMilliseconds: number;
  /** Additional time for each endpoint in the call, in milliseconds. */
  readonly endpointMilliseconds: number;
}

/**
 * Chooses the endpoints that a call for eligibility advice is about: those with room for a task first, and among
 * them the fastest. With hundreds of endpoints, a call about all of them would take too long.
 *
 * @param candidates endpoints whose eligibility is unknown
 * @param requirements requirements of a task
 * @param cost time that a call takes
 * @returns all candidates if the call can afford them, otherwise the best ones
 */
export function chooseEndpointsForAdvice<Candidate extends EndpointCandidate>(
  candidates: readonly Candidate[],
  requirements: EndpointRequirements,
  cost: AdviceCallCost,
): readonly Candidate[] {
  const { callMilliseconds, endpointMilliseconds } = cost;
  const affordable = Math.floor((ENDPOINT_COST_FRACTION * callMilliseconds) / endpointMilliseconds);
  const limit = Math.max(MINIMUM_ENDPOINTS, affordable);
  if (candidates.length <= limit) return candidates;
  return candidates
    .map((candidate) => ({
      candidate,
      hasRoom: canHost(candidate, requirements),
    }))
    .sort(
      (left, right) =>
        Number(right.hasRoom) - Number(left.hasRoom) ||
        left.candidate.slowness - right.candidate.slowness,
    )
    .slice(0, limit)
    .map(({ candidate }) => candidate);
}
