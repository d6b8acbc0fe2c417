/**
 * Asks the owners of worker partitions to hold capacity for tasks that have waited past the aging bound. Without
 * a hold, a gang or a large task would starve while smaller tasks take every piece of capacity that becomes free.
 */
import type { HoldRequest } from '../types/peerMethods.js';
import { createFaultHandler } from '../utils/faults.js';
import { maySend } from './jobPartitionContext.js';
import type { JobPartitionContext } from './jobPartitionContext.js';
import type { Job } from './jobState.js';
import type { TargetPartitions } from './targetPartitions.js';

const HOLD_DEADLINE_MILLISECONDS = 500;
const RENEWAL_INTERVAL_MILLISECONDS = 1_000;
/** Spans several renewals, so that a lost one does not end the hold. Also ends the holds of a dead owner. */
const HOLD_TTL_MILLISECONDS = 5_000;
/** Delay after a hold that found too little capacity; randomised, so that two gangs do not collide again. */
const RETRY_MILLISECONDS = 1_000;

/** Tasks of one job that need capacity. */
export interface CapacityDemand {
  readonly job: Job;
  /** Number of tasks. */
  readonly count: number;
  /** Monotonic time at which the tasks began to wait, in milliseconds. */
  readonly waitingSince: number;
  readonly avoidWorkers: readonly string[];
}

/**
 * Creates the parameters of a request for a hold.
 *
 * @param workerPartition partition that receives the request
 * @param demand tasks that need capacity
 * @param count maximum number of tasks to hold capacity for
 * @param now monotonic time in milliseconds
 * @returns the request
 */
export function createHoldRequest(
  workerPartition: number,
  { job, waitingSince, avoidWorkers }: CapacityDemand,
  count: number,
  now: number,
): HoldRequest {
  return {
    workerPartition,
    workId: job.jobId,
    resources: job.request.resources,
    count,
    waitedMilliseconds: now - waitingSince,
    avoidWorkers,
    ttlMilliseconds: HOLD_TTL_MILLISECONDS,
  };
}

/** Capacity that is held for jobs of one job partition. */
export interface CapacityHolds {
  /**
   * Holds capacity for a job, or renews its hold. A job partition has one hold at a time, so that this does
   * nothing while capacity is held for another job, unless the other hold is for younger tasks or has expired.
   */
  holdOrRenew(demand: CapacityDemand): void;
  /** Records that a partition holds capacity for the job as the result of a reclaim request. */
  recordHold(demand: CapacityDemand, workerPartition: number): void;
  /** @returns partitions that hold capacity for the job, in ascending order */
  holdingPartitionsOf(job: Job): readonly number[];
  /** Ends the hold of the job, because the job was started, cancelled or has failed. */
  drop(job: Job): void;
}

/** A hold that was given up, because there was too little capacity. */
interface Refusal {
  readonly demand: CapacityDemand;
  /** Monotonic time before which the job does not ask again, in milliseconds. */
  readonly retryAt: number;
}

interface Hold {
  readonly demand: CapacityDemand;
  /** Partitions that hold capacity or may do so, because they did not answer. */
  readonly partitions: Set<number>;
  /** Monotonic time of the next request, in milliseconds. */
  nextRequestAt: number;
  isRequesting: boolean;
}

