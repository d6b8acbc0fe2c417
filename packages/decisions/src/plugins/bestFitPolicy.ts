import type { Resources } from '@chicorybend/common';

import type { PlacementPolicy } from '../types/workerPool.js';
import { computeFreeFractions } from '../utils/freeFractions.js';

/** Cost of one unit of imbalance against one unit of free room. */
const IMBALANCE_WEIGHT = 1;

/**
 * Fills workers up: prefers little room left over, and left over in the same proportion in both
 * dimensions, since memory without processors is of no use to the next task.
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

/** @returns policy that fills workers up */
export function createBestFitPolicy(): PlacementPolicy {
  return new BestFitPolicy(IMBALANCE_WEIGHT);
}
