import type { QueueOrderPolicy } from '../types/taskQueue.js';

/**
 * Weight of the wait against the share: a team that uses exactly its share counts half of the power of its wait.
 * Lower values follow the shares more closely and lengthen the longest waits (docs/decisions.md).
 */
const SHARE_OFFSET = 1;

/** A power above 1 lets long waits outweigh shares, which shortens the tail (docs/decisions.md). */
const WAIT_EXPONENT = 2;

/** Puts the longest wait first; the wait of a team counts for less the more it uses. */
class WaitingTimeFirstPolicy implements QueueOrderPolicy {
  readonly name = 'waiting-time-first';

  constructor(
    private readonly shareOffset: number,
    private readonly waitExponent: number,
  ) {}

  rank(dominantShare: number, waitedMilliseconds: number): number {
    const waited = Math.max(0, waitedMilliseconds) + 1;
    return -(waited ** this.waitExponent) / (dominantShare + this.shareOffset);
  }
}

/** @returns order by waiting time */
export function createWaitingTimeFirstPolicy(): QueueOrderPolicy {
  return new WaitingTimeFirstPolicy(SHARE_OFFSET, WAIT_EXPONENT);
}
