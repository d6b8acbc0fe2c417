import { hashText } from '@chicorybend/common';

import { canHost } from './chooseEndpoint.js';
import type { EndpointCandidate, EndpointRequirements } from './chooseEndpoint.js';

/** The endpoints in a call add at most this fraction of the fixed time of the call. */
const ENDPOINT_COST_FRACTION = 0.5;
/** A call is about at least this many endpoints, whatever they cost. */
const MINIMUM_ENDPOINTS = 10;
/** A call is about endpoints for this many times the tasks that wait, because other steps compete for the room. */
const COMPETITION_FACTOR = 2;
/** Endpoints slower than this are asked about last. */
const MAXIMUM_HEALTHY_SLOWNESS = 1.5;
/** Endpoints whose slowness differs by less are considered equally fast. */
const SLOWNESS_GRANULARITY = 0.25;

/** Time that a call for eligibility advice takes: a fixed part and a part per endpoint. */
export interface AdviceCallCost {
  /** Fixed time of a call, in milliseconds. */
  readonly callMilliseconds: number;
  /** Additional time for each endpoint in the call, in milliseconds. */
  readonly endpointMilliseconds: number;
}

/** An endpoint without a valid ticket for the step. */
export interface AdviceCandidate extends EndpointCandidate {
  /** Whether an earlier answer said that the endpoint is eligible; nothing is known about the others. */
  readonly isKnownEligible: boolean;
}

/** Step that a call for advice is about. */
export interface AdviceNeed {
  readonly stepId: string;
  /** Number of its tasks that wait for an endpoint. */
  readonly waitingTasks: number;
  /** Probability that an endpoint about which nothing is known is eligible. */
  readonly eligibleProbability: number;
}

/** @returns maximum number of endpoints in one call */
export function maximumEndpointsPerCall({
  callMilliseconds,
  endpointMilliseconds,
}: AdviceCallCost): number {
  const affordable = Math.floor((ENDPOINT_COST_FRACTION * callMilliseconds) / endpointMilliseconds);
  return Math.max(MINIMUM_ENDPOINTS, affordable);
}

/**
 * Determines how many calls about different endpoints a step may have in flight at the same time.
 *
 * @returns number of calls that are expected to find endpoints for all waiting tasks; at least 1
 */
export function countAdviceCalls(need: AdviceNeed, cost: AdviceCallCost): number {
  const expectedEndpoints = need.eligibleProbability * maximumEndpointsPerCall(cost);
  return Math.max(1, Math.ceil(need.waitingTasks / expectedEndpoints));
}

/** Slow endpoints come last; an urgent step prefers fast ones among the others. */
function speedRank({ slowness }: EndpointCandidate, { isUrgent }: EndpointRequirements): number {
  if (isUrgent || slowness > MAXIMUM_HEALTHY_SLOWNESS) {
    return Math.floor(slowness / SLOWNESS_GRANULARITY);
  }
  return 0;
}

function keptRank(
  { isKeptForUrgent }: EndpointCandidate,
  { isUrgent }: EndpointRequirements,
): number {
  return Number(isKeptForUrgent === isUrgent);
}

/**
 * Chooses the endpoints that a call for eligibility advice is about: those with room for a task first, among them
 * those that are known to be eligible, then the faster ones. Among equal endpoints each step prefers others, so that
 * steps that wait at the same time do not get tickets for the same room.
 *
 * With hundreds of endpoints, a call about all of them would take too long. A call is about as many as the waiting
 * tasks need, as far as the call can afford them.
 *
 * @param candidates endpoints without a valid ticket that are not known to be ineligible
 * @param requirements requirements of a task
 * @param cost time that a call takes
 * @returns the chosen endpoints; none if no endpoint has room
 */
export function chooseEndpointsForAdvice<Candidate extends AdviceCandidate>(
  candidates: readonly Candidate[],
  requirements: EndpointRequirements,
  cost: AdviceCallCost,
  need: AdviceNeed,
): readonly Candidate[] {
  const ranked = candidates
    .map((candidate) => {
      const hasRoom = canHost(candidate, requirements);
      return {
        candidate,
        hasRoom,
        speed: speedRank(candidate, requirements),
        preference: hasRoom ? hashText(`${need.stepId}/${candidate.endpointId}`) : 0,
      };
    })
    .sort(
      (left, right) =>
        Number(right.hasRoom) - Number(left.hasRoom) ||
        Number(right.candidate.isKnownEligible) - Number(left.candidate.isKnownEligible) ||
        keptRank(right.candidate, requirements) - keptRank(left.candidate, requirements) ||
        left.speed - right.speed ||
        left.preference - right.preference,
    );
  if (!ranked[0]?.hasRoom) return [];
  const limit = maximumEndpointsPerCall(cost);
  const wanted = COMPETITION_FACTOR * need.waitingTasks;
  let expected = 0;
  let count = 0;
  while (count < ranked.length && count < limit) {
    if (count >= MINIMUM_ENDPOINTS && expected >= wanted) break;
    expected += ranked[count]!.candidate.isKnownEligible ? 1 : need.eligibleProbability;
    count += 1;
  }
  return ranked.slice(0, count).map(({ candidate }) => candidate);
}
