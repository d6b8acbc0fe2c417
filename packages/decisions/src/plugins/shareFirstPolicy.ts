import type { QueueOrderPolicy } from '../types/taskQueue.js';

/** Ranks the team that is furthest below its share first. */
class ShareFirstPolicy implements QueueOrderPolicy {
  readonly name = 'share-first';

  // eslint-disable-next-line class-methods-use-this -- required by the interface
  rank(dominantShare: number): number {
    return dominantShare;
  }
}

export function createShareFirstPolicy(): QueueOrderPolicy {
  return new ShareFirstPolicy();
}
