import type { Resources } from '@chicorybend/common';

import { coversResources, addResources } from '../utils/resourceAmounts.js';

/** An endpoint that may run a task. */
export interface EndpointCandidate {
  readonly endpointId: string;
  readonly rack: string;
  readonly capacity: Resources;
  readonly used: Resources;
  /** Tasks of the same step and occurrence on it. */
  readonly stepTaskCount: number;
  /** Filling tasks on it. */
  readonly fillingTaskCount: number;
  /** Serving tasks on it that have a target for their response times. */
  readonly servingTaskCount: number;
  /** Time that work takes on it relative to the others; 1 for the usual. */
  readonly slowness: number;
}

/** What a task asks of its endpoint. */
export interface EndpointRequirements {
  readonly resources: Resources;
  /** Racks in the order of preference; others come after them. */
  readonly preferredRacks: readonly string[];
  /** Largest number of tasks of the step on one endpoint; 0 for any number. */
  readonly maximumPerEndpoint: number;
  readonly isFilling: boolean;
  /** Whether it serves users under a target for its response times. */
  readonly isServing: boolean;
  /** Whether callers wait for it, so that it comes before other work on fast endpoints. */
  readonly isUrgent: boolean;
}

/** Work far from its data takes a multiple of the time, which no other preference outweighs. */
const RACK_WEIGHT = 100;
/** A serving task beside filling ones costs stopping these. */
const FILLING_WEIGHT = 10;
/** A slow endpoint delays urgent work, a tight fit only keeps room for others. */
const URGENT_SLOWNESS_WEIGHT = 10;
/** Other work leaves fast endpoints to urgent work as long as it fits as well elsewhere. */
const FAST_ENDPOINT_WEIGHT = 2;
/** Beyond this slowness an endpoint is not sound, and no work prefers it. */
const MAXIMUM_HEALTHY_SLOWNESS = 1.5;

function canHost(candidate: EndpointCandidate, request: EndpointRequirements): boolean {
  const { maximumPerEndpoint } = request;
  if (maximumPerEndpoint > 0 && candidate.stepTaskCount >= maximumPerEndpoint) return false;
  if (request.isFilling && candidate.servingTaskCount > 0) return false;
  return coversResources(candidate.capacity, addResources(candidate.used, request.resources));
}

/** Part of the capacity that stays free in the scarcest dimension. */
function freeFractionAfter(candidate: EndpointCandidate, resources: Resources): number {
  const { capacity, used } = candidate;
  const processors =
    1 - (used.processors + resources.processors) / Math.max(1, capacity.processors);
  const memory = 1 - (used.memoryBytes + resources.memoryBytes) / Math.max(1, capacity.memoryBytes);
  return Math.min(processors, memory);
}

function slownessPenalty(
  { slowness }: EndpointCandidate,
  { isUrgent }: EndpointRequirements,
): number {
  if (isUrgent || slowness > MAXIMUM_HEALTHY_SLOWNESS) return URGENT_SLOWNESS_WEIGHT * slowness;
  return FAST_ENDPOINT_WEIGHT * (1 - slowness);
}

function score(candidate: EndpointCandidate, request: EndpointRequirements): number {
  const rackIndex = request.preferredRacks.indexOf(candidate.rack);
  const rackScore = rackIndex < 0 ? 0 : RACK_WEIGHT / (1 + rackIndex);
  const fillingPenalty = request.isServing ? FILLING_WEIGHT * candidate.fillingTaskCount : 0;
  return (
    rackScore -
    fillingPenalty -
    slownessPenalty(candidate, request) -
    freeFractionAfter(candidate, request.resources)
  );
}

/**
 * Chooses the endpoint for a task: near its data, on a fast endpoint if it is urgent, and where the fit is
 * tightest, so that room for large tasks stays together. Filling tasks never join serving tasks that have a target.
 *
 * The load that it answers: urgent steps end with their slowest task, beside batches with time to spare.
 *
 * @param candidates endpoints that may run the task
 * @param request what the task asks for
 * @returns the chosen candidate, or null if none has room
 */
export function chooseEndpoint<Candidate extends EndpointCandidate>(
  candidates: readonly Candidate[],
  request: EndpointRequirements,
): Candidate | null {
  let best: Candidate | null = null;
  let bestScore = -Infinity;
  for (const candidate of candidates) {
    if (!canHost(candidate, request)) continue;
    const candidateScore = score(candidate, request);
    if (candidateScore <= bestScore) continue;
    best = candidate;
    bestScore = candidateScore;
  }
  return best;
}
