import type { QueueOrderPolicy } from '../types/taskQueue.js';

/** Puts the team that is furthest below its share first. */
class ShareFirstPolicy implements QueueOrderPolicy {
  readonly name = 'share-first';

  // eslint-disable-next-line class-methods-use-this -- required by the interface
  rank(dominantShare: number): number {
    return dominantShare;
  }
}

/** @returns order by share */
export function createShareFirstPolicy(): QueueOrderPolicy {
  return new ShareFirstPolicy();
}
