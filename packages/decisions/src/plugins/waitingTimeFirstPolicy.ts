import type { QueueOrderPolicy } from '../types/taskQueue.js';

/**
 * Keeps the ratio of wait to share finite for a team that runs nothing. At one hundredth of the
 * fleet, teams below that size are ordered by their wait almost alone.
 */
const SHARE_FLOOR = 0.01;

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
