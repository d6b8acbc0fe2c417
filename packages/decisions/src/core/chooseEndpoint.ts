import type { Resources } from '@chicorybend/common';

import { addResources, hasRoomBeside } from '../utils/resourceAmounts.js';

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
  /** Whether only urgent tasks are placed on the endpoint now. */
  readonly isKeptForUrgent: boolean;
  /** Step of the tasks that are on trial there, apart from others; null if there are none. */
  readonly trialStepId: string | null;
  /** Step for whose tasks on trial it is reserved; null if it is not. */
  readonly reservedStepId: string | null;
  /** Whether no run has begun there for some time, so that a loss could only be due to a run that begins now. */
  readonly isQuiet: boolean;
  /** Work that would have to be repeated if the endpoint were lost, in processor seconds. */
  readonly workAtStake: number;
}

/** What a task requires of its endpoint. */
export interface EndpointRequirements {
  readonly resources: Resources;
  /** Racks in the order of preference; all other racks come last. */
  readonly preferredRacks: readonly string[];
  /** Whether racks on which tasks of the step are placed are preferred to others, in the order of their use. */
  readonly keepsToRacks: boolean;
  /** Maximum number of tasks of the step on one endpoint; 0 for no limit. */
  readonly maximumPerEndpoint: number;
  readonly isFilling: boolean;
  /** Whether the task serves users and has a target for its response times. */
  readonly isServing: boolean;
  /** Whether callers wait for the task, so that it takes precedence on fast endpoints. */
  readonly isUrgent: boolean;
  /** Whether the task runs until it is stopped, so that it uses any room there is. */
  readonly isLongRunning: boolean;
  /** How the task is kept apart if it may have crashed an endpoint; null for other tasks. */
  readonly trial: TrialRequirements | null;
}

/**
 * How a task on trial is kept apart from others. Tasks of one step share endpoints, because the job fails whichever of
 * them is guilty.
 */
export interface TrialRequirements {
  readonly stepId: string;
  /** Maximum number of endpoints without a trial on which tasks are placed. */
  readonly maximumNewEndpoints: number;
  /** Whether the endpoint need not be quiet yet, because it is only reserved or asked about. */
  readonly isReservation: boolean;
}

/** Outweighs all other preferences, because a task far from its data takes a multiple of the time. */
const RACK_WEIGHT = 100;
/** A serving task on an endpoint with filling tasks causes these to be stopped. */
const FILLING_WEIGHT = 10;
/** Outweighs the fit: a slow endpoint delays an urgent task, a tight fit only keeps room for others. */
const URGENT_SLOWNESS_WEIGHT = 10;
/** Urgent tasks use the endpoints that are kept for them first; long-running tasks use these last. */
const KEPT_ENDPOINT_WEIGHT = 5;
/** Other tasks leave fast endpoints to urgent ones as long as they fit as well elsewhere. */
const FAST_ENDPOINT_WEIGHT = 2;
/** Weight of a processor second at stake, for tasks on trial. */
const WORK_AT_STAKE_WEIGHT = 20;
/** An endpoint slower than this is considered unhealthy, and no task prefers it. */
export const MAXIMUM_HEALTHY_SLOWNESS = 1.5;

/** @returns whether a placement keeps the tasks on trial apart from all others that begin */
function keepsTrialsApart(candidate: EndpointCandidate, trial: TrialRequirements | null): boolean {
  if (candidate.trialStepId !== null) {
    return trial !== null && trial.stepId === candidate.trialStepId;
  }
  if (candidate.reservedStepId !== null && candidate.reservedStepId !== trial?.stepId) return false;
  return trial === null || trial.isReservation || candidate.isQuiet;
}

/**
 * @param used resources in use on the endpoint, if not those of the candidate
 * @returns whether a task may be placed on an endpoint now
 */
