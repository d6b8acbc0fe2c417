import type { Resources } from '@chicorybend/common';

/** Fractions of a worker's capacity that stay free. */
export interface FreeFractions {
  readonly processors: number;
  readonly memory: number;
}

const fractionOf = (free: number, capacity: number, needed: number): number =>
  capacity > 0 ? (free - needed) / capacity : 0;

/**
 * Computes what stays free after a placement.
 *
 * @param free free resources of the worker
 * @param capacity capacity of the worker
 * @param resources what the task needs
 * @returns fractions of the capacity
 */
export function computeFreeFractions(
  free: Resources,
  capacity: Resources,
  resources: Resources,
): FreeFractions {
  return {
    processors: fractionOf(free.processors, capacity.processors, resources.processors),
    memory: fractionOf(free.memoryBytes, capacity.memoryBytes, resources.memoryBytes),
  };
}
