/**
 * Asks the owners of worker partitions to keep room for work that has waited past its aging bound. Without it a
 * gang or a large task waits for as long as smaller work takes the room first.
 */
import type { HoldRequest } from '../types/peerMethods.js';
import { createFaultHandler } from '../utils/faults.js';
import { maySend } from './jobPartitionContext.js';
import type { JobPartitionContext } from './jobPartitionContext.js';
import type { Job } from './jobState.js';
import type { WorkerTargets } from './workerTargets.js';

const HOLD_DEADLINE_MILLISECONDS = 500;
const RENEWAL_INTERVAL_MILLISECONDS = 1_000;
/** Several renewals, so that a lost one does not give the room away; ends the holds of a dead owner. */
const HOLD_TTL_MILLISECONDS = 5_000;
/** After an attempt that found too little; spread, so that two gangs do not collide again. */
const RETRY_MILLISECONDS = 1_000;

/** Work that is to be given room. */
export interface CapacityDemand {
  readonly job: Job;
  /** Tasks that are placed together. */
  readonly count: number;
  /** Monotonic time since which they have waited, in milliseconds. */
  readonly waitingSince: number;
  readonly avoidWorkers: readonly string[];
}

/**
 * Describes a hold, as the owner of workers is asked for it.
 *
 * @param workerPartition partition to ask
 * @param need work that is to be given room
 * @param count tasks to hold room for at most
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

/** Room that is held for the work of one job partition. */
export interface CapacityHolds {
  /**
   * Holds room for tasks of a job, or renews what is held. Does nothing while room is held for another job, so
   * that one job partition holds room for one piece of work at a time.
   */
  holdOrRenew(demand: CapacityDemand): void;
  /** Takes notice of room that a partition holds for the job already. */
  recordHold(demand: CapacityDemand, workerPartition: number): void;
  /** @returns partitions that hold room for the job, in ascending order */
  holdingPartitionsOf(job: Job): readonly number[];
  /** Ends what is held for the job, because it was started or is not to be started. */
  drop(job: Job): void;
}

/** Work that found too little room to hold. */
interface Refusal {
  readonly demand: CapacityDemand;
  /** Monotonic time of the next attempt, in milliseconds. */
  readonly retryAt: number;
}

interface Hold {
  readonly demand: CapacityDemand;
  readonly partitions: Set<number>;
  /** Monotonic time before which nothing is asked again, in milliseconds. */
  nextRequestAt: number;
  isRequesting: boolean;
}

/**
 * Creates the holds of one job partition.
 *
 * @param context parts of the partition
 * @param targets partitions to ask
 * @returns the holds, none yet
 */
export function createCapacityHolds(
  context: JobPartitionContext,
  targets: WorkerTargets,
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
    ).catch(createFaultHandler(log, 'the end of a hold failed'));
  }

  function endHold(hold: Hold): void {
    if (currentHold === hold) currentHold = null;
    hold.partitions.forEach((number) => dropAtPartition(number, hold.demand.job.jobId));
    hold.partitions.clear();
  }

  /** @returns tasks that room is held for, or null if the owner gave no answer */
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
    targets.noteUnanswered(workerPartition);
    return null;
  }

  /** Gangs ask in ascending order, as they reserve. A single task cannot block another one. */
  function partitionOrder(job: Job): readonly number[] {
    const ascending = targets.all();
    if (job.request.kind === 'gang') return ascending;
    return [
      ...ascending.filter((number) => number >= ownPartition),
      ...ascending.filter((number) => number < ownPartition),
    ];
  }

  /** Gives up what an earlier request held elsewhere. */
  function dropUnconfirmed(hold: Hold, confirmed: ReadonlySet<number>): void {
    [...hold.partitions]
      .filter((number) => !confirmed.has(number))
      .forEach((number) => {
        hold.partitions.delete(number);
        dropAtPartition(number, hold.demand.job.jobId);
      });
  }

  async function requestHolds(hold: Hold, demand: CapacityDemand): Promise<void> {
    const confirmed = new Set<number>();
    let remaining = demand.count;
    for (const number of partitionOrder(hold.demand.job)) {
      if (remaining === 0) break;
      hold.partitions.add(number);
      const held = await requestFromPartition(number, demand, remaining);
      if (partition.isClosed()) return;
      // Dropped meanwhile; the drop that was sent may have arrived before the request.
      if (currentHold !== hold) {
        dropAtPartition(number, hold.demand.job.jobId);
        return;
      }
      if (held === 0) hold.partitions.delete(number);
      else confirmed.add(number);
      remaining -= held ?? 0;
    }
    if (remaining === 0) {
      dropUnconfirmed(hold, confirmed);
      return;
    }
    // Part of a gang's room held by each of two gangs would keep both from starting.
    counters.increment('holds.refused');
    const retryAt = clock.monotonicMilliseconds() + RETRY_MILLISECONDS * (0.5 + random());
    refusal = { demand, retryAt };
    endHold(hold);
  }

  /** The oldest work goes first; work that no longer asks is replaced once its hold has expired. */
  function mayReplace(
    { demand, nextRequestAt }: Hold,
    { waitingSince }: CapacityDemand,
    now: number,
  ): boolean {
    return waitingSince < demand.waitingSince || now > nextRequestAt + HOLD_TTL_MILLISECONDS;
  }

  /** Work that found too little is not overtaken by younger work until it has asked again. */
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
        .catch(createFaultHandler(log, 'a hold failed'))
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
