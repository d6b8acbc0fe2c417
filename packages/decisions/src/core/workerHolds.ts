import { RESOURCE_DIMENSIONS } from '@chicorybend/common';

import type { CandidateQuery } from '../types/candidateIndex.js';
import type { PlacementRequest } from '../types/workerPool.js';
import type { WorkerRecord } from '../types/workerRecord.js';
import { NO_RESOURCES } from '../utils/resourceAmounts.js';
import { countFits, toChargedUnits } from '../utils/units.js';
import type { ResourceUnits } from '../utils/units.js';

/** State of the pool that its holds use. */
export interface WorkerHoldsOptions {
  readonly workers: ReadonlyMap<string, WorkerRecord>;
  /** Updates the available amounts and the index after the hold of a worker changed. */
  readonly refresh: (worker: WorkerRecord) => void;
  /** Largest fraction of the processors and of the memory of the pool that may be held. */
  readonly maximumHeldFraction: number;
}

/** Capacity that is held for work that does not fit yet; see `WorkerPool.hold`. */
export interface WorkerHolds {
  hold(workId: string, request: PlacementRequest, count: number): boolean;
  holdSome(workId: string, request: PlacementRequest, count: number): number;
  drop(workId: string): void;
  /** Removes a worker that leaves the pool from its hold. */
  removeWorker(worker: WorkerRecord): void;
  /** @returns worker held for this work on which one task fits, or null */
  find(workId: string | undefined, query: CandidateQuery): WorkerRecord | null;
  /** @returns worker held for any work on which one task fits, or null */
  findAny(query: CandidateQuery): WorkerRecord | null;
}

/** One more task on a worker whose capacity could be held for it. */
interface HoldCandidate {
  readonly worker: WorkerRecord;
  /** Largest fraction of the worker, over all dimensions, that must become free for the task. */
  readonly missingFraction: number;
}

const scale = (units: ResourceUnits, factor: number): ResourceUnits => ({
  processors: factor * units.processors,
  memoryBytes: factor * units.memoryBytes,
  accelerators: factor * units.accelerators,
});

/** Largest fraction of a worker, over all dimensions, that must become free before `needed` fits. */
function computeMissingFraction(
  { freeUnits, capacityUnits }: WorkerRecord,
  needed: ResourceUnits,
): number {
  return RESOURCE_DIMENSIONS.reduce((most, dimension) => {
    const missing = needed[dimension] - freeUnits[dimension];
    return missing > 0 ? Math.max(most, missing / capacityUnits[dimension]) : most;
  }, 0);
}

function listCandidates(
  worker: WorkerRecord,
  units: ResourceUnits,
  count: number,
): readonly HoldCandidate[] {
  const taskCount = Math.min(count, countFits(worker.capacityUnits, units));
  return Array.from({ length: taskCount }, (_, index) => ({
    worker,
    missingFraction: computeMissingFraction(worker, scale(units, index + 1)),
  }));
}

export function createWorkerHolds(options: WorkerHoldsOptions): WorkerHolds {
  const holds = new Map<string, Set<WorkerRecord>>();
  const heldTotal: ResourceUnits = { ...NO_RESOURCES };

  function adjustHeldTotal(units: ResourceUnits, sign: 1 | -1): void {
    RESOURCE_DIMENSIONS.forEach((dimension) => {
      heldTotal[dimension] += sign * units[dimension];
    });
  }

  /** Accelerators are not limited: tasks that need none use workers without free accelerators first. */
  function isWithinLimit(units: ResourceUnits): boolean {
    const capacityTotal = { ...NO_RESOURCES };
    options.workers.forEach(({ capacityUnits }) => {
      capacityTotal.processors += capacityUnits.processors;
      capacityTotal.memoryBytes += capacityUnits.memoryBytes;
    });
    const maximum = scale(capacityTotal, options.maximumHeldFraction);
    return (
      heldTotal.processors + units.processors <= maximum.processors &&
      heldTotal.memoryBytes + units.memoryBytes <= maximum.memoryBytes
    );
  }

  /** Chooses the candidates for which the smallest fraction of a worker must become free. */
  function chooseCandidates(
    request: PlacementRequest,
    units: ResourceUnits,
    count: number,
  ): readonly HoldCandidate[] {
    return [...options.workers.values()]
      .filter(
        ({ isSchedulable, hold, workerId }) =>
          isSchedulable && hold === null && !request.avoidWorkers.includes(workerId),
      )
      .flatMap((worker) => listCandidates(worker, units, count))
      .sort((left, right) => left.missingFraction - right.missingFraction)
      .slice(0, count);
  }

  function createHold(
    workId: string,
    units: ResourceUnits,
    candidates: readonly HoldCandidate[],
  ): void {
    const countByWorker = new Map<WorkerRecord, number>();
    candidates.forEach(({ worker }) =>
      countByWorker.set(worker, (countByWorker.get(worker) ?? 0) + 1),
    );
    holds.set(workId, new Set(countByWorker.keys()));
    countByWorker.forEach((count, worker) => {
      const hold = { workId, units: scale(units, count) };
      adjustHeldTotal(hold.units, 1);
      options.refresh(Object.assign(worker, { hold }));
    });
  }

  function countTasksWithinLimit(units: ResourceUnits, maximum: number): number {
    let count = 0;
    while (count < maximum && isWithinLimit(scale(units, count + 1))) count += 1;
    return count;
  }

  function clearHold(worker: WorkerRecord): void {
    if (!worker.hold) return;
    adjustHeldTotal(worker.hold.units, -1);
    options.refresh(Object.assign(worker, { hold: null }));
  }

  function drop(workId: string): void {
    const workers = holds.get(workId);
    holds.delete(workId);
    workers?.forEach(clearHold);
  }

  function findHeldWorker(
    workers: ReadonlySet<WorkerRecord> | undefined,
    { units, isAllowed }: CandidateQuery,
  ): WorkerRecord | null {
    const canRunTask = (worker: WorkerRecord): boolean =>
      worker.isSchedulable && countFits(worker.freeUnits, units) >= 1 && isAllowed(worker);
    return workers ? ([...workers].find(canRunTask) ?? null) : null;
  }

  return {
    hold(workId, request, count) {
      if (holds.has(workId)) return true;
      const units = toChargedUnits(request.resources);
      if (!isWithinLimit(scale(units, count))) return false;
      const candidates = chooseCandidates(request, units, count);
      if (candidates.length < count) return false;
      createHold(workId, units, candidates);
      return true;
    },
    holdSome(workId, request, count) {
      drop(workId);
      const units = toChargedUnits(request.resources);
      const candidates = chooseCandidates(request, units, count);
      // In a small pool the limit can be less than one large task, which could then never be held.
      const isOnlyHold = holds.size === 0;
      const permitted = isOnlyHold
        ? candidates.length
        : countTasksWithinLimit(units, candidates.length);
      if (permitted > 0) createHold(workId, units, candidates.slice(0, permitted));
      return permitted;
    },
    drop,
    removeWorker(worker) {
      if (worker.hold) holds.get(worker.hold.workId)?.delete(worker);
      clearHold(worker);
    },
    find: (workId, query) =>
      findHeldWorker(workId === undefined ? undefined : holds.get(workId), query),
    findAny(query) {
      let found: WorkerRecord | null = null;
      holds.forEach((workers) => {
        found ??= findHeldWorker(workers, query);
      });
      return found;
    },
  };
}
