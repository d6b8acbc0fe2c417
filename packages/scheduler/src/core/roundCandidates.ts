import type { PlacementCandidate } from '@chicorybend/decisions';

import type { TermContext } from '../types/termContext.js';
import { isCapacityRecent } from './capacityAge.js';
import type { EndpointState } from './endpointTable.js';
import type { TaskTransitions } from './taskTransitions.js';

/** An endpoint in one round; `used` includes the placements that the round has decided so far. */
export interface RoundCandidate extends PlacementCandidate {
  readonly state: EndpointState;
  /** Start of the incarnation, in milliseconds since the Unix epoch. */
  readonly bornAt: number;
}

function isUsable(
  { clock }: TermContext,
  transitions: TaskTransitions,
  state: EndpointState,
): boolean {
  const { entry } = state;
  const now = clock.monotonicMilliseconds();
  return (
    state.isListed &&
    isCapacityRecent(state, now) &&
    state.isReconciled &&
    !entry.isDraining &&
    entry.bornAt === state.bornAt &&
    state.clockOffset !== null &&
    state.unansweredCalls === 0 &&
    state.backoffUntil <= now &&
    !transitions.isQuarantined(entry.endpointId)
  );
}

function describeCandidate(
  { estimates }: TermContext,
  kept: ReadonlySet<string>,
  state: EndpointState,
): RoundCandidate {
  let fillingTasks = 0;
  let servingTasks = 0;
  state.runs.forEach((task) => {
    if (task.step.specification.isFilling) fillingTasks += 1;
    else if (task.step.specification.targetMilliseconds > 0) servingTasks += 1;
  });
  return {
    state,
    endpointId: state.entry.endpointId,
    bornAt: state.bornAt,
    rack: state.entry.rack,
    capacity: state.entry.capacity,
    used: state.used,
    stepTaskCount: 0,
    fillingTaskCount: fillingTasks,
    servingTaskCount: servingTasks,
    slowness: estimates.slowness(state.entry.endpointId),
    isKeptForUrgent: kept.has(state.entry.endpointId),
  };
}

/**
 * @param kept ids of the endpoints that are kept for urgent tasks
 * @returns endpoints that runs may be placed on in this round
 */
export function collectCandidates(
  context: TermContext,
  transitions: TaskTransitions,
  kept: ReadonlySet<string>,
): RoundCandidate[] {
  return [...context.table.all()]
    .filter((state) => isUsable(context, transitions, state))
    .map((state) => describeCandidate(context, kept, state));
}
