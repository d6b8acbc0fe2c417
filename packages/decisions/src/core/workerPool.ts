import { assertInvariant, RESOURCE_DIMENSIONS } from '@chicorybend/common';
import type { Resources } from '@chicorybend/common';

import type { CandidateIndex, CandidateQuery } from '../types/candidateIndex.js';
import type {
  PlacementPolicy,
  PlacementRequest,
  PoolTotals,
  PoolWorker,
  WorkerPool,
} from '../types/workerPool.js';
import type { WorkerRecord } from '../types/workerRecord.js';
import { addResources, NO_RESOURCES } from '../utils/resourceAmounts.js';
import { countFits, toChargedUnits, toCapacityUnits, toResources } from '../utils/units.js';
import type { ResourceUnits } from '../utils/units.js';
import { createCapacityClasses } from './capacityClasses.js';
import { createGridIndex } from './gridIndex.js';
import { createScanIndex } from './scanIndex.js';
import { createWorkerHolds } from './workerHolds.js';

/** Leaves most of the pool to tasks that fit now. */
const DEFAULT_MAXIMUM_HELD_FRACTION = 0.1;
const OVERCOMMIT_INVARIANT = 'no-overcommit';

/** Settings of {@link createWorkerPool}. */
export interface WorkerPoolOptions {
  /** Creates the index that is searched; by default a grid if the policy has a search order, else a scan. */
  readonly createIndex?: (policy: PlacementPolicy) => CandidateIndex;
  /** Largest fraction of the capacity that may be held for work that does not fit yet; 0.1 by default. */
  readonly maximumHeldFraction?: number;
}

const createIndexFor = (policy: PlacementPolicy): CandidateIndex =>
  policy.searchOrder ? createGridIndex(policy, policy.searchOrder) : createScanIndex(policy);

const subtractUnits = (from: ResourceUnits, units: ResourceUnits): ResourceUnits => ({
  processors: Math.max(0, from.processors - units.processors),
  memoryBytes: Math.max(0, from.memoryBytes - units.memoryBytes),
  accelerators: Math.max(0, from.accelerators - units.accelerators),
});

/** Updates the record in place; only the pool modifies it. */
function recomputeFree(worker: WorkerRecord): void {
  const freeUnits = subtractUnits(worker.capacityUnits, worker.usedUnits);
  const free = toResources(freeUnits);
  Object.assign(worker, { freeUnits, free, availableUnits: freeUnits, available: free });
  if (!worker.hold) return;
  const availableUnits = subtractUnits(freeUnits, worker.hold.units);
  Object.assign(worker, { availableUnits, available: toResources(availableUnits) });
}

function maximumPerDimension(left: Resources, right: Resources): Resources {
  return {
    processors: Math.max(left.processors, right.processors),
    memoryBytes: Math.max(left.memoryBytes, right.memoryBytes),
    accelerators: Math.max(left.accelerators, right.accelerators),
  };
}

/**
 * Creates an empty pool.
 *
 * @param policy scores the workers on which a task fits
 * @param options settings
 */
