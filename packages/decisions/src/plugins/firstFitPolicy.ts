import type { PlacementPolicy } from '../types/workerPool.js';

/** Takes the first worker with room, in the order of their addition; a baseline. */
class FirstFitPolicy implements PlacementPolicy {
  readonly name = 'first-fit';

  // eslint-disable-next-line class-methods-use-this -- required by the interface
  score(): number {
    return 0;
  }
}

/** @returns baseline that takes the first worker with room */
export function createFirstFitPolicy(): PlacementPolicy {
  return new FirstFitPolicy();
}
