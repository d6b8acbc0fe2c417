import { RESOURCE_DIMENSIONS } from '@chicorybend/common';
import type { Resources } from '@chicorybend/common';

/** No resources at all. */
export const NO_RESOURCES: Resources = { processors: 0, memoryBytes: 0, accelerators: 0 };

/**
 * Adds a multiple of some resources.
 *
 * @param base first summand
 * @param added second summand
 * @param factor how often the second is added; may be negative
 * @returns sum
 */
export function addResources(base: Resources, added: Resources, factor = 1): Resources {
  return {
    processors: base.processors + factor * added.processors,
    memoryBytes: base.memoryBytes + factor * added.memoryBytes,
    accelerators: base.accelerators + factor * added.accelerators,
  };
}

/**
 * @param available amounts there are
 * @param required amounts that are wanted
 * @returns whether there is enough in every dimension
 */
export function coversResources(available: Resources, required: Resources): boolean {
  return RESOURCE_DIMENSIONS.every((dimension) => available[dimension] >= required[dimension]);
}
