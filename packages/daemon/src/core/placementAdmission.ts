/**
 * Takes work from the backlog in the order of the policy, and charges it to its team's upper limit.
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

const LIMIT_RETRY_MILLISECONDS = 250;

/** Tasks of one job that are placed together. */
export interface Placement {
  readonly job: Job;
  readonly tasks: readonly Task[];
  /** Failed placements before this one. */
  readonly failedPlacements: number;
  /** Monotonic time since which the oldest of them has waited, in milliseconds. */
  readonly waitingSince: number;
}

/** What the admission needs. */
export interface PlacementAdmissionOptions {
  readonly state: JobsState;
  readonly queue: TaskQueue;
  readonly backlog: TaskBacklog;
  readonly charges: AllotmentCharges;
  readonly capacityShortages: CapacityShortages;
  readonly capacityHolds: CapacityHolds;
  readonly clock: Clock;
}

/** Admission of waiting work. */
export interface PlacementAdmission {
  /**
   * @param most pieces of work to take at most
   * @returns charged work; independent tasks of one job are together
   */
  take(most: number): readonly Placement[];
}

/** Independent tasks of one job ask for room together. */
function merge(placements: readonly Placement[]): readonly Placement[] {
  const merged = new Map<Job, Placement>();
  const apart: Placement[] = [];
  placements.forEach((placement) => {
    const { job } = placement;
    const known = merged.get(job);
    if (job.request.kind !== 'batch') apart.push(placement);
    else if (!known) merged.set(job, placement);
    else {
      const tries = Math.max(known.failedPlacements, placement.failedPlacements);
      const since = Math.min(known.waitingSince, placement.waitingSince);
      merged.set(job, {
        job,
        tasks: [...known.tasks, ...placement.tasks],
        failedPlacements: tries,
        waitingSince: since,
      });
    }
  });
  return [...merged.values(), ...apart];
}

/**
 * Creates the admission of one job partition.
 *
 * @param options backlog and limits
 * @returns the admission
 */
export function createPlacementAdmission(options: PlacementAdmissionOptions): PlacementAdmission {
  const {
    state,
    queue,
    backlog,
    charges,
    capacityShortages: shortages,
    capacityHolds: holds,
    clock,
  } = options;
  const blockedUntil = new Map<string, number>();

  function toPlacement(work: WorkItem): Placement | null {
    const job = state.jobs.get(work.jobId);
    if (!job || job.isHeld || isTerminating(job)) return null;
    const single = findTask(state, work.workId)?.task;
    const tasks = work.workId === work.jobId ? job.tasks : [single];
    const pending = tasks.filter((task) => task?.state === 'pending') as Task[];
    const tries = backlog.failedPlacementsOf(work.workId);
    const since = work.enqueuedAt;
    return pending.length === work.taskCount
      ? { job, tasks: pending, failedPlacements: tries, waitingSince: since }
      : null;
  }

  function admit(work: WorkItem, now: number): Placement | null {
    const placement = toPlacement(work);
    if (!placement) return null;
    const { job, tasks } = placement;
    const isHolding = holds.holdingPartitionsOf(job).length > 0;
    const noRoomUntil = isHolding ? 0 : shortages.notBefore(job, tasks.length);
    if (now < noRoomUntil) {
      backlog.requeue(work, noRoomUntil, 'room on a worker');
      return null;
    }
    const charged = charges.charge(
      job.team,
      tasks.map(({ taskId }) => taskId),
    );
    if (charged.isOk()) {
      queue.recordStart(work);
      return placement;
    }
    const delay = charged.error.retryAfterMilliseconds ?? LIMIT_RETRY_MILLISECONDS;
    blockedUntil.set(job.team, now + delay);
    backlog.requeue(work, now + delay, `the upper limit of team ${job.team}`);
    return null;
  }

  return {
    take(most) {
      const now = clock.monotonicMilliseconds();
      const taken: Placement[] = [];
      for (let count = 0; count < most; count += 1) {
        const work = backlog.take((team) => now >= (blockedUntil.get(team) ?? 0));
        if (!work) break;
        const placement = admit(work, now);
        if (placement) taken.push(placement);
      }
      return merge(taken);
    },
  };
}
