import type { Clock } from '@chicorybend/common';

import type { PartitionLoadView, PartitionLoad } from '../types/partition.js';
import type { EndpointService } from './endpointService.js';
import type { WorkerService } from './workerService.js';

/** Own loads are computed again after this time, in milliseconds. */
const OWN_LOADS_VALID_MILLISECONDS = 50;

/** What the loads are computed from. */
export interface LocalLoadsOptions {
  readonly clock: Clock;
  readonly workers: WorkerService;
  readonly endpoints: EndpointService;
  /** Loads of all partitions as heard from the other daemons. */
  readonly heard: PartitionLoadView;
}

/** Loads of own and other partitions. */
export interface LocalLoads extends PartitionLoadView {
  /** @returns loads of the own partitions, for heartbeats */
  own(): readonly PartitionLoad[];
}

/**
 * Creates the board of loads: own partitions as they are, the others as last heard.
 *
 * @param options services and heard loads
 * @returns the board
 */
export function createLocalLoads(options: LocalLoadsOptions): LocalLoads {
  const { clock, workers, endpoints, heard } = options;
  let ownLoads: readonly PartitionLoad[] = [];
  let computedAt = -Infinity;

  function own(): readonly PartitionLoad[] {
    const now = clock.monotonicMilliseconds();
    if (now - computedAt < OWN_LOADS_VALID_MILLISECONDS) return ownLoads;
    computedAt = now;
    ownLoads = workers.loads().map((load) => ({ ...load, ...endpoints.loadOf(load.partition) }));
    return ownLoads;
  }

  return {
    own,
    loads() {
      const all = new Map(heard.loads());
      own().forEach((load) => all.set(load.partition, load));
      return all;
    },
  };
}
