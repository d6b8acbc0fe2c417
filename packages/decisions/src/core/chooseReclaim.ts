import { RESOURCE_DIMENSIONS } from '@chicorybend/common';
import type { Resources } from '@chicorybend/common';

import { createLeastLossPolicy } from '../plugins/leastLossPolicy.js';
import type {
  ReclaimAction,
  ReclaimKind,
  ReclaimDemand,
  ReclaimPolicy,
  ReclaimInput,
  ReclaimableTask,
} from '../types/reclaim.js';
import type { QueuePriority } from '../types/taskQueue.js';
import { computeDominantShare } from '../utils/dominantShare.js';
import { addResources, NO_RESOURCES } from '../utils/resourceAmounts.js';

const RANK_BY_PRIORITY: Readonly<Record<QueuePriority, number>> = {
  urgent: 0,
  normal: 1,
  overnight: 2,
};
const RECLAIM_KINDS: readonly ReclaimKind[] = ['throttle', 'checkpoint', 'stop'];
/** Absorbs rounding errors in sums of fractions. */
const TOLERANCE = 1e-9;

/** One possible action on one task. */
interface CandidateAction {
  readonly task: ReclaimableTask;
  readonly kind: ReclaimKind;
  readonly freed: Resources;
  readonly loss: number;
}

interface Plan {
  readonly workerId: string;
  readonly actions: readonly CandidateAction[];
  readonly loss: number;
}

/** State after the plans chosen so far. */
interface ReclaimState {
  readonly freeByWorker: Map<string, Resources>;
  readonly shareByTeam: Map<string, number>;
  readonly reclaimedTaskIds: Set<string>;
}

const covers = (available: Resources, required: Resources): boolean =>
  RESOURCE_DIMENSIONS.every((dimension) => available[dimension] + TOLERANCE >= required[dimension]);

const computeFreed = (task: ReclaimableTask, kind: ReclaimKind): Resources =>
  kind === 'throttle'
    ? { ...NO_RESOURCES, processors: task.throttleableProcessors }
    : task.resources;

/** Fraction of the shortfall that the freed amounts cover, summed over the dimensions. */
function computeCoverage(freed: Resources, shortfall: Resources): number {
  return RESOURCE_DIMENSIONS.reduce((sum, dimension) => {
    if (shortfall[dimension] <= 0) return sum;
    return sum + Math.min(1, freed[dimension] / shortfall[dimension]);
  }, 0);
}

function computeShortfall(required: Resources, free: Resources): Resources {
  const shortfall = addResources(required, free, -1);
  return {
    processors: Math.max(0, shortfall.processors),
    memoryBytes: Math.max(0, shortfall.memoryBytes),
    accelerators: Math.max(0, shortfall.accelerators),
  };
}

/**
 * Orders actions: tasks of the lowest priority first, then the least loss per covered shortfall, then
 * the larger coverage.
 */
function compareActions(
  left: CandidateAction,
  right: CandidateAction,
  shortfall: Resources,
): number {
  const byPriority = RANK_BY_PRIORITY[right.task.priority] - RANK_BY_PRIORITY[left.task.priority];
  if (byPriority !== 0) return byPriority;
  const leftCoverage = computeCoverage(left.freed, shortfall);
  const rightCoverage = computeCoverage(right.freed, shortfall);
  return left.loss / leftCoverage - right.loss / rightCoverage || rightCoverage - leftCoverage;
}

/** Drops actions without which the demand is still met, the most costly first. */
function removeRedundant(
  actions: readonly CandidateAction[],
  required: Resources,
  free: Resources,
): readonly CandidateAction[] {
  let remaining = [...actions];
  [...actions]
    .sort((left, right) => right.loss - left.loss)
    .forEach((candidate) => {
      const others = remaining.filter((action) => action !== candidate);
      const available = others.reduce((sum, action) => addResources(sum, action.freed), free);
      if (covers(available, required)) remaining = others;
    });
  return remaining;
}

/**
 * Chooses running tasks to throttle, checkpoint or stop in favour of pending work that does not fit.
 *
 * A task is eligible only while its team is above its fair share, and never if it is urgent or has a
 * higher priority than the pending work. Demands are met in the order of priority, then of age, each
 * on the worker where the least processor time is lost. The choice is greedy: it frees enough and
 * contains no superfluous action, but a plan with a smaller loss may exist.
 *
 * @param input demands, running tasks and shares
 * @param policy values the loss; the least processor time lost by default
 * @returns actions, in the order in which the demands are met; none for a demand that cannot be met
 */
