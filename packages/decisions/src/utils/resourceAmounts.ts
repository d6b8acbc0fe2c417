import { RESOURCE_DIMENSIONS } from '@chicorybend/common';
import type { Resources } from '@chicorybend/common';

/** No resources at all. */
export const NO_RESOURCES: Resources = { processors: 0, memoryBytes: 0, accelerators: 0 };

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

/**
 * @param have amounts there are
 * @param need amounts that are wanted
 * @returns whether there is enough in every dimension
 */
export function coversResources(have: Resources, need: Resources): boolean {
  return RESOURCE_DIMENSIONS.every((dimension) => have[dimension] >= need[dimension]);
}
