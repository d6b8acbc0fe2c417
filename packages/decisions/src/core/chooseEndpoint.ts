import type { Resources } from '@chicorybend/common';

import { coversResources, addResources } from '../utils/resourceAmounts.js';

/** An endpoint that may run a task. */
export interface EndpointCandidate {
  readonly endpointId: string;
  readonly rack: string;
  readonly capacity: Resources;
  readonly used: Resources;
  /** Number of tasks of the same step and occurrence on the endpoint. */
  readonly stepTaskCount: number;
  /** Number of filling tasks on the endpoint; these use only processor time that other tasks leave. */
  readonly fillingTaskCount: number;
  /** Number of serving tasks on the endpoint that have a target for their response times. */
  readonly servingTaskCount: number;
  /** Run time on the endpoint relative to the others; 1 for an average endpoint. */
  readonly slowness: number;
}

/** What a task requires of its endpoint. */
export interface EndpointRequirements {
  readonly resources: Resources;
  /** Racks in the order of preference; all other racks come last. */
  readonly preferredRacks: readonly string[];
  /** Maximum number of tasks of the step on one endpoint; 0 for no limit. */
  readonly maximumPerEndpoint: number;
  readonly isFilling: boolean;
  /** Whether the task serves users and has a target for its response times. */
  readonly isServing: boolean;
  /** Whether callers wait for the task, so that it takes precedence on fast endpoints. */
  readonly isUrgent: boolean;
}

/** Outweighs all other preferences, because a task far from its data takes a multiple of the time. */
const RACK_WEIGHT = 100;
/** A serving task on an endpoint with filling tasks causes these to be stopped. */
const FILLING_WEIGHT = 10;
/** Outweighs the fit: a slow endpoint delays an urgent task, a tight fit only keeps room for others. */
const URGENT_SLOWNESS_WEIGHT = 10;
/** Other tasks leave fast endpoints to urgent ones as long as they fit as well elsewhere. */
const FAST_ENDPOINT_WEIGHT = 2;
/** An endpoint slower than this is considered unhealthy, and no task prefers it. */
const MAXIMUM_HEALTHY_SLOWNESS = 1.5;

function canHost(candidate: EndpointCandidate, requirements: EndpointRequirements): boolean {
  const { maximumPerEndpoint } = requirements;
  if (maximumPerEndpoint > 0 && candidate.stepTaskCount >= maximumPerEndpoint) return false;
  if (requirements.isFilling && candidate.servingTaskCount > 0) return false;
  return coversResources(candidate.capacity, addResources(candidate.used, requirements.resources));
}

/** Fraction of the capacity left free by the task, of processors or memory, whichever is scarcer. */
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

function score(candidate: EndpointCandidate, requirements: EndpointRequirements): number {
  const rackIndex = requirements.preferredRacks.indexOf(candidate.rack);
  const rackScore = rackIndex < 0 ? 0 : RACK_WEIGHT / (1 + rackIndex);
  const fillingPenalty = requirements.isServing ? FILLING_WEIGHT * candidate.fillingTaskCount : 0;
  return (
    rackScore -
    fillingPenalty -
    slownessPenalty(candidate, requirements) -
    freeFractionAfter(candidate, requirements.resources)
  );
}

/**
 * Chooses the endpoint for a task: near its data, on a fast endpoint if it is urgent, and where the fit is
 * tightest, so that large free blocks remain for large tasks. Filling tasks are never placed on an endpoint with
 * serving tasks that have a target.
 *
 * Urgent tasks get the fast endpoints because a step ends with its slowest task, while batches that run beside
 * them have time to spare.
 *
 * @param candidates endpoints that may run the task
 * @returns the chosen candidate, or null if none can run the task
 */
export function chooseEndpoint<Candidate extends EndpointCandidate>(
  candidates: readonly Candidate[],
  requirements: EndpointRequirements,
): Candidate | null {
  let best: Candidate | null = null;
  let bestScore = -Infinity;
  for (const candidate of candidates) {
    if (!canHost(candidate, requirements)) continue;
    const candidateScore = score(candidate, requirements);
    if (candidateScore <= bestScore) continue;
    best = candidate;
    bestScore = candidateScore;
  }
  return best;
}