export function chooseReclaim(
  input: ReclaimInput,
  policy: ReclaimPolicy = createLeastLossPolicy(),
): readonly ReclaimAction[] {
  const tasksByWorker = new Map<string, ReclaimableTask[]>();
  input.tasks.forEach((task) => {
    const tasks = tasksByWorker.get(task.workerId) ?? [];
    tasks.push(task);
    tasksByWorker.set(task.workerId, tasks);
  });
  const state: ReclaimState = {
    freeByWorker: new Map(Object.entries(input.freeByWorker)),
    shareByTeam: new Map(
      Object.entries(input.teams).map(([team, { dominantShare }]) => [team, dominantShare]),
    ),
    reclaimedTaskIds: new Set(),
  };

  function isReclaimable(task: ReclaimableTask, demand: ReclaimDemand): boolean {
    return (
      !state.reclaimedTaskIds.has(task.taskId) &&
      task.team !== demand.team &&
      task.priority !== 'urgent' &&
      RANK_BY_PRIORITY[task.priority] >= RANK_BY_PRIORITY[demand.priority]
    );
  }

  function listActions(
    workerId: string,
    demand: ReclaimDemand,
    shortfall: Resources,
  ): CandidateAction[] {
    return (tasksByWorker.get(workerId) ?? [])
      .filter((task) => isReclaimable(task, demand))
      .flatMap((task) =>
        RECLAIM_KINDS.flatMap((kind) => {
          const loss = policy.computeLoss(task, kind);
          const freed = computeFreed(task, kind);
          const helps = computeCoverage(freed, shortfall) > 0;
          return loss !== null && helps ? [{ task, kind, freed, loss }] : [];
        }),
      )
      .sort((left, right) => compareActions(left, right, shortfall));
  }

  /** Whether the team of the task would still be above its share after the chosen actions. */
  function isStillAboveShare(task: ReclaimableTask, chosen: readonly CandidateAction[]): boolean {
    const teamShare = input.teams[task.team];
    if (!teamShare) return false;
    const freed = chosen
      .filter((action) => action.task.team === task.team)
      .reduce((sum, action) => addResources(sum, action.freed), NO_RESOURCES);
    const share = state.shareByTeam.get(task.team)!;
    return share - computeDominantShare(freed, input.capacity) > teamShare.fairShare + TOLERANCE;
  }

  function planOnWorker(workerId: string, demand: ReclaimDemand): Plan | null {
    const free = state.freeByWorker.get(workerId)!;
    const shortfall = computeShortfall(demand.resources, free);
    let chosen: readonly CandidateAction[] = [];
    let available = free;
    listActions(workerId, demand, shortfall).forEach((action) => {
      if (covers(available, demand.resources)) return;
      // A harsher action replaces a milder one on the same task that did not free enough.
      const others = chosen.filter(({ task }) => task !== action.task);
      if (!isStillAboveShare(action.task, others)) return;
      const next = [...others, action];
      const nextAvailable = next.reduce((sum, { freed }) => addResources(sum, freed), free);
      if (others.length < chosen.length && !covers(nextAvailable, available)) return;
      chosen = next;
      available = nextAvailable;
    });
    if (!covers(available, demand.resources)) return null;
    const actions = removeRedundant(chosen, demand.resources, free);
    return {
      workerId,
      actions,
      loss: actions.reduce((sum, action) => sum + action.loss, 0),
    };
  }

  function applyPlan(plan: Plan, demand: ReclaimDemand): readonly ReclaimAction[] {
    const free = state.freeByWorker.get(plan.workerId)!;
    const freed = plan.actions.reduce((sum, action) => addResources(sum, action.freed), free);
    state.freeByWorker.set(plan.workerId, addResources(freed, demand.resources, -1));
    plan.actions.forEach((action) => {
      const share = state.shareByTeam.get(action.task.team)!;
      const freedShare = computeDominantShare(action.freed, input.capacity);
      state.shareByTeam.set(action.task.team, share - freedShare);
      state.reclaimedTaskIds.add(action.task.taskId);
    });
    return plan.actions.map((action) => ({
      kind: action.kind,
      taskId: action.task.taskId,
      workerId: plan.workerId,
      forWorkId: demand.workId,
      lostProcessorMilliseconds: action.loss,
    }));
  }

  function choosePlan(demand: ReclaimDemand): Plan | null {
    let best: Plan | null = null;
    state.freeByWorker.forEach((_, workerId) => {
      const plan = planOnWorker(workerId, demand);
      if (plan && (best === null || plan.loss < best.loss)) best = plan;
    });
    return best;
  }

  const compareDemands = (left: ReclaimDemand, right: ReclaimDemand): number =>
    RANK_BY_PRIORITY[left.priority] - RANK_BY_PRIORITY[right.priority] ||
    left.enqueuedAt - right.enqueuedAt;

  return [...input.demands].sort(compareDemands).flatMap((demand) => {
    const plan = choosePlan(demand);
    return plan ? applyPlan(plan, demand) : [];
  });
}
