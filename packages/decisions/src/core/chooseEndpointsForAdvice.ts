import { hashText } from '@chicorybend/common';

import { MAXIMUM_HEALTHY_SLOWNESS } from './chooseEndpoint.js';
import type { EndpointCandidate, EndpointRequirements } from './chooseEndpoint.js';

/** The endpoints in a call add at most this fraction of the fixed time of the call. */
const ENDPOINT_COST_FRACTION = 0.5;
/** A call is about at least this many endpoints, whatever they cost. */
const MINIMUM_ENDPOINTS = 10;
/** A call is about endpoints for this many times the tasks that wait, because other steps compete for the room. */
const COMPETITION_FACTOR = 2;
/** Endpoints whose slowness differs by less are considered equally fast. */
const SLOWNESS_GRANULARITY = 0.25;

/** Time that a call for eligibility advice takes: a fixed part and a part per endpoint. */
export interface AdviceCallCost {
  /** Fixed time of a call, in milliseconds. */
  readonly callMilliseconds: number;
  /** Additional time for each endpoint in the call, in milliseconds. */
  readonly endpointMilliseconds: number;
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
function maximumEndpointsPerCall({
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

/** Endpoints that a call could be about: without a valid ticket, and not known to be ineligible. */
export interface AdviceCandidates<Candidate extends EndpointCandidate> {
  /** Endpoints with room for a task now. */
  readonly withRoom: readonly Candidate[];
  /** @returns other endpoints, which may have room while the tickets are valid; called only if they are needed */
  withoutRoom(): readonly Candidate[];
  /** @returns whether an earlier answer said that the endpoint is eligible */
  isKnownEligible(candidate: Candidate): boolean;
}

/** Weights of the criteria in the rank of an endpoint; each outweighs all that follow. */
const UNKNOWN_WEIGHT = 10_000;
const OTHER_USE_WEIGHT = 1_000;
const MAXIMUM_SPEED_RANK = OTHER_USE_WEIGHT - 1;
const HASH_RANGE = 2 ** 32;

/** Slow endpoints come last; an urgent step prefers fast ones among the others. */
function speedRank({ slowness }: EndpointCandidate, { isUrgent }: EndpointRequirements): number {
  if (!isUrgent && slowness <= MAXIMUM_HEALTHY_SLOWNESS) return 0;
  return Math.min(MAXIMUM_SPEED_RANK, Math.floor(slowness / SLOWNESS_GRANULARITY));
}

/** @returns rank of an endpoint among those with room; the lowest comes first */
function rank(
  candidate: EndpointCandidate,
  isKnownEligible: boolean,
  requirements: EndpointRequirements,
  stepId: string,
): number {
  const isKeptForOthers = candidate.isKeptForUrgent !== requirements.isUrgent;
  return (
    (isKnownEligible ? 0 : UNKNOWN_WEIGHT) +
    (isKeptForOthers ? OTHER_USE_WEIGHT : 0) +
    speedRank(candidate, requirements) +
    hashText(`${stepId}/${candidate.endpointId}`) / HASH_RANGE
  );
}

/**
 * Chooses the endpoints that a call for eligibility advice is about: those with room for a task first, among them
 * those that are known to be eligible, then the faster ones. Among equal endpoints each step prefers others, so that
 * steps that wait at the same time do not get tickets for the same room.
 *
 * With hundreds of endpoints, a call about all of them would take too long. A call is about as many as the waiting
 * tasks need, as far as the call can afford them.
 *
 * @param candidates endpoints that the call could be about
 * @param requirements requirements of a task
 * @param cost time that a call takes
 * @returns the chosen endpoints; none if no endpoint has room
 */
export function chooseEndpointsForAdvice<Candidate extends EndpointCandidate>(
  candidates: AdviceCandidates<Candidate>,
  requirements: EndpointRequirements,
  cost: AdviceCallCost,
  need: AdviceNeed,
): readonly Candidate[] {
  if (candidates.withRoom.length === 0) return [];
  const limit = maximumEndpointsPerCall(cost);
  const wanted = COMPETITION_FACTOR * need.waitingTasks;
  const ranked = candidates.withRoom
    .map((candidate) => {
      const isKnownEligible = candidates.isKnownEligible(candidate);
      const order = rank(candidate, isKnownEligible, requirements, need.stepId);
      return { candidate, isKnownEligible, order };
    })
    .sort((left, right) => left.order - right.order);
  const chosen: Candidate[] = [];
  let expected = 0;
  for (const { candidate, isKnownEligible } of ranked) {
    const isEnough = chosen.length >= MINIMUM_ENDPOINTS && expected >= wanted;
    if (isEnough || chosen.length >= limit) return chosen;
    chosen.push(candidate);
    expected += isKnownEligible ? 1 : need.eligibleProbability;
  }
  const missing = Math.max(
    MINIMUM_ENDPOINTS - chosen.length,
    Math.ceil((wanted - expected) / need.eligibleProbability),
  );
  const added = candidates.withoutRoom().slice(0, Math.min(limit - chosen.length, missing));
  return [...chosen, ...added];
}
