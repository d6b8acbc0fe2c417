import type { Resources } from '@chicorybend/common';

import type { PlacementPolicy } from '../types/workerPool.js';
import { computeFreeFractions } from '../utils/freeFractions.js';

/** Spreads load evenly: prefers the worker with the most left free in its scarcest dimension. */
class SpreadPolicy implements PlacementPolicy {
  readonly name = 'spread';

  readonly searchOrder = 'loosest-first';

  // eslint-disable-next-line class-methods-use-this -- required by the interface
  score(free: Resources, capacity: Resources, resources: Resources): number {
    const { processors, memory } = computeFreeFractions(free, capacity, resources);
    return Math.min(processors, memory);
  }
}

export function createSpreadPolicy(): PlacementPolicy {
  return new SpreadPolicy();
}
