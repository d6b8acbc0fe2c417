import { RESOURCE_DIMENSIONS } from '@chicorybend/common';
import type { ResourceDimension, Resources } from '@chicorybend/common';

import { toCapacityAmount, toChargedAmount, toChargedUnits, toResources } from './units.js';

export const NO_RESOURCES: Resources = { processors: 0, memoryBytes: 0, accelerators: 0 };

/**
 * Adds a multiple of some resources to others. Sums are kept in whole units, so that adding and subtracting the same
 * amounts in any order leaves nothing behind.
 *
 * @param factor whole multiple of `added`; may be negative
 */
export function addResources(base: Resources, added: Resources, factor = 1): Resources {
  const units = toChargedUnits(base);
  const addedUnits = toChargedUnits(added);
  return toResources({
    processors: units.processors + factor * addedUnits.processors,
    memoryBytes: units.memoryBytes + factor * addedUnits.memoryBytes,
    accelerators: units.accelerators + factor * addedUnits.accelerators,
  });
}

function hasAmountBeside(
  name: ResourceDimension,
  capacity: number,
  used: number,
  required: number,
): boolean {
  return (
    toCapacityAmount(name, capacity) >=
    toChargedAmount(name, used) + toChargedAmount(name, required)
  );
}

/** @returns whether a capacity covers what is in use and what is required besides, in every dimension */
export function hasRoomBeside(capacity: Resources, used: Resources, required: Resources): boolean {
  return (
    hasAmountBeside('processors', capacity.processors, used.processors, required.processors) &&
    hasAmountBeside('memoryBytes', capacity.memoryBytes, used.memoryBytes, required.memoryBytes) &&
    hasAmountBeside('accelerators', capacity.accelerators, used.accelerators, required.accelerators)
  );
}

/** @returns whether the available amounts suffice in every dimension */
export function coversResources(available: Resources, required: Resources): boolean {
  return hasRoomBeside(available, NO_RESOURCES, required);
}

/** @returns whether the used amounts are within an upper limit, in which 0 means that a dimension is not limited */
export function isWithinLimit(limit: Resources, used: Resources): boolean {
  return RESOURCE_DIMENSIONS.every(
    (name) => limit[name] === 0 || hasAmountBeside(name, limit[name], used[name], 0),
  );
}

/** @returns how many times the available amounts cover what is required; Infinity if nothing is required */
export function countCovered(available: Resources, required: Resources): number {
  const counts = RESOURCE_DIMENSIONS.filter((name) => required[name] > 0).map((name) =>
    Math.floor(toCapacityAmount(name, available[name]) / toChargedAmount(name, required[name])),
  );
  return Math.max(0, Math.min(...counts));
}
