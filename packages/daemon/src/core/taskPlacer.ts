/**
 * Places tasks of one job: reserves capacity, starts the tasks that got a reservation, and requests holds and
 * reclaimed capacity for those that found none.
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

/**
 * Failed placements after which the workers on which the job failed are tried as well, because a small cell may
 * have no others. Reached after about 2 s.
 */
const PLACEMENTS_WITH_AVOIDED_WORKERS = 20;

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
   * @returns monotonic time before which tasks without capacity are not tried again, in milliseconds; undefined if
   *   all tasks had reservations, so that those that were not started wait for a backoff
   */
  place(placement: Placement): Promise<number | undefined>;
}

export function createTaskPlacer(options: TaskPlacerOptions): TaskPlacer {
  const {
    context,
    configuration,
    reservationClient,
    starter,
    capacityHolds,
    reclaimRequests,
    capacityShortages,
    serviceRacks,
  } = options;
  const { partition, clock } = context;
  const { state } = partition;

  function createRequirement({ job, tasks, failedPlacements }: Placement): ReservationRequirement {
    return {
      job,
      taskIds: tasks.map(({ taskId }) => taskId),
      avoidRacks: job.request.kind === 'service' ? serviceRacks.crowdedRacks(job) : [],
      avoidWorkers: failedPlacements < PLACEMENTS_WITH_AVOIDED_WORKERS ? job.failedWorkers : [],
      isUrgent: priorityOf(job, configuration) === 'urgent',
      holdingPartitions: capacityHolds.holdingPartitionsOf(job),
    };
  }

  function reserve(requirement: ReservationRequirement): Promise<readonly Reservation[]> {
    return requirement.job.request.kind === 'gang'
      ? reservationClient.reserveAll(requirement)
      : reservationClient.reserveSome(requirement);
  }

  function recordRacks({ job }: Placement, reservations: readonly Reservation[]): void {
    reservations.forEach(({ taskId, rack }) => {
      const task = findTask(state, taskId)?.task;
      if (task) serviceRacks.recordReplica(job, task, rack);
    });
  }

  /** Tasks past the aging bound get a hold, so that smaller tasks cannot take the capacity first. */
  function handleNoCapacity(
    { job, tasks, waitingSince }: Placement,
    { avoidWorkers }: ReservationRequirement,
  ): void {
    if (isTerminating(job)) return;
    reclaimRequests.requestIfEntitled({ job, count: tasks.length, waitingSince, avoidWorkers });
    const waited = clock.monotonicMilliseconds() - waitingSince;
    if (waited < readPolicy(configuration).agingMilliseconds) return;
    const count = job.request.kind === 'gang' ? tasks.length : 1;
    capacityHolds.holdOrRenew({ job, count, waitingSince, avoidWorkers });
  }

  async function place(placement: Placement): Promise<number | undefined> {
    const { job, tasks } = placement;
    const reservedAt = clock.monotonicMilliseconds();
    const requirement = createRequirement(placement);
    const reservations = await reserve(requirement);
    if (partition.isClosed()) return undefined;
    const hasUnplacedTasks = reservations.length < tasks.length;
    const retryAt = hasUnplacedTasks ? capacityShortages.record(job, tasks.length) : undefined;
    if (reservations.length === 0) {
      handleNoCapacity(placement, requirement);
      return retryAt;
    }
    if (job.request.kind === 'service') recordRacks(placement, reservations);
    await starter.start(job, reservations, reservedAt);
    capacityHolds.drop(job);
    return retryAt;
  }

  return { place };
}
