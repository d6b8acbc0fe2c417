import { hashText } from '@chicorybend/common';

import { MAXIMUM_HEALTHY_SLOWNESS } from './chooseEndpoint.js';
import type { EndpointCandidate } from './chooseEndpoint.js';

/** Endpoints whose slowness differs by less are considered equally fast. */
const SLOWNESS_GRANULARITY = 0.25;
/** Outweighs the speed: an endpoint that is kept for other work comes after all that are not. */
const OTHER_USE_WEIGHT = 1_000;
const MAXIMUM_SPEED_RANK = OTHER_USE_WEIGHT - 1;

/** Slow endpoints come last; an urgent step prefers fast ones among the others. */
function speedRank({ slowness }: EndpointCandidate, isUrgent: boolean): number {
  if (!isUrgent && slowness <= MAXIMUM_HEALTHY_SLOWNESS) return 0;
  return Math.min(MAXIMUM_SPEED_RANK, Math.floor(slowness / SLOWNESS_GRANULARITY));
}

/** @returns rank of an endpoint for a step; the lowest comes first */
export function rankForAdvice(candidate: EndpointCandidate, isUrgent: boolean): number {
  const isKeptForOthers = candidate.isKeptForUrgent !== isUrgent;
  return (isKeptForOthers ? OTHER_USE_WEIGHT : 0) + speedRank(candidate, isUrgent);
}

function groupByRank<Candidate extends EndpointCandidate>(
  candidates: readonly Candidate[],
  isUrgent: boolean,
): Candidate[][] {
  const groups = new Map<number, Candidate[]>();
  candidates.forEach((candidate) => {
    const rank = rankForAdvice(candidate, isUrgent);
    const group = groups.get(rank);
    if (group) group.push(candidate);
    else groups.set(rank, [candidate]);
  });
  return [...groups].sort(([left], [right]) => left - right).map(([, group]) => group);
}

/** The endpoints of a round in the order in which calls for advice ask about them. */
export interface AdviceOrder<Candidate extends EndpointCandidate> {
  /**
   * Visits the endpoints, those that suit the step best first. Among equal ones each step begins with another, so that
   * steps that wait at the same time do not get tickets for the same room.
   *
   * @param visit returns whether to go on
   */
  visit(stepId: string, isUrgent: boolean, visit: (candidate: Candidate) => boolean): void;
}

/**
 * Creates the order for all steps of a round; endpoints are grouped once, when the order is first used.
 *
 * @param candidates endpoints in an order that is unrelated to their racks, because a step asks about neighbours, and
 *   its tasks should not be lost together with a rack
 */
export function createAdviceOrder<Candidate extends EndpointCandidate>(
  candidates: readonly Candidate[],
): AdviceOrder<Candidate> {
  const groups = new Map<boolean, Candidate[][]>();

  function groupsFor(isUrgent: boolean): Candidate[][] {
    const known = groups.get(isUrgent);
    if (known) return known;
    const created = groupByRank(candidates, isUrgent);
    groups.set(isUrgent, created);
    return created;
  }

  return {
    visit(stepId, isUrgent, visit) {
      const start = hashText(stepId);
      for (const group of groupsFor(isUrgent)) {
        for (let position = 0; position < group.length; position += 1) {
          if (!visit(group[(start + position) % group.length]!)) return;
        }
      }
    },
  };
}
