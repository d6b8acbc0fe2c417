import { RESOURCE_DIMENSIONS } from '@chicorybend/common';
import type { Resources } from '@chicorybend/common';

/** No resources at all. */
export const NO_RESOURCES: Resources = { processors: 0, memoryBytes: 0, accelerators: 0 };

/**
 * Computes the largest fraction of the capacity over all dimensions.
 *
 * @param used amounts in use
 * @param capacity amounts there are; dimensions without capacity do not count
 * @returns fraction, from 0
 */
export function computeDominantShare(used: Resources, capacity: Resources): number {
  let share = 0;
  for (let index = 0; index < RESOURCE_DIMENSIONS.length; index += 1) {
    const dimension = RESOURCE_DIMENSIONS[index]!;
    if (capacity[dimension] > 0) share = Math.max(share, used[dimension] / capacity[dimension]);
  }
  return share;
}

/**
 * Adds a multiple of some resources.
 *
 * @param base first summand
 * @param added second summand
 * @param count how often the second is added; may be negative
 * @returns sum
 */
export function addResources(base: Resources, added: Resources, count = 1): Resources {
  return {
    processors: base.processors + count * added.processors,
    memoryBytes: base.memoryBytes + count * added.memoryBytes,
    accelerators: base.accelerators + count * added.accelerators,
  };
}