export function createCapacityHolds(
  context: JobPartitionContext,
  targets: TargetPartitions,
): CapacityHolds {
  const { partition, callPartition, clock, random, counters, log } = context;
  const ownPartition = partition.lease.partition;
  let currentHold: Hold | null = null;
  let refusal: Refusal | null = null;

  function dropAtPartition(workerPartition: number, workId: string): void {
    if (!maySend(context)) return;
    callPartition(
      workerPartition,
      'worker.drop-hold',
      { workerPartition, workId },
      HOLD_DEADLINE_MILLISECONDS,
    ).catch(createFaultHandler(log, 'dropping a capacity hold failed'));
  }

  function endHold(hold: Hold): void {
    if (currentHold === hold) currentHold = null;
    hold.partitions.forEach((workerPartition) =>
      dropAtPartition(workerPartition, hold.demand.job.jobId),
    );
    hold.partitions.clear();
  }

  /** @returns number of tasks that capacity is held for, or null if the owner did not answer */
  async function requestFromPartition(
    workerPartition: number,
    demand: CapacityDemand,
    count: number,
  ): Promise<number | null> {
    if (!maySend(context)) return 0;
    const outcome = await callPartition(
      workerPartition,
      'worker.hold',
      createHoldRequest(workerPartition, demand, count, clock.monotonicMilliseconds()),
      HOLD_DEADLINE_MILLISECONDS,
    );
    if (outcome.isOk()) return outcome.value.held;
    if (outcome.error.kind !== 'lost') return 0;
    targets.recordNoAnswer(workerPartition);
    return null;
  }

  /**
   * Gangs ask in ascending order, as they do for reservations, to avoid deadlocks. A single task
   * cannot deadlock, so that its requests begin at the partition of its job.
   */
  function partitionOrder(job: Job): readonly number[] {
    const ascending = targets.responsive();
    if (job.request.kind === 'gang') return ascending;
    return [
      ...ascending.filter((workerPartition) => workerPartition >= ownPartition),
      ...ascending.filter((workerPartition) => workerPartition < ownPartition),
    ];
  }

  /** Drops holds of earlier requests at partitions that are no longer needed. */
  function dropUnconfirmed(hold: Hold, confirmed: ReadonlySet<number>): void {
    [...hold.partitions]
      .filter((workerPartition) => !confirmed.has(workerPartition))
      .forEach((workerPartition) => {
        hold.partitions.delete(workerPartition);
        dropAtPartition(workerPartition, hold.demand.job.jobId);
      });
  }

  async function requestHolds(hold: Hold, demand: CapacityDemand): Promise<void> {
    const confirmed = new Set<number>();
    let remaining = demand.count;
    for (const workerPartition of partitionOrder(hold.demand.job)) {
      if (remaining === 0) break;
      hold.partitions.add(workerPartition);
      const held = await requestFromPartition(workerPartition, demand, remaining);
      if (partition.isClosed()) return;
      // The hold was dropped meanwhile. That drop may have arrived before this request, so it is sent again.
      if (currentHold !== hold) {
        dropAtPartition(workerPartition, hold.demand.job.jobId);
        return;
      }
      if (held === 0) hold.partitions.delete(workerPartition);
      else confirmed.add(workerPartition);
      remaining -= held ?? 0;
    }
    if (remaining === 0) {
      dropUnconfirmed(hold, confirmed);
      return;
    }
    // If two gangs each held part of the capacity that they need, neither could start.
    counters.increment('holds.refused');
    const retryAt = clock.monotonicMilliseconds() + RETRY_MILLISECONDS * (0.5 + random());
    refusal = { demand, retryAt };
    endHold(hold);
  }

  /** Tasks that have waited longer replace a hold. A hold that is no longer renewed is replaced after its expiry. */
  function mayReplace(
    { demand, nextRequestAt }: Hold,
    { waitingSince }: CapacityDemand,
    now: number,
  ): boolean {
    return waitingSince < demand.waitingSince || now > nextRequestAt + HOLD_TTL_MILLISECONDS;
  }

  /** Younger tasks may not take the place of a refused hold before its job has asked again. */
  function mustBackOff({ job, waitingSince }: CapacityDemand, now: number): boolean {
    if (!refusal) return false;
    if (refusal.demand.job === job) return now < refusal.retryAt;
    return waitingSince > refusal.demand.waitingSince && now < refusal.retryAt + RETRY_MILLISECONDS;
  }

  function acquireHold(demand: CapacityDemand, now: number): Hold | null {
    if (currentHold?.demand.job === demand.job) return currentHold;
    if (currentHold && !mayReplace(currentHold, demand, now)) return null;
    if (mustBackOff(demand, now)) return null;
    if (currentHold) endHold(currentHold);
    counters.increment('holds.asked');
    currentHold = { demand, partitions: new Set(), nextRequestAt: now, isRequesting: false };
    return currentHold;
  }

  return {
    holdOrRenew(demand) {
      const now = clock.monotonicMilliseconds();
      const hold = acquireHold(demand, now);
      if (hold === null || hold.isRequesting || now < hold.nextRequestAt) return;
      hold.nextRequestAt = now + RENEWAL_INTERVAL_MILLISECONDS;
      hold.isRequesting = true;
      requestHolds(hold, demand)
        .catch(createFaultHandler(log, 'request to hold capacity failed'))
        .finally(() => {
          hold.isRequesting = false;
        });
    },
    recordHold(demand, workerPartition) {
      const nextRequestAt = clock.monotonicMilliseconds() + RENEWAL_INTERVAL_MILLISECONDS;
      currentHold ??= { demand, partitions: new Set(), nextRequestAt, isRequesting: false };
      if (currentHold.demand.job === demand.job) currentHold.partitions.add(workerPartition);
    },
    holdingPartitionsOf: (job) =>
      currentHold?.demand.job === job
        ? [...currentHold.partitions].sort((left, right) => left - right)
        : [],
    drop(job) {
      if (currentHold?.demand.job === job) endHold(currentHold);
    },
  };
}
