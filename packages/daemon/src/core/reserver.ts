/**
 * Asks the owners of worker partitions for room.
 */
import type { Resources } from '@chicorybend/common';

import type { PartitionLoad } from '../types/partition.js';
import type { Reservation } from '../types/peerMethods.js';

import { createFaultHandler } from '../utils/faults.js';
import { maySend } from './jobContext.js';
import type { JobContext } from './jobContext.js';
import type { Job } from './jobState.js';

const RESERVE_DEADLINE_MILLISECONDS = 1_000;
/** Long enough for a slow group commit of the intents. */
const RESERVATION_TTL_MILLISECONDS = 5_000;
/** Short, so that a gang whose owner died holds up others only briefly. */
export const GANG_RESERVATION_TTL_MILLISECONDS = 2_000;
/** Bounds the calls for work that fits nowhere now. */
const MAXIMUM_TARGETS = 4;

/** What to reserve. */
export interface ReservationWish {
  readonly job: Job;
  readonly taskIds: readonly string[];
  readonly avoidRacks: readonly string[];
  readonly avoidWorkers: readonly string[];
}

/** Reservations at the owners of worker partitions. */
export interface Reserver {
  /** @returns reservations for as many tasks as fit */
  reserveSome(wish: ReservationWish): Promise<readonly Reservation[]>;
  /** @returns reservations for all tasks, or none */
  reserveAll(wish: ReservationWish): Promise<readonly Reservation[]>;
  /** Gives reservations back; those whose release is lost expire. */
  release(reservations: readonly Reservation[]): void;
}

function fits(load: PartitionLoad, resources: Resources): boolean {
  const { freeLargest } = load;
  return (
    freeLargest.processors >= resources.processors &&
    freeLargest.memoryBytes >= resources.memoryBytes &&
    freeLargest.accelerators >= resources.accelerators
  );
}

/**
 * Creates the reservations of one job partition.
 *
 * @param context parts of the partition
 * @returns the reservations
 */
export function createReserver(context: JobContext): Reserver {
  const { partition, callPartition, directory, loadBoard, random, log } = context;
  const own = partition.lease.partition;

  function allPartitions(): number[] {
    return Array.from({ length: directory.partitionCount }, (_, index) => index).filter(
      (number) => directory.ownerOf(number) !== null,
    );
  }

  /** Partitions with advertised room, in a random order that prefers much room; unknown ones go last. */
  function rank(resources: Resources): number[] {
    const loads = loadBoard.loads();
    const scored = allPartitions().map((number) => {
      const load = loads.get(number);
      if (!load) return { number, score: random() - 1 };
      // Scores are spread at random, so that many owners do not all choose the same partition.
      const isRoomy = fits(load, resources);
      return { number, score: isRoomy ? load.freeTotal.processors * (0.5 + random()) : -2 };
    });
    return scored
      .filter(({ number, score }) => score > -2 || number === own)
      .sort((left, right) => right.score - left.score)
      .map(({ number }) => number);
  }

  function targetsOf(resources: Resources): readonly number[] {
    const ranked = rank(resources);
    const first = ranked.includes(own) ? [own] : [];
    const others = ranked.filter((number) => number !== own);
    return [...first, ...others].slice(0, MAXIMUM_TARGETS);
  }

  async function reserveAt(
    workerPartition: number,
    wish: ReservationWish,
    isAllOrNothing: boolean,
  ): Promise<readonly Reservation[]> {
    if (!maySend(context)) return [];
    const { job, taskIds, avoidRacks, avoidWorkers } = wish;
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
      },
      RESERVE_DEADLINE_MILLISECONDS,
    );
    return outcome.isOk() ? outcome.value : [];
  }

  async function reserveInOrder(
    targets: readonly number[],
    wish: ReservationWish,
  ): Promise<readonly Reservation[]> {
    const reserved: Reservation[] = [];
    let remaining = wish.taskIds;
    for (const target of targets) {
      if (remaining.length === 0) break;
      const granted = await reserveAt(target, { ...wish, taskIds: remaining }, false);
      reserved.push(...granted);
      const done = new Set(granted.map(({ taskId }) => taskId));
      remaining = remaining.filter((taskId) => !done.has(taskId));
    }
    return reserved;
  }

  /** A gang that fits into one partition needs no order among partitions. */
  async function reserveInOne(wish: ReservationWish): Promise<readonly Reservation[]> {
    const [target] = targetsOf(wish.job.request.resources);
    return target === undefined ? [] : reserveAt(target, wish, true);
  }

  async function reserveAll(wish: ReservationWish): Promise<readonly Reservation[]> {
    const together = await reserveInOne(wish);
    if (together.length === wish.taskIds.length) return together;
    // All gangs take partitions in the same order, so that they cannot hold what the other one needs next.
    const reserved = await reserveInOrder(allPartitions(), wish);
    if (reserved.length === wish.taskIds.length) return reserved;
    release(reserved);
    return [];
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
    reserveSome: (wish) => reserveInOrder(targetsOf(wish.job.request.resources), wish),
    reserveAll,
    release,
  };
}
