import type { QueueOrderPolicy } from '../types/taskQueue.js';

/**
 * Weight of the wait against the share: a team that uses exactly its share counts half of its wait.
 * Lower values follow the shares more closely and lengthen the longest waits (docs/decisions.md).
 */
const SHARE_FLOOR = 1;

/** Puts the longest wait first; the wait of a team counts for less the more it uses. */
class WaitingTimeFirstPolicy implements QueueOrderPolicy {
  readonly name = 'waiting-time-first';

  constructor(private readonly shareFloor: number) {}

  rank(dominantShare: number, waitedMilliseconds: number): number {
    return -(waitedMilliseconds + 1) / (dominantShare + this.shareFloor);
  }
}

/** @returns order by waiting time */
export function createWaitingTimeFirstPolicy(): QueueOrderPolicy {
  return new WaitingTimeFirstPolicy(SHARE_FLOOR);
}
