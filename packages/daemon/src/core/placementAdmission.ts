/**
 * Takes pending tasks and gangs from the backlog in the order of the queue policy, and charges them to the
 * upper limit of their team.
 */
import type { Clock } from '@chicorybend/common';
import type { WorkItem, TaskQueue } from '@chicorybend/decisions';

import type { AllotmentCharges } from './allotmentCharges.js';
import { findTask } from './jobState.js';
import type { Job, JobsState, Task } from './jobState.js';
import type { CapacityHolds } from './capacityHolds.js';
import type { CapacityShortages } from './capacityShortages.js';
import { isTerminating } from './taskRules.js';
import type { TaskBacklog } from './taskBacklog.js';

/** Applies if the allotment does not say when to try again. */
const LIMIT_RETRY_MILLISECONDS = 250;

/** Tasks of one job that are placed together. */
export interface Placement {
  readonly job: Job;
  readonly tasks: readonly Task[];
  /** Earlier placements that failed since the last start. */
  readonly failedPlacements: number;
  /** Monotonic time at which the first of the tasks began to wait, in milliseconds. */
  readonly waitingSince: number;
}

export interface PlacementAdmissionOptions {
  readonly state: JobsState;
  readonly queue: TaskQueue;
  readonly backlog: TaskBacklog;
  readonly charges: AllotmentCharges;
  readonly capacityShortages: CapacityShortages;
  readonly capacityHolds: CapacityHolds;
  readonly clock: Clock;
}

/** Decides which pending tasks are placed next. */
export interface PlacementAdmission {
  /**
   * @param maximum limit of backlog entries to take
   * @returns placements that are charged to their teams; the tasks of a batch share one placement
   */
  take(maximum: number): readonly Placement[];
}

/** The tasks of a batch are independent, so that one request can reserve capacity for all of them. */
function mergeBatchPlacements(placements: readonly Placement[]): readonly Placement[] {
  const merged = new Map<Job, Placement>();
  const unmerged: Placement[] = [];
  placements.forEach((placement) => {
    const { job } = placement;
    const existing = merged.get(job);
    if (job.request.kind !== 'batch') unmerged.push(placement);
    else if (!existing) merged.set(job, placement);
    else {
      const failedPlacements = Math.max(existing.failedPlacements, placement.failedPlacements);
      const waitingSince = Math.min(existing.waitingSince, placement.waitingSince);
      merged.set(job, {
        job,
        tasks: [...existing.tasks, ...placement.tasks],
        failedPlacements,
        waitingSince,
      });
    }
  });
  return [...merged.values(), ...unmerged];
}

export function createPlacementAdmission(options: PlacementAdmissionOptions): PlacementAdmission {
  const { state, queue, backlog, charges, capacityShortages, capacityHolds, clock } = options;
  const blockedUntil = new Map<string, number>();

  function toPlacement(item: WorkItem): Placement | null {
    const job = state.jobs.get(item.jobId);
    if (!job || job.isHeld || isTerminating(job)) return null;
    const single = findTask(state, item.workId)?.task;
    const tasks = item.workId === item.jobId ? job.tasks : [single];
    const pending = tasks.filter((task) => task?.state === 'pending') as Task[];
    const failedPlacements = backlog.failedPlacementsOf(item.workId);
    const waitingSince = item.enqueuedAt;
    return pending.length === item.taskCount
      ? { job, tasks: pending, failedPlacements, waitingSince }
      : null;
  }

  function admit(item: WorkItem, now: number): Placement | null {
    const placement = toPlacement(item);
    if (!placement) return null;
    const { job, tasks } = placement;
    const isHolding = capacityHolds.holdingPartitionsOf(job).length > 0;
    const noCapacityUntil = isHolding ? 0 : capacityShortages.notBefore(job, tasks.length);
    if (now < noCapacityUntil) {
      backlog.requeue(item, noCapacityUntil, 'room on a worker');
      return null;
    }
    const charged = charges.charge(
      job.team,
      tasks.map(({ taskId }) => taskId),
    );
    if (charged.isOk()) {
      queue.recordStart(item);
      return placement;
    }
    const delay = charged.error.retryAfterMilliseconds ?? LIMIT_RETRY_MILLISECONDS;
    blockedUntil.set(job.team, now + delay);
    backlog.requeue(item, now + delay, `the upper limit of team ${job.team}`);
    return null;
  }

  return {
    take(maximum) {
      const now = clock.monotonicMilliseconds();
      const taken: Placement[] = [];
      for (let count = 0; count < maximum; count += 1) {
        const item = backlog.take((team) => now >= (blockedUntil.get(team) ?? 0));
        if (!item) break;
        const placement = admit(item, now);
        if (placement) taken.push(placement);
      }
      return mergeBatchPlacements(taken);
    },
  };
}
