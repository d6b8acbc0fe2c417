import type { PlacementPolicy } from '../types/workerPool.js';

/** Baseline: takes the first worker on which the task fits, in the order in which workers were added. */
class FirstFitPolicy implements PlacementPolicy {
  readonly name = 'first-fit';

  // eslint-disable-next-line class-methods-use-this -- required by the interface
  score(): number {
    return 0;
  }
}

export function createFirstFitPolicy(): PlacementPolicy {
  return new FirstFitPolicy();
}