export function createWorkerPool(
  policy: PlacementPolicy,
  options: WorkerPoolOptions = {},
): WorkerPool {
  const workers = new Map<string, WorkerRecord>();
  const capacityClasses = createCapacityClasses();
  const index = (options.createIndex ?? createIndexFor)(policy);

  function refresh(worker: WorkerRecord): void {
    recomputeFree(worker);
    if (worker.isSchedulable) index.update(worker);
  }

  const holds = createWorkerHolds({
    workers,
    refresh,
    maximumHeldFraction: options.maximumHeldFraction ?? DEFAULT_MAXIMUM_HELD_FRACTION,
  });

  function charge(worker: WorkerRecord, units: ResourceUnits, sign: 1 | -1): void {
    RESOURCE_DIMENSIONS.forEach((dimension) => {
      worker.usedUnits[dimension] += sign * units[dimension];
    });
    refresh(worker);
  }

  function createRecord(worker: PoolWorker): WorkerRecord {
    const capacityUnits = toCapacityUnits(worker.capacity);
    return {
      workerId: worker.workerId,
      rack: worker.rack,
      capacity: worker.capacity,
      capacityUnits,
      usedUnits: { ...NO_RESOURCES },
      freeUnits: capacityUnits,
      free: worker.capacity,
      isSchedulable: true,
      hold: null,
      availableUnits: capacityUnits,
      available: worker.capacity,
    };
  }

  function upsert(worker: PoolWorker): void {
    const existing = workers.get(worker.workerId);
    const record = existing ?? createRecord(worker);
    if (existing) capacityClasses.remove(existing.capacityUnits);
    record.rack = worker.rack;
    record.capacity = worker.capacity;
    record.capacityUnits = toCapacityUnits(worker.capacity);
    capacityClasses.add(record.capacityUnits);
    workers.set(worker.workerId, record);
    refresh(record);
  }

  function allocate(workerId: string, resources: Resources): void {
    const worker = workers.get(workerId);
    const units = toChargedUnits(resources);
    assertInvariant(
      worker !== undefined && countFits(worker.freeUnits, units) >= 1,
      OVERCOMMIT_INVARIANT,
      () =>
        `worker ${workerId} has ${JSON.stringify(worker?.free)} free and was to be charged ${JSON.stringify(resources)}`,
    );
    charge(worker, units, 1);
  }

  function release(workerId: string, resources: Resources): void {
    const worker = workers.get(workerId);
    // Removing a worker also removed its allocations.
    if (!worker) return;
    const units = toChargedUnits(resources);
    assertInvariant(
      countFits(worker.usedUnits, units) >= 1,
      OVERCOMMIT_INVARIANT,
      () => `worker ${workerId} was to release more than it was charged`,
    );
    charge(worker, units, -1);
  }

  function findWorker(request: PlacementRequest, units: ResourceUnits): WorkerRecord | null {
    const isUsable = (worker: WorkerRecord): boolean =>
      !request.avoidWorkers.includes(worker.workerId);
    const createQuery = (isAllowed: CandidateQuery['isAllowed']): CandidateQuery => ({
      resources: request.resources,
      units,
      isAllowed,
    });
    const search = (isAllowed: CandidateQuery['isAllowed']): WorkerRecord | null =>
      holds.find(request.heldFor, createQuery(isAllowed)) ??
      index.find(createQuery(isAllowed)) ??
      (request.isUrgent ? holds.findAny(createQuery(isAllowed)) : null);
    if (request.avoidRacks.length === 0) return search(isUsable);
    const isAvoided = (worker: WorkerRecord): boolean => request.avoidRacks.includes(worker.rack);
    return (
      search((worker) => !isAvoided(worker) && isUsable(worker)) ??
      search((worker) => isAvoided(worker) && isUsable(worker))
    );
  }

  function placeSome(request: PlacementRequest, count: number): readonly string[] {
    const units = toChargedUnits(request.resources);
    const chosen: WorkerRecord[] = [];
    while (chosen.length < count) {
      const worker = findWorker(request, units);
      if (!worker) break;
      charge(worker, units, 1);
      chosen.push(worker);
    }
    chosen.forEach((worker) => charge(worker, units, -1));
    return chosen.map((worker) => worker.workerId);
  }

  function totals(): PoolTotals {
    let freeTotal = NO_RESOURCES;
    let freeLargest = NO_RESOURCES;
    let capacityTotal = NO_RESOURCES;
    workers.forEach((worker) => {
      if (!worker.isSchedulable) return;
      freeTotal = addResources(freeTotal, worker.free);
      freeLargest = maximumPerDimension(freeLargest, worker.free);
      capacityTotal = addResources(capacityTotal, worker.capacity);
    });
    return { freeTotal, freeLargest, capacityTotal };
  }

  return {
    upsert,
    remove(workerId) {
      const worker = workers.get(workerId);
      if (!worker) return;
      holds.removeWorker(worker);
      index.remove(worker);
      capacityClasses.remove(worker.capacityUnits);
      workers.delete(workerId);
    },
    setSchedulable(workerId, isSchedulable) {
      const worker = workers.get(workerId);
      if (!worker) return;
      worker.isSchedulable = isSchedulable;
      if (isSchedulable) index.update(worker);
      else index.remove(worker);
    },
    allocate,
    adopt(workerId, resources) {
      const worker = workers.get(workerId);
      if (worker) charge(worker, toChargedUnits(resources), 1);
    },
    release,
    freeOf: (workerId) => workers.get(workerId)?.free ?? null,
    place: (request) => findWorker(request, toChargedUnits(request.resources))?.workerId ?? null,
    placeAll(request, count) {
      const chosen = placeSome(request, count);
      return chosen.length === count ? chosen : null;
    },
    placeSome,
    hold: holds.hold,
    holdSome: holds.holdSome,
    dropHold: holds.drop,
    explainNeverFits: capacityClasses.explainNeverFits,
    totals,
    size: () => workers.size,
  };
}
