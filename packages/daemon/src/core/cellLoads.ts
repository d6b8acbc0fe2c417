import type { Clock } from '@chicorybend/common';

import type { PartitionLoadView, PartitionLoad } from '../types/partition.js';
import type { EndpointService } from './endpointService.js';
import type { WorkerService } from './workerService.js';

/** Time for which the computed loads of own partitions are reused, in milliseconds. */
const OWN_LOADS_CACHE_MILLISECONDS = 50;

export interface CellLoadsOptions {
  readonly clock: Clock;
  readonly workers: WorkerService;
  readonly endpoints: EndpointService;
  /** Loads of the other daemons' partitions, from their heartbeats. */
  readonly receivedLoads: PartitionLoadView;
}

/** Loads of all partitions of the cell: computed for own partitions, received for the others. */
export interface CellLoads extends PartitionLoadView {
  /** @returns loads of the partitions that this daemon serves, for heartbeats */
  ownLoads(): readonly PartitionLoad[];
}

export function createCellLoads(options: CellLoadsOptions): CellLoads {
  const { clock, workers, endpoints, receivedLoads } = options;
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
    ownLoads,
    loads() {
      const loadByPartition = new Map(receivedLoads.loads());
      ownLoads().forEach((load) => loadByPartition.set(load.partition, load));
      return loadByPartition;
    },
  };
}
