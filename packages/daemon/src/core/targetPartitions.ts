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
const NO_ANSWER_SKIP_MILLISECONDS = 2_000;

/** Partitions to ask for room. */
export interface TargetPartitions {
  /** @returns partitions with an owner that answers, in ascending order */
  responsive(): readonly number[];
  /** @returns those of `all` that may have room for at least one task */
  withCapacity(resources: Resources): readonly number[];
  /** @returns a few partitions that may have room, the best first */
  bestFor(resources: Resources): readonly number[];
  /** @returns a partition that advertises room for all tasks together, or null */
  findForAll(resources: Resources, count: number): number | null;
  /** Notes that an owner gave no answer. */
  recordNoAnswer(partition: number): void;
}

function fits(load: PartitionLoad, resources: Resources): boolean {
  return coversResources(load.freeLargest, resources);
}

function fitsAll(load: PartitionLoad, resources: Resources, count: number): boolean {
  const totalResources = addResources(NO_RESOURCES, resources, count);
  return fits(load, resources) && coversResources(load.freeTotal, totalResources);
}

/**
 * Creates the choice for one job partition.
 *
 * @param context parts of the partition
 * @returns the choice
 */
export function createTargetPartitions(context: JobPartitionContext): TargetPartitions {
  const { partition, directory, loadBoard, clock, random } = context;
  const ownPartition = partition.lease.partition;
  const skippedUntil = new Map<number, number>();

  function isResponsive(number: number): boolean {
    return clock.monotonicMilliseconds() >= (skippedUntil.get(number) ?? 0);
  }

  function responsive(): readonly number[] {
    return Array.from({ length: directory.partitionCount }, (_, index) => index).filter(
      (number) => directory.ownerOf(number) !== null && isResponsive(number),
    );
  }

  /** Partitions with advertised room, in a random order that prefers much room; unknown ones go last. */
  function rankPartitions(resources: Resources): readonly number[] {
    const loads = loadBoard.loads();
    const scored = responsive().map((number) => {
      const load = loads.get(number);
      if (!load) return { number, score: random() - 1 };
      // Scores are spread at random, so that many owners do not all choose the same partition.
      const hasCapacity = fits(load, resources);
      return { number, score: hasCapacity ? load.freeTotal.processors * (0.5 + random()) : -2 };
    });
    return scored
      .filter(({ number, score }) => score > -2 || number === ownPartition)
      .sort((left, right) => right.score - left.score)
      .map(({ number }) => number);
  }

  return {
    responsive: responsive,
    withCapacity(resources) {
      const loads = loadBoard.loads();
      return responsive().filter((number) => {
        const load = loads.get(number);
        return !load || fits(load, resources);
      });
    },
    bestFor(resources) {
      const ranked = rankPartitions(resources);
      const ownFirst = ranked.includes(ownPartition) ? [ownPartition] : [];
      const others = ranked.filter((number) => number !== ownPartition);
      return [...ownFirst, ...others].slice(0, MAXIMUM_TARGETS);
    },
    findForAll(resources, count) {
      const loads = loadBoard.loads();
      const partitionsWithCapacity = responsive().filter((number) => {
        const load = loads.get(number);
        return load !== undefined && fitsAll(load, resources, count);
      });
      if (partitionsWithCapacity.includes(ownPartition)) return ownPartition;
      return partitionsWithCapacity[Math.floor(random() * partitionsWithCapacity.length)] ?? null;
    },
    recordNoAnswer(number) {
      const skipUntil =
        clock.monotonicMilliseconds() + NO_ANSWER_SKIP_MILLISECONDS * (0.5 + random());
      skippedUntil.set(number, skipUntil);
    },
  };
}
