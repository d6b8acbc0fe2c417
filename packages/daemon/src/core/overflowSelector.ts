import type { Clock } from '@chicorybend/common';

import type { PartitionLoadView } from '../types/partition.js';

/** Chooses the partition that takes a request when its home partition is full. */
export interface OverflowSelector {
  /**
   * @param home full partition
   * @param wait expected wait there in milliseconds, infinite without usable endpoints
   * @returns partition with the most free slots, or null if the request should wait at home
   */
  selectPartition(home: number, wait: number): number | null;
  /** Counts a call to a partition while it lasts, because its advertised load is older than the call. */
  trackCall<Value>(partition: number, call: () => Promise<Value>): Promise<Value>;
  /** Avoids a partition until its load is advertised again. */
  recordRefusal(partition: number): void;
}

/** What the choice needs. */
export interface OverflowSelectorOptions {
  readonly clock: Clock;
  readonly loadBoard: PartitionLoadView;
}

/** Loads are advertised with heartbeats, every 500 ms. */
const LOAD_ADVERTISEMENT_INTERVAL_MILLISECONDS = 500;

/**
 * Creates the choice of overflow partitions.
 *
 * @param options clock and loads
 * @returns the choice
 */
export function createOverflowSelector(options: OverflowSelectorOptions): OverflowSelector {
  const { clock, loadBoard } = options;
  const callsInFlight = new Map<number, number>();
  const avoidedUntil = new Map<number, number>();

  function countCalls(partition: number): number {
    return callsInFlight.get(partition) ?? 0;
  }

  return {
    selectPartition(home, wait) {
      const now = clock.monotonicMilliseconds();
      const hasEndpoints = Number.isFinite(wait);
      let selected: number | null = null;
      let mostSpareSlots = hasEndpoints ? 0 : Number.NEGATIVE_INFINITY;
      loadBoard.loads().forEach((load, partition) => {
        if (partition === home || (avoidedUntil.get(partition) ?? 0) > now) return;
        // Without endpoints at home, a queue elsewhere is better than none.
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
