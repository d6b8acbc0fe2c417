import type { Resources } from '@chicorybend/common';

/** Processors are charged in thousandths, so that sums of fractions are exact. */
const MILLIPROCESSORS_PER_PROCESSOR = 1_000;
/** Absorbs the binary representation error of decimal fractions such as 0.29. */
const ROUNDING_TOLERANCE = 1e-6;

/** Resources in whole units: thousandths of processors, bytes and accelerators. */
export interface ResourceUnits {
  processors: number;
  memoryBytes: number;
  accelerators: number;
}

/** Converts the resources of a task to whole units, rounded up. */
export function toChargedUnits(resources: Resources): ResourceUnits {
  return {
    processors: Math.ceil(
      resources.processors * MILLIPROCESSORS_PER_PROCESSOR - ROUNDING_TOLERANCE,
    ),
    memoryBytes: Math.ceil(resources.memoryBytes),
    accelerators: Math.ceil(resources.accelerators),
  };
}

/** Converts the capacity of a worker to whole units, rounded down. */
export function toCapacityUnits(resources: Resources): ResourceUnits {
  return {
    processors: Math.floor(
      resources.processors * MILLIPROCESSORS_PER_PROCESSOR + ROUNDING_TOLERANCE,
    ),
    memoryBytes: Math.floor(resources.memoryBytes),
    accelerators: Math.floor(resources.accelerators),
  };
}

export function toResources(units: ResourceUnits): Resources {
  return {
    processors: units.processors / MILLIPROCESSORS_PER_PROCESSOR,
    memoryBytes: units.memoryBytes,
    accelerators: units.accelerators,
  };
}

/**
 * Counts how many equal tasks fit into a capacity.
 *
 * @returns whole number, or Infinity for a task that needs nothing
 */
export function countFits(capacity: ResourceUnits, needed: ResourceUnits): number {
  const fitsOf = (have: number, need: number): number =>
    need > 0 ? Math.floor(have / need) : Infinity;
  return Math.min(
    fitsOf(capacity.processors, needed.processors),
    fitsOf(capacity.memoryBytes, needed.memoryBytes),
    fitsOf(capacity.accelerators, needed.accelerators),
  );
}
