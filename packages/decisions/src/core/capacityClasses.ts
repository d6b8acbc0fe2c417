import { RESOURCE_DIMENSIONS } from '@chicorybend/common';
import type { ResourceDimension, Resources } from '@chicorybend/common';

import { countFits, toChargedUnits, toResources } from '../utils/units.js';
import type { ResourceUnits } from '../utils/units.js';

/** Counts workers by capacity, so that questions about the empty pool need no scan of the workers. */
export interface CapacityClasses {
  add(capacity: ResourceUnits): void;
  remove(capacity: ResourceUnits): void;
  /** @returns reason why `count` tasks can never run at once, or null */
  explainNeverFits(resources: Resources, count: number): string | null;
}

interface CapacityClass {
  readonly capacity: ResourceUnits;
  workers: number;
}

const keyOf = (capacity: ResourceUnits): string =>
  `${capacity.processors}/${capacity.memoryBytes}/${capacity.accelerators}`;

/**
 * Creates an empty count.
 *
 * @returns counts by capacity
 */
export function createCapacityClasses(): CapacityClasses {
  const classes = new Map<string, CapacityClass>();

  const largest = (dimension: ResourceDimension): number =>
    [...classes.values()].reduce((most, { capacity }) => Math.max(most, capacity[dimension]), 0);

  const countAll = (needed: ResourceUnits): number =>
    [...classes.values()].reduce(
      (sum, { capacity, workers }) => sum + workers * countFits(capacity, needed),
      0,
    );

  function explainDimensions(resources: Resources, needed: ResourceUnits): string | null {
    const reasons = RESOURCE_DIMENSIONS.filter(
      (dimension) => needed[dimension] > largest(dimension),
    ).map((dimension) => {
      const most = toResources({ ...needed, [dimension]: largest(dimension) })[dimension];
      return `${dimension}: needs ${resources[dimension]}, the largest worker has ${most}`;
    });
    return reasons.length > 0 ? reasons.join('; ') : null;
  }

  function explainTogether(needed: ResourceUnits): string | null {
    if (countAll(needed) >= 1) return null;
    const names = RESOURCE_DIMENSIONS.filter((dimension) => needed[dimension] > 0).join(', ');
    return `${names}: no one worker has all of these amounts together`;
  }

  return {
    add(capacity) {
      const known = classes.get(keyOf(capacity));
      if (known) known.workers += 1;
      else classes.set(keyOf(capacity), { capacity: { ...capacity }, workers: 1 });
    },
    remove(capacity) {
      const known = classes.get(keyOf(capacity));
      if (!known) return;
      known.workers -= 1;
      if (known.workers === 0) classes.delete(keyOf(capacity));
    },
    explainNeverFits(resources, count) {
      if (classes.size === 0) return 'there is no worker';
      const needed = toChargedUnits(resources);
      const reason = explainDimensions(resources, needed) ?? explainTogether(needed);
      if (reason) return reason;
      const fits = countAll(needed);
      return fits >= count ? null : `tasks: needs ${count} at once, all workers hold ${fits}`;
    },
  };
}
