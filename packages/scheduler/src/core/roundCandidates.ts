import type { PlacementCandidate } from '@chicorybend/decisions';

import type { TaskRecord } from '../types/jobRecord.js';
import type { TermContext } from '../types/termContext.js';
import { isOnTrial } from './endpointLosses.js';
import { isCapacityRecent } from './capacityAge.js';
import { mayOverflowList } from './endpointTable.js';
import type { EndpointState } from './endpointTable.js';
import type { TaskTransitions } from './taskTransitions.js';

/** An endpoint is quiet if no run was placed there for this time, in milliseconds. */
const QUIET_MILLISECONDS = 300;
/** Work at stake of a long-running task, whose users notice the loss at once, in milliseconds of its run time. */
const LONG_RUNNING_STAKE_MILLISECONDS = 10_000;
/** Work at stake of a task with checkpoints, which repeats little, in milliseconds of its run time. */
const CHECKPOINT_STAKE_MILLISECONDS = 500;
const MILLISECONDS_PER_SECOND = 1_000;

/** An endpoint in one round; `used` includes the placements that the round has decided so far. */
export interface RoundCandidate extends PlacementCandidate {
  readonly state: EndpointState;
  /** Start of the incarnation, in milliseconds since the Unix epoch. */
  readonly bornAt: number;
  /** Whether it is kept for a gang that waits for its room. */
  isReservedForGang: boolean;
  /** `trialStepId` at the start of the round. */
  readonly initialTrialStepId: string | null;
}

function isUsable(
  { clock, evacuations }: TermContext,
  transitions: TaskTransitions,
  state: EndpointState,
): boolean {
  const { entry } = state;
  const now = clock.monotonicMilliseconds();
  return (
    state.isListed &&
    isCapacityRecent(state, now) &&
    state.isReconciled &&
    state.isFenced &&
    !entry.isDraining &&
    evacuations.mayStart(entry.dataCentre) &&
    entry.bornAt === state.bornAt &&
    state.clockOffset !== null &&
    state.unansweredCalls === 0 &&
    !mayOverflowList(state) &&
    state.backoffUntil <= now &&
    !transitions.isQuarantined(entry.endpointId)
  );
}

/** @returns work that is lost with the current run of a task, in processor seconds; for a gang, that of all members */
function workAtStake({ step, placedAt }: TaskRecord, now: number): number {
  const { isGang, isLongRunning, hasCheckpoints, count, resources } = step.specification;
  const age = isLongRunning ? LONG_RUNNING_STAKE_MILLISECONDS : now - placedAt;
  const milliseconds = hasCheckpoints ? Math.min(CHECKPOINT_STAKE_MILLISECONDS, age) : age;
  return ((isGang ? count : 1) * resources.processors * milliseconds) / MILLISECONDS_PER_SECOND;
}

function describeCandidate(
  { clock, estimates }: TermContext,
  kept: ReadonlySet<string>,
  reservedSteps: ReadonlyMap<string, string>,
  state: EndpointState,
): RoundCandidate {
  const now = clock.monotonicMilliseconds();
  let trialStepId: string | null = null;
  let lastPlacedAt = -Infinity;
  let atStake = 0;
  for (const task of state.runs.values()) {
    if (isOnTrial(task, now)) trialStepId = task.step.stepId;
    if (task.placedAt > lastPlacedAt) lastPlacedAt = task.placedAt;
    atStake += workAtStake(task, now);
  }
  return {
    state,
    endpointId: state.entry.endpointId,
    bornAt: state.bornAt,
    rack: state.entry.rack,
    capacity: state.entry.capacity,
    used: state.used,
    stepTaskCount: 0,
    fillingTaskCount: state.fillingTasks,
    servingTaskCount: state.servingTasks,
    slowness: estimates.slowness(state.entry.endpointId),
    isReservedForGang: false,
    isKeptForUrgent: kept.has(state.entry.endpointId),
    trialStepId,
    initialTrialStepId: trialStepId,
    reservedStepId: reservedSteps.get(state.entry.endpointId) ?? null,
    isQuiet: now - lastPlacedAt >= QUIET_MILLISECONDS,
    workAtStake: atStake,
  };
}

/**
 * @param kept ids of the endpoints that are kept for urgent tasks
 * @param reservedSteps by id of an endpoint, the step for whose tasks on trial it is reserved
 * @returns endpoints that runs may be placed on in this round
 */
export function collectCandidates(
  context: TermContext,
  transitions: TaskTransitions,
  kept: ReadonlySet<string>,
  reservedSteps: ReadonlyMap<string, string>,
): RoundCandidate[] {
  return [...context.table.all()]
    .filter((state) => isUsable(context, transitions, state))
    .map((state) => describeCandidate(context, kept, reservedSteps, state));
}
