import type { Resources } from '@chicorybend/common';

import { countCovered } from '../utils/resourceAmounts.js';
import type { EndpointRequirements } from './chooseEndpoint.js';
import { fitsIdleEndpoints } from './fitsIdleEndpoints.js';

/** Room of an endpoint that may run tasks of a gang. */
export interface GangRoom {
  readonly endpointId: string;
  /** Resources that are free now. */
  readonly free: Resources;
  /** Resources that are free once all work has ended that ends by itself. */
  readonly freeLater: Resources;
}

/**
 * Chooses the endpoints that a gang waits for, those with the most room now first. Each of them is kept as a whole,
 * because work that takes what the gang leaves over there would be in its way later.
 *
 * @param rooms endpoints that may run the tasks
 * @param taskCount number of tasks that are to run at the same time
 * @returns endpoints on which all tasks fit in the end; empty if there are none
 */
export function chooseGangRoom<Room extends GangRoom>(
  rooms: readonly Room[],
  requirements: Pick<EndpointRequirements, 'resources' | 'maximumPerEndpoint'>,
  taskCount: number,
): readonly Room[] {
  const freeLater = rooms.map((room) => room.freeLater);
  if (!fitsIdleEndpoints(freeLater, requirements, taskCount)) return [];
  const { resources, maximumPerEndpoint } = requirements;
  const maximum = maximumPerEndpoint > 0 ? maximumPerEndpoint : Infinity;
  const countTasks = (room: Resources) => Math.min(maximum, countCovered(room, resources));
  const ranked = rooms
    .map((room) => ({ room, now: countTasks(room.free), later: countTasks(room.freeLater) }))
    .filter(({ later }) => later > 0)
    .sort((left, right) => right.now - left.now);
  let remaining = taskCount;
  return ranked.flatMap(({ room, later }) => {
    if (remaining <= 0) return [];
    remaining -= later;
    return [room];
  });
}
