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
const KINDS: readonly ReclaimKind[] = ['throttle', 'checkpoint', 'stop'];
/** Absorbs rounding of sums of fractions. */
const SLACK = 1e-9;

/** One way of taking one task's resources. */
interface Step {
  readonly task: ReclaimableTask;
  readonly kind: ReclaimKind;
  readonly freed: Resources;
  readonly loss: number;
}

interface Plan {
  readonly workerId: string;
  readonly steps: readonly Step[];
  readonly loss: number;
}

/** Effects of the plans chosen so far. */
interface Progress {
  readonly freeByWorker: Map<string, Resources>;
  readonly shareByTeam: Map<string, number>;
  readonly takenTasks: Set<string>;
}

const covers = (have: Resources, need: Resources): boolean =>
  RESOURCE_DIMENSIONS.every((dimension) => have[dimension] + SLACK >= need[dimension]);

const freedBy = (task: ReclaimableTask, kind: ReclaimKind): Resources =>
  kind === 'throttle'
    ? { ...NO_RESOURCES, processors: task.throttleableProcessors }
    : task.resources;

/** Amount of a step that the need lacks, as a fraction of what is missing, summed over dimensions. */
function computeUse(freed: Resources, missing: Resources): number {
  return RESOURCE_DIMENSIONS.reduce((sum, dimension) => {
    if (missing[dimension] <= 0) return sum;
    return sum + Math.min(1, freed[dimension] / missing[dimension]);
  }, 0);
}

function missingOf(need: Resources, free: Resources): Resources {
  const missing = addResources(need, free, -1);
  return {
    processors: Math.max(0, missing.processors),
    memoryBytes: Math.max(0, missing.memoryBytes),
    accelerators: Math.max(0, missing.accelerators),
  };
}

/**
 * Orders steps: work of the lowest priority first, then the least loss per amount that helps, then
 * the larger amount.
 */
function compareSteps(left: Step, right: Step, missing: Resources): number {
  const byPriority = RANK_BY_PRIORITY[right.task.priority] - RANK_BY_PRIORITY[left.task.priority];
  if (byPriority !== 0) return byPriority;
  const leftUse = computeUse(left.freed, missing);
  const rightUse = computeUse(right.freed, missing);
  return left.loss / leftUse - right.loss / rightUse || rightUse - leftUse;
}

/** Takes steps back that turned out not to be needed, the most costly first. */
function dropRedundant(steps: readonly Step[], need: Resources, free: Resources): readonly Step[] {
  let kept = [...steps];
  [...steps]
    .sort((left, right) => right.loss - left.loss)
    .forEach((candidate) => {
      const others = kept.filter((step) => step !== candidate);
      const have = others.reduce((sum, step) => addResources(sum, step.freed), free);
      if (covers(have, need)) kept = others;
    });
  return kept;
}

/**
 * Chooses which running tasks give way to work that does not fit.
 *
 * Only tasks of teams above their share are taken, never below that share, never urgent tasks and
 * never tasks of a higher priority than the work. Urgent work is helped first, then the oldest. For
 * each work, the worker with the least work lost is used. The choice is greedy: it frees enough and
 * holds no step that is not needed, but a smaller loss may exist.
 *
 * @param situation needs, running tasks and shares
 * @param policy values the loss; the least processor time lost by default
 * @returns steps, in the order of the needs; nothing for needs that cannot be met
 */
