/**
 * Places tasks of one job: reserves room, starts what got some, and sees to room for what got none.
 */
import type { ConfigurationView } from '../types/configurationView.js';
import type { Reservation } from '../types/peerMethods.js';

import type { JobPartitionContext } from './jobPartitionContext.js';
import { findTask } from './jobState.js';
import type { Placement } from './placementAdmission.js';
import { priorityOf, readPolicy } from './queuePolicy.js';
import type { ReclaimRequests } from './reclaimRequests.js';
import type { ReservationRequirement, ReservationClient } from './reservationClient.js';
import type { CapacityHolds } from './capacityHolds.js';
import type { CapacityShortages } from './capacityShortages.js';
import type { ServiceRacks } from './serviceRacks.js';
import { isTerminating } from './taskRules.js';
import type { TaskStarter } from './taskStarter.js';

/** A small cell may have no worker left on which the job has not failed. Takes about two seconds. */
const TRIES_WITH_AVOIDED_WORKERS = 20;

/** What the placement of tasks needs. */
export interface TaskPlacerOptions {
  readonly context: JobPartitionContext;
  readonly configuration: ConfigurationView;
  readonly reservationClient: ReservationClient;
  readonly starter: TaskStarter;
  readonly capacityHolds: CapacityHolds;
  readonly reclaimRequests: ReclaimRequests;
  readonly capacityShortages: CapacityShortages;
  readonly serviceRacks: ServiceRacks;
}

/** Places tasks of one job. */
export interface TaskPlacer {
  /**
   * @returns monotonic time of the next try of tasks without room, in milliseconds; undefined if all had room,
   *   so that those that were not started wait for a backoff
   */
  place(placement: Placement): Promise<number | undefined>;
}

/**
 * Creates the placement of tasks of one job partition.
 *
 * @param options parts of the partition
 * @returns the placement
 */
export function createTaskPlacer(options: TaskPlacerOptions): TaskPlacer {
  const {
    context,
    configuration,
    reservationClient: reserver,
    starter,
    capacityHolds: holds,
    reclaimRequests: reclaims,
    capacityShortages: shortages,
    serviceRacks: racks,
  } = options;
  const { partition, clock } = context;
  const { state } = partition;

  function describeWish({
    job,
    tasks,
    failedPlacements: tries,
  }: Placement): ReservationRequirement {
    return {
      job,
      taskIds: tasks.map(({ taskId }) => taskId),
      avoidRacks: job.request.kind === 'service' ? racks.crowdedRacks(job) : [],
      avoidWorkers: tries < TRIES_WITH_AVOIDED_WORKERS ? job.failedWorkers : [],
      isUrgent: priorityOf(job, configuration) === 'urgent',
      holdingPartitions: holds.holdingPartitionsOf(job),
    };
  }

  function reserve(wish: ReservationRequirement): Promise<readonly Reservation[]> {
    return wish.job.request.kind === 'gang'
      ? reserver.reserveAll(wish)
      : reserver.reserveSome(wish);
  }

  function noteRacks({ job }: Placement, reservations: readonly Reservation[]): void {
    reservations.forEach(({ taskId, rack }) => {
      const task = findTask(state, taskId)?.task;
      if (task) racks.recordReplica(job, task, rack);
    });
  }

  /** Work past its aging bound gets room that smaller work may not take first. */
  function noteNoRoom(
    { job, tasks, waitingSince: since }: Placement,
    { avoidWorkers }: ReservationRequirement,
  ): void {
    if (isTerminating(job)) return;
    reclaims.requestIfEntitled({ job, count: tasks.length, waitingSince: since, avoidWorkers });
    const waited = clock.monotonicMilliseconds() - since;
    if (waited < readPolicy(configuration).agingMilliseconds) return;
    const count = job.request.kind === 'gang' ? tasks.length : 1;
    holds.holdOrRenew({ job, count, waitingSince: since, avoidWorkers });
  }

  async function place(placement: Placement): Promise<number | undefined> {
    const { job, tasks } = placement;
    const reservedAt = clock.monotonicMilliseconds();
    const wish = describeWish(placement);
    const reservations = await reserve(wish);
    if (partition.isClosed()) return undefined;
    const isShort = reservations.length < tasks.length;
    const retryAt = isShort ? shortages.record(job, tasks.length) : undefined;
    if (reservations.length === 0) {
      noteNoRoom(placement, wish);
      return retryAt;
    }
    if (job.request.kind === 'service') noteRacks(placement, reservations);
    await starter.start(job, reservations, reservedAt);
    holds.drop(job);
    return retryAt;
  }

  return { place };
}
