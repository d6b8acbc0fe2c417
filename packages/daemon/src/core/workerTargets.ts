/**
 * Chooses the worker partitions that are asked for room, from advertised loads and recent answers.
 */
import type { Resources } from '@chicorybend/common';
import { addResources, coversResources, NO_RESOURCES } from '@chicorybend/decisions';

import type { PartitionLoad } from '../types/partition.js';

import type { JobPartitionContext } from './jobPartitionContext.js';

/** Bounds the calls for work that fits nowhere now. */
const MAXIMUM_TARGETS = 4;
/**
 * An owner that gave no answer is left out for about this long. Asking it again for each placement would cost
 * each the whole deadline of a call, which for a gang is most of the life of its reservations.
 */
const UNANSWERED_MILLISECONDS = 2_000;

/** Partitions to ask for room. */
export interface WorkerTargets {
  /** @returns partitions with an owner that answers, in ascending order */
  all(): readonly number[];
  /** @returns those of `all` that may have room for at least one task */
  withRoom(resources: Resources): readonly number[];
  /** @returns a few partitions that may have room, the best first */
  best(resources: Resources): readonly number[];
  /** @returns a partition that advertises room for all tasks together, or null */
  forAll(resources: Resources, count: number): number | null;
  /** Notes that an owner gave no answer. */
  noteUnanswered(partition: number): void;
}

function fits(load: PartitionLoad, resources: Resources): boolean {
  return coversResources(load.freeLargest, resources);
}

function fitsAll(load: PartitionLoad, resources: Resources, count: number): boolean {
  const needed = addResources(NO_RESOURCES, resources, count);
  return fits(load, resources) && coversResources(load.freeTotal, needed);
}

/**
 * Creates the choice for one job partition.
 *
 * @param context parts of the partition
 * @returns the choice
 */
export function createWorkerTargets(context: JobPartitionContext): WorkerTargets {
  const { partition, directory, loadBoard, clock, random } = context;
  const own = partition.lease.partition;
  const unansweredUntil = new Map<number, number>();

  function isAnswering(number: number): boolean {
    return clock.monotonicMilliseconds() >= (unansweredUntil.get(number) ?? 0);
  }

  function all(): readonly number[] {
    return Array.from({ length: directory.partitionCount }, (_, index) => index).filter(
      (number) => directory.ownerOf(number) !== null && isAnswering(number),
    );
  }

  /** Partitions with advertised room, in a random order that prefers much room; unknown ones go last. */
  function rank(resources: Resources): readonly number[] {
    const loads = loadBoard.loads();
    const scored = all().map((number) => {
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

  return {
    all,
    withRoom(resources) {
      const loads = loadBoard.loads();
      return all().filter((number) => {
        const load = loads.get(number);
        return !load || fits(load, resources);
      });
    },
    best(resources) {
      const ranked = rank(resources);
      const first = ranked.includes(own) ? [own] : [];
      const others = ranked.filter((number) => number !== own);
      return [...first, ...others].slice(0, MAXIMUM_TARGETS);
    },
    forAll(resources, count) {
      const loads = loadBoard.loads();
      const roomy = all().filter((number) => {
        const load = loads.get(number);
        return load !== undefined && fitsAll(load, resources, count);
      });
      if (roomy.includes(own)) return own;
      return roomy[Math.floor(random() * roomy.length)] ?? null;
    },
    noteUnanswered(number) {
      const until = clock.monotonicMilliseconds() + UNANSWERED_MILLISECONDS * (0.5 + random());
      unansweredUntil.set(number, until);
    },
  };
}
