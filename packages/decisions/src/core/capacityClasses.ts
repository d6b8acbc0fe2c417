import { RESOURCE_DIMENSIONS } from '@chicorybend/common';
import type { ResourceDimension, Resources } from '@chicorybend/common';

import { countFits, toChargedUnits, toResources } from '../utils/units.js';
import type { ResourceUnits } from '../utils/units.js';

/** Counts workers by capacity, so that checks against the empty pool need no scan of the workers. */
export interface CapacityClasses {
  add(capacity: ResourceUnits): void;
  remove(capacity: ResourceUnits): void;
  /** @returns why `count` tasks can never run at once, even on idle workers; null if they can */
  explainNeverFits(resources: Resources, count: number): string | null;
}

interface CapacityClass {
  readonly capacity: ResourceUnits;
  workerCount: number;
}

const toCapacityKey = (capacity: ResourceUnits): string =>
  `${capacity.processors}/${capacity.memoryBytes}/${capacity.accelerators}`;

export function createCapacityClasses(): CapacityClasses {
  const classes = new Map<string, CapacityClass>();

  const computeLargest = (dimension: ResourceDimension): number =>
    [...classes.values()].reduce(
      (maximum, { capacity }) => Math.max(maximum, capacity[dimension]),
      0,
    );

  const countFitsInPool = (needed: ResourceUnits): number =>
    [...classes.values()].reduce(
      (sum, { capacity, workerCount }) => sum + workerCount * countFits(capacity, needed),
      0,
    );

  function explainByDimension(resources: Resources, needed: ResourceUnits): string | null {
    const reasons = RESOURCE_DIMENSIONS.filter(
      (dimension) => needed[dimension] > computeLargest(dimension),
    ).map((dimension) => {
      const largestAmount = toResources({ ...needed, [dimension]: computeLargest(dimension) })[
        dimension
      ];
      return `${dimension}: needs ${resources[dimension]}, the largest worker has ${largestAmount}`;
    });
    return reasons.length > 0 ? reasons.join('; ') : null;
  }

  function explainCombination(needed: ResourceUnits): string | null {
    if (countFitsInPool(needed) >= 1) return null;
    const names = RESOURCE_DIMENSIONS.filter((dimension) => needed[dimension] > 0).join(', ');
    return `${names}: no one worker has all of these amounts together`;
  }

  return {
    add(capacity) {
      const existing = classes.get(toCapacityKey(capacity));
      if (existing) existing.workerCount += 1;
      else classes.set(toCapacityKey(capacity), { capacity: { ...capacity }, workerCount: 1 });
    },
    remove(capacity) {
      const existing = classes.get(toCapacityKey(capacity));
      if (!existing) return;
      existing.workerCount -= 1;
      if (existing.workerCount === 0) classes.delete(toCapacityKey(capacity));
    },
    explainNeverFits(resources, count) {
      if (classes.size === 0) return 'there is no worker';
      const needed = toChargedUnits(resources);
      const reason = explainByDimension(resources, needed) ?? explainCombination(needed);
      if (reason) return reason;
      const fits = countFitsInPool(needed);
      return fits >= count ? null : `tasks: needs ${count} at once, all workers hold ${fits}`;
    },
  };
}
