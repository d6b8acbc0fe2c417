import type { Resources } from '@chicorybend/common';

import type { PlacementPolicy } from '../types/workerPool.js';
import { computeFreeFractions } from '../utils/freeFractions.js';

/** Weight of the imbalance between the free fractions, relative to the free fractions themselves. */
const IMBALANCE_WEIGHT = 1;

/**
 * Packs workers tightly: prefers the worker with the least left free, and with the same fraction of
 * processors and memory left, because memory without processors is of no use to the next task.
 */
class BestFitPolicy implements PlacementPolicy {
  readonly name = 'best-fit';

  readonly searchOrder = 'tightest-first';

  constructor(private readonly imbalanceWeight: number) {}

  score(free: Resources, capacity: Resources, resources: Resources): number {
    const { processors, memory } = computeFreeFractions(free, capacity, resources);
    return -(processors + memory) - this.imbalanceWeight * Math.abs(processors - memory);
  }
}

export function createBestFitPolicy(): PlacementPolicy {
  return new BestFitPolicy(IMBALANCE_WEIGHT);
}
