import type { QueueOrderPolicy } from '../types/taskQueue.js';

/**
 * Added to the share by which the power of the wait is divided; at 1, a team that uses exactly its share ranks
 * with half of it. Lower values follow the shares more closely but lengthen the longest waits
 * (docs/decisions.md).
 */
const SHARE_OFFSET = 1;

/** An exponent above 1 lets long waits outweigh shares, which shortens the tail of the waits (docs/decisions.md). */
const WAIT_EXPONENT = 2;

/** Ranks the longest wait first; the more a team uses, the less its wait counts. */
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

export function createWaitingTimeFirstPolicy(): QueueOrderPolicy {
  return new WaitingTimeFirstPolicy(SHARE_OFFSET, WAIT_EXPONENT);
}