export function canHost(
  candidate: EndpointCandidate,
  requirements: EndpointRequirements,
  used = candidate.used,
): boolean {
  const { maximumPerEndpoint } = requirements;
  if (maximumPerEndpoint > 0 && candidate.stepTaskCount >= maximumPerEndpoint) return false;
  if (requirements.isFilling && candidate.servingTaskCount > 0) return false;
  if (!keepsTrialsApart(candidate, requirements.trial)) return false;
  if (candidate.isKeptForUrgent && !requirements.isUrgent && !requirements.isLongRunning) {
    return false;
  }
  return hasRoomBeside(candidate.capacity, used, requirements.resources);
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

function score(
  candidate: EndpointCandidate,
  requirements: EndpointRequirements,
  preferredRacks: readonly string[],
): number {
  const rackIndex = preferredRacks.indexOf(candidate.rack);
  const rackScore = rackIndex < 0 ? 0 : RACK_WEIGHT / (1 + rackIndex);
  const fillingPenalty = requirements.isServing ? FILLING_WEIGHT * candidate.fillingTaskCount : 0;
  const keptWeight = requirements.isUrgent ? KEPT_ENDPOINT_WEIGHT : -KEPT_ENDPOINT_WEIGHT;
  const keptScore = candidate.isKeptForUrgent ? keptWeight : 0;
  const stakePenalty =
    requirements.trial && candidate.trialStepId === null
      ? WORK_AT_STAKE_WEIGHT * candidate.workAtStake
      : 0;
  return (
    rackScore +
    keptScore -
    stakePenalty -
    fillingPenalty -
    slownessPenalty(candidate, requirements) -
    freeFractionAfter(candidate, requirements.resources)
  );
}

/** A candidate whose load grows with the tasks that are placed on it. */
export interface PlacementCandidate extends EndpointCandidate {
  used: Resources;
  stepTaskCount: number;
  trialStepId: string | null;
  isQuiet: boolean;
}

/** Chooses endpoints for the tasks of one step, one after the other. */
export interface EndpointChooser<Candidate extends PlacementCandidate> {
  /**
   * Chooses the endpoint of the next task and adds the task to its load.
   *
   * @param excludedEndpointId endpoint that is not chosen; null for none
   * @param requiredEndpointId only endpoint that may be chosen; null for any
   * @returns the chosen candidate, or null if none can run the task
   */
  place(excludedEndpointId: string | null, requiredEndpointId?: string | null): Candidate | null;
}

/**
 * Chooses endpoints for tasks: near their data, on a fast endpoint if they are urgent, and where the fit is
 * tightest, so that large free blocks remain for large tasks. Filling tasks are never placed on an endpoint with
 * serving tasks that have a target.
 *
 * Urgent tasks get the fast endpoints because a step ends with its slowest task, while batches that run beside
 * them have time to spare.
 *
 * A placement changes the score of one candidate only, so each task costs one pass over the scores.
 *
 * @param candidates endpoints that may run the tasks
 * @param requirements requirements of each task
 */
export function createEndpointChooser<Candidate extends PlacementCandidate>(
  candidates: readonly Candidate[],
  requirements: EndpointRequirements,
): EndpointChooser<Candidate> {
  const hosts = candidates.filter((candidate) => canHost(candidate, requirements));
  const preferredRacks = [...requirements.preferredRacks];
  let newTrialEndpoints = requirements.trial?.maximumNewEndpoints ?? 0;

  function isOpenForTrial({ trialStepId }: Candidate): boolean {
    return !requirements.trial || trialStepId !== null || newTrialEndpoints > 0;
  }

  function rateHost(candidate: Candidate): number {
    return isOpenForTrial(candidate) ? score(candidate, requirements, preferredRacks) : -Infinity;
  }

  function rate(candidate: Candidate): number {
    return canHost(candidate, requirements) ? rateHost(candidate) : -Infinity;
  }

  let scores = hosts.map(rateHost);

  function findBest(excludedEndpointId: string | null, requiredEndpointId: string | null): number {
    let best = -1;
    let bestScore = -Infinity;
    for (let position = 0; position < hosts.length; position += 1) {
      const { endpointId } = hosts[position]!;
      const isAllowed =
        endpointId !== excludedEndpointId &&
        (requiredEndpointId === null || endpointId === requiredEndpointId);
      if (isAllowed && scores[position]! > bestScore) {
        best = position;
        bestScore = scores[position]!;
      }
    }
    return best;
  }

  return {
    place(excludedEndpointId, requiredEndpointId = null) {
      const position = findBest(excludedEndpointId, requiredEndpointId);
      const chosen = hosts[position];
      if (!chosen) return null;
      chosen.used = addResources(chosen.used, requirements.resources);
      chosen.stepTaskCount += 1;
      const opensTrial = requirements.trial !== null && chosen.trialStepId === null;
      if (opensTrial) {
        chosen.trialStepId = requirements.trial.stepId;
        newTrialEndpoints -= 1;
      }
      const opensRack = requirements.keepsToRacks && !preferredRacks.includes(chosen.rack);
      if (opensRack) preferredRacks.push(chosen.rack);
      if (opensTrial || opensRack) scores = hosts.map(rate);
      else scores[position] = rate(chosen);
      return chosen;
    },
  };
}
