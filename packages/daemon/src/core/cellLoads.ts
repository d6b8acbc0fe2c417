import type { Clock } from '@chicorybend/common';

import type { PartitionLoadView, PartitionLoad } from '../types/partition.js';
import type { EndpointService } from './endpointService.js';
import type { WorkerService } from './workerService.js';

/** Own loads are computed again after this time, in milliseconds. */
const OWN_LOADS_CACHE_MILLISECONDS = 50;

/** What the loads are computed from. */
export interface CellLoadsOptions {
  readonly clock: Clock;
  readonly workers: WorkerService;
  readonly endpoints: EndpointService;
  /** Loads of all partitions as heard from the other daemons. */
  readonly receivedLoads: PartitionLoadView;
}

/** Loads of own and other partitions. */
export interface CellLoads extends PartitionLoadView {
  /** @returns loads of the own partitions, for heartbeats */
  ownLoads(): readonly PartitionLoad[];
}

/**
 * Creates the board of loads: own partitions as they are, the others as last heard.
 *
 * @param options services and heard loads
 * @returns the board
 */
export function createCellLoads(options: CellLoadsOptions): CellLoads {
  const { clock, workers, endpoints, receivedLoads: receivedLoads } = options;
  let cachedOwnLoads: readonly PartitionLoad[] = [];
  let computedAt = -Infinity;

  function ownLoads(): readonly PartitionLoad[] {
    const now = clock.monotonicMilliseconds();
    if (now - computedAt < OWN_LOADS_CACHE_MILLISECONDS) return cachedOwnLoads;
    computedAt = now;
    cachedOwnLoads = workers
      .loads()
      .map((load) => ({ ...load, ...endpoints.loadOf(load.partition) }));
    return cachedOwnLoads;
  }

  return {
    ownLoads: ownLoads,
    loads() {
      const loadByPartition = new Map(receivedLoads.loads());
      ownLoads().forEach((load) => loadByPartition.set(load.partition, load));
      return loadByPartition;
    },
  };
}
