import { RESOURCE_DIMENSIONS } from '@chicorybend/common';
import type { Resources } from '@chicorybend/common';

/**
 * Computes the dominant share: the largest used fraction of the capacity over all dimensions.
 *
 * @param capacity total amounts; dimensions with a capacity of 0 are ignored
 * @returns fraction of at least 0; above 1 if more is used than the capacity
 */
export function computeDominantShare(used: Resources, capacity: Resources): number {
  let share = 0;
  for (let index = 0; index < RESOURCE_DIMENSIONS.length; index += 1) {
    const dimension = RESOURCE_DIMENSIONS[index]!;
    if (capacity[dimension] > 0) share = Math.max(share, used[dimension] / capacity[dimension]);
  }
  return share;
}
