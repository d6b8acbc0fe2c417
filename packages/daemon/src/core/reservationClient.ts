/**
 * Reserves capacity on workers, by calls to the owners of their partitions.
 */
import type { Reservation } from '../types/peerMethods.js';

import { createFaultHandler } from '../utils/faults.js';
import { maySend } from './jobPartitionContext.js';
import type { JobPartitionContext } from './jobPartitionContext.js';
import type { Job } from './jobState.js';
import type { TargetPartitions } from './targetPartitions.js';

const RESERVE_DEADLINE_MILLISECONDS = 1_000;
/** Short enough that after one time-out the other owners still answer before a gang's reservations expire. */
const GANG_RESERVE_DEADLINE_MILLISECONDS = 400;
/** Long enough for a slow group commit of the intents, which precede the start. */
const RESERVATION_TTL_MILLISECONDS = 5_000;
/** Short, so that the reservations of a gang whose owner died block other jobs only briefly. */
export const GANG_RESERVATION_TTL_MILLISECONDS = 2_000;

/** Tasks to reserve capacity for, and where. */
export interface ReservationRequirement {
  readonly job: Job;
  readonly taskIds: readonly string[];
  readonly avoidRacks: readonly string[];
  readonly avoidWorkers: readonly string[];
  /** Whether capacity that is held for other jobs may be used. */
  readonly isUrgent: boolean;
  /** Partitions that hold capacity for the job, in ascending order. */
  readonly holdingPartitions: readonly number[];
}

/** Makes and releases reservations for one job partition. */
export interface ReservationClient {
  /** @returns reservations for as many tasks as fit */
  reserveSome(requirement: ReservationRequirement): Promise<readonly Reservation[]>;
  /** @returns reservations for all tasks, or an empty list; a partial result is released */
  reserveAll(requirement: ReservationRequirement): Promise<readonly Reservation[]>;
  /** Releases reservations without waiting for an answer; if the call is lost, they expire. */
  release(reservations: readonly Reservation[]): void;
}

export function createReservationClient(
  context: JobPartitionContext,
  targets: TargetPartitions,
): ReservationClient {
  const { partition, callPartition, log } = context;
  const ownPartition = partition.lease.partition;

  async function reserveAt(
    workerPartition: number,
    requirement: ReservationRequirement,
    isAllOrNothing: boolean,
  ): Promise<readonly Reservation[]> {
    if (!maySend(context)) return [];
    const { job, taskIds, avoidRacks, avoidWorkers, isUrgent } = requirement;
    const isGang = job.request.kind === 'gang';
    const outcome = await callPartition(
      workerPartition,
      'worker.reserve',
      {
        workerPartition,
        jobPartition: ownPartition,
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
    requirement: ReservationRequirement,
  ): Promise<readonly Reservation[]> {
    const reserved: Reservation[] = [];
    let remaining = requirement.taskIds;
    for (const target of order) {
      if (remaining.length === 0) break;
      const granted = await reserveAt(target, { ...requirement, taskIds: remaining }, false);
      reserved.push(...granted);
      const reservedIds = new Set(granted.map(({ taskId }) => taskId));
      remaining = remaining.filter((taskId) => !reservedIds.has(taskId));
    }
    return reserved;
  }

  /** A gang that fits into one partition cannot deadlock with another, so that it needs no order of partitions. */
  async function reserveInOnePartition(
    requirement: ReservationRequirement,
  ): Promise<readonly Reservation[]> {
    const target = targets.findForAll(
      requirement.job.request.resources,
      requirement.taskIds.length,
    );
    return target === null ? [] : reserveAt(target, requirement, true);
  }

  function gangPartitionOrder({
    job,
    holdingPartitions: holders,
  }: ReservationRequirement): readonly number[] {
    const order = new Set([...targets.withCapacity(job.request.resources), ...holders]);
    return [...order].sort((left, right) => left - right);
  }

  async function reserveAll(requirement: ReservationRequirement): Promise<readonly Reservation[]> {
    const reservedTogether = await reserveInOnePartition(requirement);
    if (reservedTogether.length === requirement.taskIds.length) return reservedTogether;
    // All gangs reserve in ascending order of partitions, so that no two of them hold what the other needs next.
    const reserved = await reserveInOrder(gangPartitionOrder(requirement), requirement);
    if (reserved.length === requirement.taskIds.length) return reserved;
    release(reserved);
    return [];
  }

  function reserveSome(requirement: ReservationRequirement): Promise<readonly Reservation[]> {
    const best = targets.bestFor(requirement.job.request.resources);
    return reserveInOrder([...new Set([...requirement.holdingPartitions, ...best])], requirement);
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
      ).catch(createFaultHandler(log, 'releasing reservations failed'));
    });
  }

  return {
    reserveSome,
    reserveAll,
    release,
  };
}
