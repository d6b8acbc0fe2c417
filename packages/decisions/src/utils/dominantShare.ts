import { RESOURCE_DIMENSIONS } from '@chicorybend/common';
import type { Resources } from '@chicorybend/common';

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
