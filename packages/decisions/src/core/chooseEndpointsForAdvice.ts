import { rankForAdvice } from './adviceOrder.js';
import type { AdviceOrder } from './adviceOrder.js';
import type { EndpointCandidate, EndpointRequirements } from './chooseEndpoint.js';

/** The endpoints in a call add at most this fraction of the fixed time of the call. */
const ENDPOINT_COST_FRACTION = 0.5;
/** A call is about at least this many endpoints, whatever they cost. */
const MINIMUM_ENDPOINTS = 10;
/** A call is about endpoints for this many times the tasks that wait, because other steps compete for the room. */
const COMPETITION_FACTOR = 2;

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
  if (endpointMilliseconds === 0) return Number.MAX_SAFE_INTEGER;
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

/** Endpoints that a call about a step could be about. */
export interface AdviceCandidates<Candidate extends EndpointCandidate> {
  readonly order: AdviceOrder<Candidate>;
  /** Endpoints that an earlier answer said to be eligible. */
  readonly knownEligible: readonly Candidate[];
  /** @returns whether an endpoint has room for a task now */
  hasRoom(candidate: Candidate): boolean;
  /** @returns whether a call about an endpoint makes sense: it has no valid ticket and may be eligible */
  isOpen(candidate: Candidate): boolean;
}

/**
 * Chooses the endpoints that a call for eligibility advice is about: those with room for a task first, among them
 * those that are known to be eligible, then the faster ones.
 *
 * With hundreds of endpoints, a call about all of them would take too long. A call is about as many as the waiting
 * tasks need, as far as the call can afford them, and no others are looked at.
 *
 * @param candidates endpoints that the call could be about
 * @param requirements requirements of a task
 * @param cost time that a call takes
 * @returns the chosen endpoints; none if no endpoint has room
 */
export function chooseEndpointsForAdvice<Candidate extends EndpointCandidate>(
  candidates: AdviceCandidates<Candidate>,
  { isUrgent }: EndpointRequirements,
  cost: AdviceCallCost,
  need: AdviceNeed,
): readonly Candidate[] {
  const { order, hasRoom, isOpen } = candidates;
  const limit = maximumEndpointsPerCall(cost);
  const wanted = COMPETITION_FACTOR * need.waitingTasks;
  const chosen = new Set<Candidate>();
  let expected = 0;

  function isEnough(): boolean {
    return chosen.size >= limit || (chosen.size >= MINIMUM_ENDPOINTS && expected >= wanted);
  }

  function choose(candidate: Candidate, probability: number): void {
    chosen.add(candidate);
    expected += probability;
  }

  function chooseWhere(isWanted: (candidate: Candidate) => boolean): void {
    if (isEnough()) return;
    order.visit(need.stepId, isUrgent, (candidate) => {
      if (!chosen.has(candidate) && isWanted(candidate) && isOpen(candidate)) {
        choose(candidate, need.eligibleProbability);
      }
      return !isEnough();
    });
  }

  [...candidates.knownEligible]
    .filter((candidate) => hasRoom(candidate) && isOpen(candidate))
    .sort((left, right) => rankForAdvice(left, isUrgent) - rankForAdvice(right, isUrgent))
    .forEach((candidate) => {
      if (!isEnough()) choose(candidate, 1);
    });
  chooseWhere(hasRoom);
  // Endpoints without room now may have some while the tickets are valid.
  if (chosen.size > 0) chooseWhere((candidate) => !hasRoom(candidate));
  return [...chosen];
}
