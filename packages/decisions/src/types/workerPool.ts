import type { Resources } from '@chicorybend/common';

/** A worker that may run tasks. */
export interface PoolWorker {
  readonly workerId: string;
  readonly dataCentre: string;
  readonly rack: string;
  readonly capacity: Resources;
}

/** Placement of one or more equal tasks. */
export interface PlacementRequest {
  /** Resources of each task. */
  readonly resources: Resources;
  /** Racks that are used only if the task fits in no other rack. */
  readonly avoidRacks: readonly string[];
  /** Workers that are never used. */
  readonly avoidWorkers: readonly string[];
  /** Work whose held capacity may be used as well, and is used first; see {@link WorkerPool.hold}. */
  readonly heldFor?: string;
  /** Whether capacity that is held for other work may be used if the task fits nowhere else. */
  readonly isUrgent?: boolean;
}

/** Total and free resources of a pool. */
export interface PoolTotals {
  /** Sum over the schedulable workers. */
  readonly freeTotal: Resources;
  /** Largest free amount on any one worker, per dimension. */
  readonly freeLargest: Resources;
  readonly capacityTotal: Resources;
}

/** Capacity of a set of workers, updated incrementally. Placing a task does not allocate its resources. */
export interface WorkerPool {
  /** Adds a worker, or updates its capacity and rack; allocations stay. */
  upsert(worker: PoolWorker): void;
  /** Removes a worker and its allocations. */
  remove(workerId: string): void;
  /** Allows or forbids new placements on a worker. A new worker is schedulable. */
  setSchedulable(workerId: string, isSchedulable: boolean): void;
  /**
   * Charges resources to a worker.
   *
   * @throws InvariantError (`no-overcommit`) if the worker is not in the pool or its capacity would be
   *   exceeded
   */
  allocate(workerId: string, resources: Resources): void;
  /** Charges resources that a worker is found to be using already, even beyond its capacity. */
  adopt(workerId: string, resources: Resources): void;
  /**
   * Releases charged resources; does nothing if the worker is not in the pool.
   *
   * @throws InvariantError (`no-overcommit`) if more is released than the worker was charged
   */
  release(workerId: string, resources: Resources): void;
  /** @returns free resources of a worker, or null if it is not in the pool */
  freeOf(workerId: string): Resources | null;
  /** @returns a worker on which one task fits, or null */
  place(request: PlacementRequest): string | null;
  /** @returns a worker for each of `count` tasks placed together, or null if they do not all fit */
  placeAll(request: PlacementRequest, count: number): readonly string[] | null;
  /** @returns workers for as many of `count` tasks as fit */
  placeSome(request: PlacementRequest, count: number): readonly string[];
  /**
   * Holds capacity for work that does not fit yet. Other work does not use it unless it is urgent and
   * fits nowhere else, so that the work fits once enough tasks have ended. Without a hold, a gang or a
   * large task starves for as long as smaller tasks take the capacity that becomes free. Does nothing
   * if the work has a hold already.
   *
   * @param workId work that may use the held capacity, through {@link PlacementRequest.heldFor}
   * @returns whether the work has a hold; false if too much is held already or the workers are too small
   */
  hold?(workId: string, request: PlacementRequest, count: number): boolean;
  /**
   * Holds capacity for as many of the tasks as possible, for work that is spread over several pools.
   * An earlier hold for the same work is replaced, so that workers that left are replaced too. Unlike
   * with {@link hold}, the limit does not apply to the only hold of the pool.
   *
   * @returns number of tasks for which capacity is held
   */
  holdSome?(workId: string, request: PlacementRequest, count: number): number;
  /** Ends a hold, after the work was started or cancelled. */
  dropHold?(workId: string): void;
  /**
   * Explains why `count` tasks can never run at once on the pool, even when it is empty.
   *
   * @returns reason that names each dimension that does not fit, or null if they fit
   */
  explainNeverFits(resources: Resources, count: number): string | null;
  totals(): PoolTotals;
  /** @returns number of workers */
  size(): number;
}

/** Order, by available amounts, in which a search visits workers on which the task fits. */
export type SearchOrder = 'tightest-first' | 'loosest-first';

/** Scores workers on which a task fits; varies by deployment. */
export interface PlacementPolicy {
  readonly name: string;
  /**
   * The end at which the highest scores are expected. With it, a search scores a bounded number of
   * workers from that end; without it, every worker on which the task fits is scored.
   */
  readonly searchOrder?: SearchOrder;
  /**
   * @param free available resources of the worker, before the placement
   * @param capacity capacity of the worker
   * @param resources resources of the task
   * @returns score; the highest wins
   */
  score(free: Resources, capacity: Resources, resources: Resources): number;
}
