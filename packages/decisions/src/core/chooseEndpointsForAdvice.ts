import { chooseEndpoint } from './chooseEndpoint.js';
import type { EndpointCandidate, EndpointRequirements } from './chooseEndpoint.js';

/** Naming endpoints takes at most this part of the time of the call itself. */
const ENDPOINT_COST_FRACTION = 0.5;
/** Endpoints that are asked about in any case. */
const MINIMUM_ENDPOINTS = 10;

/** Times of a call for advice. */
export interface AdviceCallCost {
  /** Time of a call, in milliseconds. */
  readonly callMilliseconds: number;
  /** Further time for each endpoint named, in milliseconds. */
  readonly endpointMilliseconds: number;
}

/**
 * Chooses the endpoints that a call for advice names: those with room for a task first, the fastest of them
 * first. The load that it answers: hundreds of endpoints, of which a call can name a few in reasonable time.
 *
 * @param candidates endpoints that may be good
 * @param request what a task asks for
 * @param times times of a call
 * @returns some or all of the candidates
 */
export function chooseEndpointsForAdvice<Candidate extends EndpointCandidate>(
  candidates: readonly Candidate[],
  request: EndpointRequirements,
  times: AdviceCallCost,
): readonly Candidate[] {
  const { callMilliseconds, endpointMilliseconds } = times;
  const affordable = Math.floor((ENDPOINT_COST_FRACTION * callMilliseconds) / endpointMilliseconds);
  const limit = Math.max(MINIMUM_ENDPOINTS, affordable);
  if (candidates.length <= limit) return candidates;
  return candidates
    .map((candidate) => ({ candidate, hasRoom: chooseEndpoint([candidate], request) !== null }))
    .sort(
      (left, right) =>
        Number(right.hasRoom) - Number(left.hasRoom) ||
        left.candidate.slowness - right.candidate.slowness,
    )
    .slice(0, limit)
    .map(({ candidate }) => candidate);
}
