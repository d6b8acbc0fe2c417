import { RESOURCE_DIMENSIONS } from '@chicorybend/common';
import type { Resources } from '@chicorybend/common';

/** Covers the rounding errors of sums of fractional processors; far below the smallest amount in use. */
const ROUNDING_TOLERANCE = 1e-6;

export const NO_RESOURCES: Resources = { processors: 0, memoryBytes: 0, accelerators: 0 };

/**
 * Adds a multiple of some resources to others.
 *
 * @param factor multiple of `added`; may be negative
 */
export function addResources(base: Resources, added: Resources, factor = 1): Resources {
  return {
    processors: base.processors + factor * added.processors,
    memoryBytes: base.memoryBytes + factor * added.memoryBytes,
    accelerators: base.accelerators + factor * added.accelerators,
  };
}

/** @returns whether a capacity covers what is in use and what is required besides, in every dimension */
export function hasRoomBeside(capacity: Resources, used: Resources, required: Resources): boolean {
  return (
    capacity.processors + ROUNDING_TOLERANCE >= used.processors + required.processors &&
    capacity.memoryBytes >= used.memoryBytes + required.memoryBytes &&
    capacity.accelerators >= used.accelerators + required.accelerators
  );
}

/** @returns whether the available amounts suffice in every dimension */
export function coversResources(available: Resources, required: Resources): boolean {
  return hasRoomBeside(available, NO_RESOURCES, required);
}

/** @returns how many times the available amounts cover what is required; Infinity if nothing is required */
export function countCovered(available: Resources, required: Resources): number {
  const counts = RESOURCE_DIMENSIONS.filter((name) => required[name] > 0).map((name) =>
    Math.floor((available[name] + ROUNDING_TOLERANCE) / required[name]),
  );
  return Math.max(0, Math.min(...counts));
}
