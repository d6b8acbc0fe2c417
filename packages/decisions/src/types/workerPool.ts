import type { Resources } from '@chicorybend/common';

/** A worker that may run tasks. */
export interface PoolWorker {
  readonly workerId: string;
  readonly dataCentre: string;
  readonly rack: string;
  readonly capacity: Resources;
}

/** What is to be placed. */
export interface PlacementRequest {
  /** What each task needs. */
  readonly resources: Resources;
  /** Racks to avoid where another one has room. */
  readonly avoidRacks: readonly string[];
  /** Workers not to use. */
  readonly avoidWorkers: readonly string[];
  /** Work whose held room may be used too, and is used first; see {@link WorkerPool.hold}. */
  readonly heldFor?: string;
  /** Whether the work may use room that is held for other work, if there is no other room. */
  readonly isUrgent?: boolean;
}

/** Free amounts of a pool. */
export interface PoolTotals {
  /** Sum over the schedulable workers. */
  readonly freeTotal: Resources;
  /** Largest free amount on any one worker, per dimension. */
  readonly freeLargest: Resources;
  readonly capacityTotal: Resources;
}

/** Capacity of a set of workers, kept incrementally. Placing does not allocate. */
export interface WorkerPool {
  /** Adds a worker, or changes its capacity and place; allocations stay. */
  upsert(worker: PoolWorker): void;
  /** Removes a worker and its allocations. */
  remove(workerId: string): void;
  /** Allows or forbids new placements on a worker. A new worker is schedulable. */
  setSchedulable(workerId: string, isSchedulable: boolean): void;
  /**
   * Charges resources to a worker.
   *
   * @throws InvariantError (`no-overcommit`) if the worker's capacity would be exceeded
   */
  allocate(workerId: string, resources: Resources): void;
  /** Charges resources that a worker was found using, even past its capacity. */
  adopt(workerId: string, resources: Resources): void;
  /** Gives charged resources back. */
  release(workerId: string, resources: Resources): void;
  /** @returns free resources of a worker, or null if it is not in the pool */
  freeOf(workerId: string): Resources | null;
  /** @returns a worker with room for one task, or null */
  place(request: PlacementRequest): string | null;
  /** @returns a worker for each of `count` tasks placed together, or null if they do not all fit */
  placeAll(request: PlacementRequest, count: number): readonly string[] | null;
  /** @returns workers for as many of `count` tasks as fit */
  placeSome(request: PlacementRequest, count: number): readonly string[];
  /**
   * Keeps room for work that does not fit yet: other work leaves it alone, so that the work fits
   * once enough tasks have ended. Without it, a gang or a large task waits for as long as smaller
   * work takes the room first.
   *
   * @param workId work that is to use the room, through {@link PlacementRequest.heldFor}
   * @returns false if too much is held already or the workers are too small; nothing is held then.
   *   Repeated calls for the same work change nothing.
   */
  hold?(workId: string, request: PlacementRequest, count: number): boolean;
  /**
   * Keeps room for as many of the tasks as the pool can hold, for work that several pools share. Room
   * held for the same work before is chosen anew, so that workers that left are replaced. Unlike with
   * {@link hold}, the limit does not apply to the only hold of the pool.
   *
   * @returns number of tasks that room is held for
   */
  holdSome?(workId: string, request: PlacementRequest, count: number): number;
  /** Ends a hold, after the work was started or cancelled. */
  dropHold?(workId: string): void;
  /**
   * Tells why a task can never run on the pool, even when it is empty.
   *
   * @returns reason naming each dimension that does not fit, or null
   */
  explainNeverFits(resources: Resources, count: number): string | null;
  totals(): PoolTotals;
  /** @returns number of workers */
  size(): number;
}

/** Order in which a search visits workers that have room, by their free amounts. */
export type SearchOrder = 'tightest-first' | 'loosest-first';

/** Scores workers that have room; varies by deployment. */
export interface PlacementPolicy {
  readonly name: string;
  /**
   * Where the highest scores are. With it, a search scores a bounded number of workers from that
   * end; without it, every worker with room is scored.
   */
  readonly searchOrder?: SearchOrder;
  /**
   * @param free free resources of the worker
   * @param capacity capacity of the worker
   * @param resources what the task needs
   * @returns score; the highest wins
   */
  score(free: Resources, capacity: Resources, resources: Resources): number;
}
