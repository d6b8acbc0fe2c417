import { RESOURCE_DIMENSIONS } from '@chicorybend/common';
import type { Resources, VmRecord } from '@chicorybend/common';

function isWithin(needed: Resources, capacity: Resources): boolean {
  return RESOURCE_DIMENSIONS.every((dimension) => needed[dimension] <= capacity[dimension]);
}

/**
 * Tells why no listed worker could ever run a task, even when empty.
 *
 * @param needed what each task needs
 * @param workers workers in the VM list; an empty list refuses nothing
 * @returns reason, or null if a worker is large enough
 */
export function describeMisfit(needed: Resources, workers: readonly VmRecord[]): string | null {
  const capacities = workers.flatMap((worker) => worker.capacity ?? []);
  if (capacities.length === 0) return null;
  if (capacities.some((capacity) => isWithin(needed, capacity))) return null;
  const excess = RESOURCE_DIMENSIONS.find((dimension) =>
    capacities.every((capacity) => capacity[dimension] < needed[dimension]),
  );
  if (!excess) return 'no worker has this combination of resources';
  const largest = Math.max(...capacities.map((capacity) => capacity[excess]));
  return `a task needs ${needed[excess]} ${excess} and the largest worker has ${largest}`;
}
