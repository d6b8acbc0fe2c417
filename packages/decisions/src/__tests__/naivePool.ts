import { RESOURCE_DIMENSIONS } from '@chicorybend/common';
import type { Resources } from '@chicorybend/common';

import type { PlacementRequest, PoolWorker } from '../index.js';

/** Absorbs rounding errors in sums of binary fractions. */
const TOLERANCE = 1e-6;
/** Bounds the count of tasks without resources; larger than any gang in the tests. */
const MAXIMUM_TASKS_PER_WORKER = 64;

interface NaiveWorker {
  rack: string;
  capacity: Resources;
  allocations: Resources[];
  isSchedulable: boolean;
}

const sumOf = (allocations: readonly Resources[], dimension: keyof Resources): number =>
  allocations.reduce((sum, amounts) => sum + amounts[dimension], 0);

/** Reference model of a pool that recomputes every sum from the list of allocations. */
export interface NaivePool {
  readonly workers: Map<string, NaiveWorker>;
  upsert(worker: PoolWorker): void;
  fits(workerId: string, resources: Resources, count?: number): boolean;
  isWithinCapacity(workerId: string): boolean;
  /** @returns allowed workers on which one task fits, in any rack */
  findAll(request: PlacementRequest): readonly string[];
  /** @returns how many tasks fit at once */
  countFits(request: PlacementRequest): number;
}

export function createNaivePool(): NaivePool {
  const workers = new Map<string, NaiveWorker>();

  const freeOf = (worker: NaiveWorker, dimension: keyof Resources): number =>
    worker.capacity[dimension] - sumOf(worker.allocations, dimension);

  function fits(workerId: string, resources: Resources, count = 1): boolean {
    const worker = workers.get(workerId)!;
    return RESOURCE_DIMENSIONS.every((dimension) => {
      const needed = count * resources[dimension];
      return needed === 0 || freeOf(worker, dimension) + TOLERANCE >= needed;
    });
  }

  const findAll = (request: PlacementRequest): readonly string[] =>
    [...workers.keys()].filter(
      (workerId) =>
        workers.get(workerId)!.isSchedulable &&
        !request.avoidWorkers.includes(workerId) &&
        fits(workerId, request.resources),
    );

  return {
    workers,
    upsert(worker) {
      const existing = workers.get(worker.workerId);
      workers.set(worker.workerId, {
        rack: worker.rack,
        capacity: worker.capacity,
        allocations: existing?.allocations ?? [],
        isSchedulable: existing?.isSchedulable ?? true,
      });
    },
    fits,
    isWithinCapacity: (workerId) =>
      RESOURCE_DIMENSIONS.every(
        (dimension) => freeOf(workers.get(workerId)!, dimension) >= -TOLERANCE,
      ),
    findAll,
    countFits: (request) =>
      findAll(request).reduce((sum, workerId) => {
        let count = 1;
        while (count < MAXIMUM_TASKS_PER_WORKER && fits(workerId, request.resources, count + 1)) {
          count += 1;
        }
        return sum + count;
      }, 0),
  };
}
