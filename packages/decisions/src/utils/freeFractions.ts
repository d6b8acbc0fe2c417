import type { Resources } from '@chicorybend/common';

/** Fractions of the capacity of a worker that are free. */
export interface FreeFractions {
  readonly processors: number;
  readonly memory: number;
}

const fractionOf = (free: number, capacity: number, needed: number): number =>
  capacity > 0 ? (free - needed) / capacity : 0;

/**
 * Computes the fractions of a worker that stay free after a placement.
 *
 * @param free free resources of the worker before the placement
 * @param capacity capacity of the worker
 * @param resources resources of the task
 * @returns fractions of the capacity; 0 for a dimension without capacity
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
