import { RESOURCE_DIMENSIONS } from '@chicorybend/common';

import type { CandidateQuery } from '../types/candidateIndex.js';
import type { PlacementRequest } from '../types/workerPool.js';
import type { WorkerRecord } from '../types/workerRecord.js';
import { NO_RESOURCES } from '../utils/resourceAmounts.js';
import { countFits, toChargedUnits } from '../utils/units.js';
import type { ResourceUnits } from '../utils/units.js';

/** What the holds of a pool need. */
export interface WorkerHoldsOptions {
  readonly workers: ReadonlyMap<string, WorkerRecord>;
  /** Takes notice of a worker whose reservation changed. */
  readonly refresh: (worker: WorkerRecord) => void;
  readonly maximumHeldFraction: number;
}

/** Room that is kept for work that does not fit yet. */
export interface WorkerHolds {
  hold(workId: string, request: PlacementRequest, count: number): boolean;
  holdSome(workId: string, request: PlacementRequest, count: number): number;
  drop(workId: string): void;
  /** Takes a worker that leaves the pool out of its hold. */
  forget(worker: WorkerRecord): void;
  /** @returns worker with held room, or null */
  find(workId: string | undefined, query: CandidateQuery): WorkerRecord | null;
  /** @returns worker with room that is held for any work, or null */
  findAny(query: CandidateQuery): WorkerRecord | null;
}

/** Room for one more task on a worker. */
interface Slot {
  readonly worker: WorkerRecord;
  /** Amount that has to become free for it, as a fraction of the worker. */
  readonly missing: number;
}

const scale = (units: ResourceUnits, factor: number): ResourceUnits => ({
  processors: factor * units.processors,
  memoryBytes: factor * units.memoryBytes,
  accelerators: factor * units.accelerators,
});

/** Largest fraction of a worker that has to become free before so many tasks fit. */
function computeMissing({ freeUnits, capacityUnits }: WorkerRecord, needed: ResourceUnits): number {
  return RESOURCE_DIMENSIONS.reduce((most, dimension) => {
    const missing = needed[dimension] - freeUnits[dimension];
    return missing > 0 ? Math.max(most, missing / capacityUnits[dimension]) : most;
  }, 0);
}

function listSlots(worker: WorkerRecord, units: ResourceUnits, count: number): readonly Slot[] {
  const slots = Math.min(count, countFits(worker.capacityUnits, units));
  return Array.from({ length: slots }, (_, index) => ({
    worker,
    missing: computeMissing(worker, scale(units, index + 1)),
  }));
}

/**
 * Creates the holds of a pool.
 *
 * @param options what they need
 * @returns holds, none yet
 */
export function createWorkerHolds(options: WorkerHoldsOptions): WorkerHolds {
  const holds = new Map<string, Set<WorkerRecord>>();
  const held: ResourceUnits = { ...NO_RESOURCES };

  function countHeld(units: ResourceUnits, sign: 1 | -1): void {
    RESOURCE_DIMENSIONS.forEach((dimension) => {
      held[dimension] += sign * units[dimension];
    });
  }

  /** Accelerators are not limited, because work that needs none keeps off them anyway. */
  function isWithinLimit(units: ResourceUnits): boolean {
    const all = { ...NO_RESOURCES };
    options.workers.forEach(({ capacityUnits }) => {
      all.processors += capacityUnits.processors;
      all.memoryBytes += capacityUnits.memoryBytes;
    });
    const most = scale(all, options.maximumHeldFraction);
    return (
      held.processors + units.processors <= most.processors &&
      held.memoryBytes + units.memoryBytes <= most.memoryBytes
    );
  }

  /** The slots for which the least has to become free. */
  function chooseSlots(
    request: PlacementRequest,
    units: ResourceUnits,
    count: number,
  ): readonly Slot[] {
    return [...options.workers.values()]
      .filter(
        ({ isSchedulable, reservation, workerId }) =>
          isSchedulable && reservation === null && !request.avoidWorkers.includes(workerId),
      )
      .flatMap((worker) => listSlots(worker, units, count))
      .sort((left, right) => left.missing - right.missing)
      .slice(0, count);
  }

  function reserve(workId: string, units: ResourceUnits, slots: readonly Slot[]): void {
    const countByWorker = new Map<WorkerRecord, number>();
    slots.forEach(({ worker }) => countByWorker.set(worker, (countByWorker.get(worker) ?? 0) + 1));
    holds.set(workId, new Set(countByWorker.keys()));
    countByWorker.forEach((count, worker) => {
      const reservation = { workId, units: scale(units, count) };
      countHeld(reservation.units, 1);
      options.refresh(Object.assign(worker, { reservation }));
    });
  }

  function countWithinLimit(units: ResourceUnits, most: number): number {
    let count = 0;
    while (count < most && isWithinLimit(scale(units, count + 1))) count += 1;
    return count;
  }

  function letGo(worker: WorkerRecord): void {
    if (!worker.reservation) return;
    countHeld(worker.reservation.units, -1);
    options.refresh(Object.assign(worker, { reservation: null }));
  }

  function drop(workId: string): void {
    const workers = holds.get(workId);
    holds.delete(workId);
    workers?.forEach(letGo);
  }

  function findIn(
    workers: ReadonlySet<WorkerRecord> | undefined,
    { units, isAllowed }: CandidateQuery,
  ): WorkerRecord | null {
    const hasRoom = (worker: WorkerRecord): boolean =>
      worker.isSchedulable && countFits(worker.freeUnits, units) >= 1 && isAllowed(worker);
    return workers ? ([...workers].find(hasRoom) ?? null) : null;
  }

  return {
    hold(workId, request, count) {
      if (holds.has(workId)) return true;
      const units = toChargedUnits(request.resources);
      if (!isWithinLimit(scale(units, count))) return false;
      const slots = chooseSlots(request, units, count);
      if (slots.length < count) return false;
      reserve(workId, units, slots);
      return true;
    },
    holdSome(workId, request, count) {
      drop(workId);
      const units = toChargedUnits(request.resources);
      const slots = chooseSlots(request, units, count);
      // In a small pool the limit is less than one task, so that nothing large could be held at all.
      const isOnly = holds.size === 0;
      const permitted = isOnly ? slots.length : countWithinLimit(units, slots.length);
      if (permitted > 0) reserve(workId, units, slots.slice(0, permitted));
      return permitted;
    },
    drop,
    forget(worker) {
      if (worker.reservation) holds.get(worker.reservation.workId)?.delete(worker);
      letGo(worker);
    },
    find: (workId, query) => findIn(workId === undefined ? undefined : holds.get(workId), query),
    findAny(query) {
      let found: WorkerRecord | null = null;
      holds.forEach((workers) => {
        found ??= findIn(workers, query);
      });
      return found;
    },
  };
}
