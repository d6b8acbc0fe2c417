import type { Clock } from '@chicorybend/common';

import type { PartitionDirectory, PartitionLoadView } from '../types/partition.js';

/** Selects the partition that runs a request when its home partition has no free slot soon enough. */
export interface OverflowSelector {
  /**
   * @param homePartition partition that the request belongs to
   * @param expectedWaitMilliseconds expected wait there; infinite without usable endpoints
   * @returns partition with the most spare slots, or null if the request should wait in its home partition
   */
  selectPartition(homePartition: number, expectedWaitMilliseconds: number): number | null;
  /** Counts a call against the spare slots of a partition while it lasts; the advertised load does not include it. */
  trackCall<Value>(partition: number, call: () => Promise<Value>): Promise<Value>;
  /** Avoids a partition for one advertisement interval; its load has been advertised again by then. */
  recordRefusal(partition: number): void;
}

export interface OverflowSelectorOptions {
  readonly clock: Clock;
  readonly loadBoard: PartitionLoadView;
  readonly directory: PartitionDirectory;
}

/** Equals the heartbeat interval: loads are advertised with heartbeats. */
const LOAD_ADVERTISEMENT_INTERVAL_MILLISECONDS = 500;

export function createOverflowSelector(options: OverflowSelectorOptions): OverflowSelector {
  const { clock, loadBoard, directory } = options;
  const callsInFlight = new Map<number, number>();
  const avoidedUntil = new Map<number, number>();

  function countCalls(partition: number): number {
    return callsInFlight.get(partition) ?? 0;
  }

  return {
    selectPartition(homePartition, expectedWaitMilliseconds) {
      const now = clock.monotonicMilliseconds();
      const hasEndpoints = Number.isFinite(expectedWaitMilliseconds);
      let selected: number | null = null;
      let mostSpareSlots = hasEndpoints ? 0 : Number.NEGATIVE_INFINITY;
      loadBoard.loads().forEach((load, partition) => {
        if (partition === homePartition || directory.isOwnerSilent(partition)) return;
        if ((avoidedUntil.get(partition) ?? 0) > now) return;
        // Without endpoints in the home partition, waiting in another partition's queue is better than a refusal.
        const spareSlots = load.freeSlots - load.queuedRequests - countCalls(partition);
        if (spareSlots > mostSpareSlots) {
          mostSpareSlots = spareSlots;
          selected = partition;
        }
      });
      return selected;
    },
    async trackCall(partition, call) {
      callsInFlight.set(partition, countCalls(partition) + 1);
      try {
        return await call();
      } finally {
        callsInFlight.set(partition, countCalls(partition) - 1);
      }
    },
    recordRefusal(partition) {
      avoidedUntil.set(
        partition,
        clock.monotonicMilliseconds() + LOAD_ADVERTISEMENT_INTERVAL_MILLISECONDS,
      );
    },
  };
}
