/**
 * Asks the owners of worker partitions to keep room for work that has waited past its aging bound. Without it a
 * gang or a large task waits for as long as smaller work takes the room first.
 */
import type { HoldRequest } from '../types/peerMethods.js';
import { createFaultHandler } from '../utils/faults.js';
import { maySend } from './jobPartitionContext.js';
import type { JobPartitionContext } from './jobPartitionContext.js';
import type { Job } from './jobState.js';
import type { TargetPartitions } from './targetPartitions.js';

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
  { job, waitingSince: since, avoidWorkers }: CapacityDemand,
  count: number,
  now: number,
): HoldRequest {
  return {
    workerPartition,
    workId: job.jobId,
    resources: job.request.resources,
    count,
    waitedMilliseconds: now - since,
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
  holdOrRenew(need: CapacityDemand): void;
  /** Takes notice of room that a partition holds for the job already. */
  recordHold(need: CapacityDemand, workerPartition: number): void;
  /** @returns partitions that hold room for the job, in ascending order */
  holdingPartitionsOf(job: Job): readonly number[];
  /** Ends what is held for the job, because it was started or is not to be started. */
  drop(job: Job): void;
}

/** Work that found too little room to hold. */
interface Refusal {
  readonly need: CapacityDemand;
  /** Monotonic time of the next attempt, in milliseconds. */
  readonly retryAt: number;
}

interface Hold {
  readonly need: CapacityDemand;
  readonly partitions: Set<number>;
  /** Monotonic time before which nothing is asked again, in milliseconds. */
  notBefore: number;
  isAsking: boolean;
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
  targets: TargetPartitions,
): CapacityHolds {
  const { partition, callPartition, clock, random, counters, log } = context;
  const own = partition.lease.partition;
  let current: Hold | null = null;
  let refused: Refusal | null = null;

  function dropAt(workerPartition: number, workId: string): void {
    if (!maySend(context)) return;
    callPartition(
      workerPartition,
      'worker.drop-hold',
      { workerPartition, workId },
      HOLD_DEADLINE_MILLISECONDS,
    ).catch(createFaultHandler(log, 'the end of a hold failed'));
  }

  function end(hold: Hold): void {
    if (current === hold) current = null;
    hold.partitions.forEach((number) => dropAt(number, hold.need.job.jobId));
    hold.partitions.clear();
  }

  /** @returns tasks that room is held for, or null if the owner gave no answer */
  async function askAt(
    workerPartition: number,
    need: CapacityDemand,
    count: number,
  ): Promise<number | null> {
    if (!maySend(context)) return 0;
    const outcome = await callPartition(
      workerPartition,
      'worker.hold',
      createHoldRequest(workerPartition, need, count, clock.monotonicMilliseconds()),
      HOLD_DEADLINE_MILLISECONDS,
    );
    if (outcome.isOk()) return outcome.value.held;
    if (outcome.error.kind !== 'lost') return 0;
    targets.recordNoAnswer(workerPartition);
    return null;
  }

  /** Gangs ask in ascending order, as they reserve. A single task cannot block another one. */
  function orderOf(job: Job): readonly number[] {
    const ascending = targets.responsive();
    if (job.request.kind === 'gang') return ascending;
    return [
      ...ascending.filter((number) => number >= own),
      ...ascending.filter((number) => number < own),
    ];
  }

  /** Gives up what an earlier request held elsewhere. */
  function dropOthers(hold: Hold, kept: ReadonlySet<number>): void {
    [...hold.partitions]
      .filter((number) => !kept.has(number))
      .forEach((number) => {
        hold.partitions.delete(number);
        dropAt(number, hold.need.job.jobId);
      });
  }

  async function ask(hold: Hold, need: CapacityDemand): Promise<void> {
    const kept = new Set<number>();
    let missing = need.count;
    for (const number of orderOf(hold.need.job)) {
      if (missing === 0) break;
      hold.partitions.add(number);
      const held = await askAt(number, need, missing);
      if (partition.isClosed()) return;
      // Dropped meanwhile; the drop that was sent may have arrived before the request.
      if (current !== hold) {
        dropAt(number, hold.need.job.jobId);
        return;
      }
      if (held === 0) hold.partitions.delete(number);
      else kept.add(number);
      missing -= held ?? 0;
    }
    if (missing === 0) {
      dropOthers(hold, kept);
      return;
    }
    // Part of a gang's room held by each of two gangs would keep both from starting.
    counters.increment('holds.refused');
    const retryAt = clock.monotonicMilliseconds() + RETRY_MILLISECONDS * (0.5 + random());
    refused = { need, retryAt };
    end(hold);
  }

  /** The oldest work goes first; work that no longer asks is replaced once its hold has expired. */
  function isReplaced(
    { need, notBefore }: Hold,
    { waitingSince: since }: CapacityDemand,
    now: number,
  ): boolean {
    return since < need.waitingSince || now > notBefore + HOLD_TTL_MILLISECONDS;
  }

  /** Work that found too little is not overtaken by younger work until it has asked again. */
  function mustWait({ job, waitingSince: since }: CapacityDemand, now: number): boolean {
    if (!refused) return false;
    if (refused.need.job === job) return now < refused.retryAt;
    return since > refused.need.waitingSince && now < refused.retryAt + RETRY_MILLISECONDS;
  }

  function findHold(need: CapacityDemand, now: number): Hold | null {
    if (current?.need.job === need.job) return current;
    if (current && !isReplaced(current, need, now)) return null;
    if (mustWait(need, now)) return null;
    if (current) end(current);
    counters.increment('holds.asked');
    current = { need, partitions: new Set(), notBefore: now, isAsking: false };
    return current;
  }

  return {
    holdOrRenew(need) {
      const now = clock.monotonicMilliseconds();
      const hold = findHold(need, now);
      if (hold === null || hold.isAsking || now < hold.notBefore) return;
      hold.notBefore = now + RENEWAL_INTERVAL_MILLISECONDS;
      hold.isAsking = true;
      ask(hold, need)
        .catch(createFaultHandler(log, 'a hold failed'))
        .finally(() => {
          hold.isAsking = false;
        });
    },
    recordHold(need, workerPartition) {
      const notBefore = clock.monotonicMilliseconds() + RENEWAL_INTERVAL_MILLISECONDS;
      current ??= { need, partitions: new Set(), notBefore, isAsking: false };
      if (current.need.job === need.job) current.partitions.add(workerPartition);
    },
    holdingPartitionsOf: (job) =>
      current?.need.job === job ? [...current.partitions].sort((left, right) => left - right) : [],
    drop(job) {
      if (current?.need.job === job) end(current);
    },
  };
}
