import type { Resources } from '@chicorybend/common';

import { countCovered } from '../utils/resourceAmounts.js';
import type { EndpointRequirements } from './chooseEndpoint.js';

/**
 * @param capacities capacities of the endpoints that may run the tasks
 * @param taskCount number of tasks that are to run at the same time
 * @returns whether the tasks would fit if the endpoints were idle
 */
export function fitsIdleEndpoints(
  capacities: Iterable<Resources>,
  { resources, maximumPerEndpoint }: Pick<EndpointRequirements, 'resources' | 'maximumPerEndpoint'>,
  taskCount: number,
): boolean {
  const maximum = maximumPerEndpoint > 0 ? maximumPerEndpoint : Infinity;
  let remaining = taskCount;
  for (const capacity of capacities) {
    remaining -= Math.min(maximum, countCovered(capacity, resources));
    if (remaining <= 0) return true;
  }
  return remaining <= 0;
}