export function chooseReclaim(
  situation: ReclaimInput,
  policy: ReclaimPolicy = createLeastLossPolicy(),
): readonly ReclaimAction[] {
  const tasksByWorker = new Map<string, ReclaimableTask[]>();
  situation.tasks.forEach((task) => {
    const tasks = tasksByWorker.get(task.workerId) ?? [];
    tasks.push(task);
    tasksByWorker.set(task.workerId, tasks);
  });
  const progress: Progress = {
    freeByWorker: new Map(Object.entries(situation.freeByWorker)),
    shareByTeam: new Map(
      Object.entries(situation.teams).map(([team, { dominantShare }]) => [team, dominantShare]),
    ),
    takenTasks: new Set(),
  };

  function isReclaimable(task: ReclaimableTask, need: ReclaimDemand): boolean {
    return (
      !progress.takenTasks.has(task.taskId) &&
      task.team !== need.team &&
      task.priority !== 'urgent' &&
      RANK_BY_PRIORITY[task.priority] >= RANK_BY_PRIORITY[need.priority]
    );
  }

  function stepsOn(workerId: string, need: ReclaimDemand, missing: Resources): Step[] {
    return (tasksByWorker.get(workerId) ?? [])
      .filter((task) => isReclaimable(task, need))
      .flatMap((task) =>
        KINDS.flatMap((kind) => {
          const loss = policy.computeLoss(task, kind);
          const freed = freedBy(task, kind);
          const helps = computeUse(freed, missing) > 0;
          return loss !== null && helps ? [{ task, kind, freed, loss }] : [];
        }),
      )
      .sort((left, right) => compareSteps(left, right, missing));
  }

  /** Tells whether the team is above its share even without what was taken from it so far. */
  function isAboveShare(task: ReclaimableTask, steps: readonly Step[]): boolean {
    const position = situation.teams[task.team];
    if (!position) return false;
    const taken = steps
      .filter((step) => step.task.team === task.team)
      .reduce((sum, step) => addResources(sum, step.freed), NO_RESOURCES);
    const share = progress.shareByTeam.get(task.team)!;
    return share - computeDominantShare(taken, situation.capacity) > position.fairShare + SLACK;
  }

  function planOn(workerId: string, need: ReclaimDemand): Plan | null {
    const free = progress.freeByWorker.get(workerId)!;
    const missing = missingOf(need.resources, free);
    let steps: readonly Step[] = [];
    let have = free;
    stepsOn(workerId, need, missing).forEach((step) => {
      if (covers(have, need.resources)) return;
      // A harsher step replaces a milder one on the same task that did not free enough.
      const others = steps.filter(({ task }) => task !== step.task);
      if (!isAboveShare(step.task, others)) return;
      const next = [...others, step];
      const nextHave = next.reduce((sum, { freed }) => addResources(sum, freed), free);
      if (others.length < steps.length && !covers(nextHave, have)) return;
      steps = next;
      have = nextHave;
    });
    if (!covers(have, need.resources)) return null;
    const kept = dropRedundant(steps, need.resources, free);
    return { workerId, steps: kept, loss: kept.reduce((sum, step) => sum + step.loss, 0) };
  }

  function apply(plan: Plan, need: ReclaimDemand): readonly ReclaimAction[] {
    const free = progress.freeByWorker.get(plan.workerId)!;
    const freed = plan.steps.reduce((sum, step) => addResources(sum, step.freed), free);
    progress.freeByWorker.set(plan.workerId, addResources(freed, need.resources, -1));
    plan.steps.forEach((step) => {
      const share = progress.shareByTeam.get(step.task.team)!;
      const lost = computeDominantShare(step.freed, situation.capacity);
      progress.shareByTeam.set(step.task.team, share - lost);
      progress.takenTasks.add(step.task.taskId);
    });
    return plan.steps.map((step) => ({
      kind: step.kind,
      taskId: step.task.taskId,
      workerId: plan.workerId,
      forWorkId: need.workId,
      lostProcessorMilliseconds: step.loss,
    }));
  }

  function choosePlan(need: ReclaimDemand): Plan | null {
    let best: Plan | null = null;
    progress.freeByWorker.forEach((_, workerId) => {
      const plan = planOn(workerId, need);
      if (plan && (best === null || plan.loss < best.loss)) best = plan;
    });
    return best;
  }

  const isNeedBefore = (left: ReclaimDemand, right: ReclaimDemand): number =>
    RANK_BY_PRIORITY[left.priority] - RANK_BY_PRIORITY[right.priority] ||
    left.enqueuedAt - right.enqueuedAt;

  return [...situation.demands].sort(isNeedBefore).flatMap((need) => {
    const plan = choosePlan(need);
    return plan ? apply(plan, need) : [];
  });
}
