import type { Clock } from '@chicorybend/common';

import type { PartitionLoadView } from '../types/partition.js';

/** Chooses the partition that takes a request when its home partition is full. */
export interface OverflowChoice {
  /**
   * @param home full partition
   * @param wait expected wait there in milliseconds, infinite without usable endpoints
   * @returns partition with the most free slots, or null if the request should wait at home
   */
  choose(home: number, wait: number): number | null;
  /** Counts a call to a partition while it lasts, because its advertised load is older than the call. */
  track<Value>(partition: number, call: () => Promise<Value>): Promise<Value>;
  /** Avoids a partition until its load is advertised again. */
  recordRefusal(partition: number): void;
}

/** What the choice needs. */
export interface OverflowChoiceOptions {
  readonly clock: Clock;
  readonly loadBoard: PartitionLoadView;
}

/** Loads are advertised with heartbeats, every 500 ms. */
const ADVERTISED_EVERY_MILLISECONDS = 500;

/**
 * Creates the choice of overflow partitions.
 *
 * @param options clock and loads
 * @returns the choice
 */
export function createOverflowChoice(options: OverflowChoiceOptions): OverflowChoice {
  const { clock, loadBoard } = options;
  const calls = new Map<number, number>();
  const avoidedUntil = new Map<number, number>();

  function countCalls(partition: number): number {
    return calls.get(partition) ?? 0;
  }

  return {
    choose(home, wait) {
      const now = clock.monotonicMilliseconds();
      const hasEndpoints = Number.isFinite(wait);
      let chosen: number | null = null;
      let highest = hasEndpoints ? 0 : Number.NEGATIVE_INFINITY;
      loadBoard.loads().forEach((load, partition) => {
        if (partition === home || (avoidedUntil.get(partition) ?? 0) > now) return;
        // Without endpoints at home, a queue elsewhere is better than none.
        const room = load.freeSlots - load.queuedRequests - countCalls(partition);
        if (room > highest) {
          highest = room;
          chosen = partition;
        }
      });
      return chosen;
    },
    async track(partition, call) {
      calls.set(partition, countCalls(partition) + 1);
      try {
        return await call();
      } finally {
        calls.set(partition, countCalls(partition) - 1);
      }
    },
    recordRefusal(partition) {
      avoidedUntil.set(partition, clock.monotonicMilliseconds() + ADVERTISED_EVERY_MILLISECONDS);
    },
  };
}
