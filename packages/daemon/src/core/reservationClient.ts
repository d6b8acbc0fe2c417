/**
 * Asks the owners of worker partitions for room.
 */
import type { Reservation } from '../types/peerMethods.js';

import { createFaultHandler } from '../utils/faults.js';
import { maySend } from './jobPartitionContext.js';
import type { JobPartitionContext } from './jobPartitionContext.js';
import type { Job } from './jobState.js';
import type { TargetPartitions } from './targetPartitions.js';

const RESERVE_DEADLINE_MILLISECONDS = 1_000;
/** One owner without an answer must leave time for the others within the life of a gang's reservations. */
const GANG_RESERVE_DEADLINE_MILLISECONDS = 400;
/** Long enough for a slow group commit of the intents. */
const RESERVATION_TTL_MILLISECONDS = 5_000;
/** Short, so that a gang whose owner died holds up others only briefly. */
export const GANG_RESERVATION_TTL_MILLISECONDS = 2_000;

/** What to reserve. */
export interface ReservationRequirement {
  readonly job: Job;
  readonly taskIds: readonly string[];
  readonly avoidRacks: readonly string[];
  readonly avoidWorkers: readonly string[];
  /** Whether room that is held for other work may be used. */
  readonly isUrgent: boolean;
  /** Partitions that hold room for the job, in ascending order. */
  readonly holdingPartitions: readonly number[];
}

/** Reservations at the owners of worker partitions. */
export interface ReservationClient {
  /** @returns reservations for as many tasks as fit */
  reserveSome(wish: ReservationRequirement): Promise<readonly Reservation[]>;
  /** @returns reservations for all tasks, or none */
  reserveAll(wish: ReservationRequirement): Promise<readonly Reservation[]>;
  /** Gives reservations back; those whose release is lost expire. */
  release(reservations: readonly Reservation[]): void;
}

/**
 * Creates the reservations of one job partition.
 *
 * @param context parts of the partition
 * @param targets partitions to ask
 * @returns the reservations
 */
export function createReservationClient(
  context: JobPartitionContext,
  targets: TargetPartitions,
): ReservationClient {
  const { partition, callPartition, log } = context;
  const own = partition.lease.partition;

  async function reserveAt(
    workerPartition: number,
    wish: ReservationRequirement,
    isAllOrNothing: boolean,
  ): Promise<readonly Reservation[]> {
    if (!maySend(context)) return [];
    const { job, taskIds, avoidRacks, avoidWorkers, isUrgent } = wish;
    const isGang = job.request.kind === 'gang';
    const outcome = await callPartition(
      workerPartition,
      'worker.reserve',
      {
        workerPartition,
        jobPartition: own,
        team: job.team,
        taskIds,
        resources: job.request.resources,
        isAllOrNothing,
        avoidRacks,
        avoidWorkers,
        ttlMilliseconds: isGang ? GANG_RESERVATION_TTL_MILLISECONDS : RESERVATION_TTL_MILLISECONDS,
        heldFor: job.jobId,
        isUrgent,
      },
      isGang ? GANG_RESERVE_DEADLINE_MILLISECONDS : RESERVE_DEADLINE_MILLISECONDS,
    );
    if (outcome.isOk()) return outcome.value;
    if (outcome.error.kind === 'lost') targets.recordNoAnswer(workerPartition);
    return [];
  }

  async function reserveInOrder(
    order: readonly number[],
    wish: ReservationRequirement,
  ): Promise<readonly Reservation[]> {
    const reserved: Reservation[] = [];
    let remaining = wish.taskIds;
    for (const target of order) {
      if (remaining.length === 0) break;
      const granted = await reserveAt(target, { ...wish, taskIds: remaining }, false);
      reserved.push(...granted);
      const done = new Set(granted.map(({ taskId }) => taskId));
      remaining = remaining.filter((taskId) => !done.has(taskId));
    }
    return reserved;
  }

  /** A gang that fits into one partition needs no order among partitions. */
  async function reserveInOne(wish: ReservationRequirement): Promise<readonly Reservation[]> {
    const target = targets.findForAll(wish.job.request.resources, wish.taskIds.length);
    return target === null ? [] : reserveAt(target, wish, true);
  }

  function orderOfGang({
    job,
    holdingPartitions: holders,
  }: ReservationRequirement): readonly number[] {
    const order = new Set([...targets.withCapacity(job.request.resources), ...holders]);
    return [...order].sort((left, right) => left - right);
  }

  async function reserveAll(wish: ReservationRequirement): Promise<readonly Reservation[]> {
    const together = await reserveInOne(wish);
    if (together.length === wish.taskIds.length) return together;
    // All gangs take partitions in the same order, so that they cannot hold what the other one needs next.
    const reserved = await reserveInOrder(orderOfGang(wish), wish);
    if (reserved.length === wish.taskIds.length) return reserved;
    release(reserved);
    return [];
  }

  function reserveSome(wish: ReservationRequirement): Promise<readonly Reservation[]> {
    const best = targets.bestFor(wish.job.request.resources);
    return reserveInOrder([...new Set([...wish.holdingPartitions, ...best])], wish);
  }

  function release(reservations: readonly Reservation[]): void {
    const groups = new Map<number, string[]>();
    reservations.forEach(({ workerPartition, reservationId }) => {
      const group = groups.get(workerPartition) ?? [];
      group.push(reservationId);
      groups.set(workerPartition, group);
    });
    groups.forEach((reservationIds, workerPartition) => {
      if (!maySend(context)) return;
      callPartition(
        workerPartition,
        'worker.release',
        { workerPartition, reservationIds },
        RESERVE_DEADLINE_MILLISECONDS,
      ).catch(createFaultHandler(log, 'the release of reservations failed'));
    });
  }

  return {
    reserveSome,
    reserveAll,
    release,
  };
}
