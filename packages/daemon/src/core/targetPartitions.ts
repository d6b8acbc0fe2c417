/**
 * Chooses the worker partitions to ask for capacity, from advertised loads and recent failures to answer.
 */
import type { Resources } from '@chicorybend/common';
import { addResources, coversResources, NO_RESOURCES } from '@chicorybend/decisions';

import type { PartitionLoad } from '../types/partition.js';

import type { JobPartitionContext } from './jobPartitionContext.js';

/** Limits the calls for work that fits nowhere at present. */
const MAXIMUM_TARGETS = 4;
/**
 * Mean time for which an owner that did not answer is skipped. Calling it again would cost each placement the whole
 * deadline of a call, which for a gang is most of the lifetime of its reservations.
 */
const NO_ANSWER_SKIP_MILLISECONDS = 2_000;

/** Worker partitions to ask for capacity. */
export interface TargetPartitions {
  /** @returns partitions whose owner is neither silent nor being skipped, in ascending order */
  responsive(): readonly number[];
  /** @returns those of `responsive` that may have capacity for at least one task */
  withCapacity(resources: Resources): readonly number[];
  /** @returns a few partitions that may have capacity: the own one first, then by free capacity */
  bestFor(resources: Resources): readonly number[];
  /** @returns a partition that advertises enough capacity for all tasks together, or null */
  findForAll(resources: Resources, count: number): number | null;
  /** Skips a partition for a while, because its owner did not answer. */
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
 * Creates the selection for one job partition.
 *
 * @param context context of the job partition
 * @returns the selection, which skips no partition yet
 */
export function createTargetPartitions(context: JobPartitionContext): TargetPartitions {
  const { partition, directory, loadBoard, clock, random } = context;
  const ownPartition = partition.lease.partition;
  const skippedUntil = new Map<number, number>();

  function isResponsive(candidate: number): boolean {
    return clock.monotonicMilliseconds() >= (skippedUntil.get(candidate) ?? 0);
  }

  function responsive(): readonly number[] {
    return Array.from({ length: directory.partitionCount }, (_, index) => index).filter(
      (candidate) =>
        directory.ownerOf(candidate) !== null &&
        !directory.isOwnerSilent(candidate) &&
        isResponsive(candidate),
    );
  }

  /** Partitions with advertised capacity, at random but weighted by free capacity; unknown loads go last. */
  function rankPartitions(resources: Resources): readonly number[] {
    const loads = loadBoard.loads();
    const scored = responsive().map((candidate) => {
      const load = loads.get(candidate);
      if (!load) return { candidate, score: random() - 1 };
      // Random scores keep many owners from all choosing the same partition.
      const hasCapacity = fits(load, resources);
      return { candidate, score: hasCapacity ? load.freeTotal.processors * (0.5 + random()) : -2 };
    });
    return scored
      .filter(({ candidate, score }) => score > -2 || candidate === ownPartition)
      .sort((left, right) => right.score - left.score)
      .map(({ candidate }) => candidate);
  }

  return {
    responsive,
    withCapacity(resources) {
      const loads = loadBoard.loads();
      return responsive().filter((candidate) => {
        const load = loads.get(candidate);
        return !load || fits(load, resources);
      });
    },
    bestFor(resources) {
      const ranked = rankPartitions(resources);
      const ownFirst = ranked.includes(ownPartition) ? [ownPartition] : [];
      const others = ranked.filter((candidate) => candidate !== ownPartition);
      return [...ownFirst, ...others].slice(0, MAXIMUM_TARGETS);
    },
    findForAll(resources, count) {
      const loads = loadBoard.loads();
      const partitionsWithCapacity = responsive().filter((candidate) => {
        const load = loads.get(candidate);
        return load !== undefined && fitsAll(load, resources, count);
      });
      if (partitionsWithCapacity.includes(ownPartition)) return ownPartition;
      return partitionsWithCapacity[Math.floor(random() * partitionsWithCapacity.length)] ?? null;
    },
    recordNoAnswer(candidate) {
      const skipUntil =
        clock.monotonicMilliseconds() + NO_ANSWER_SKIP_MILLISECONDS * (0.5 + random());
      skippedUntil.set(candidate, skipUntil);
    },
  };
}
