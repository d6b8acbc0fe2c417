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

/**
 * Converts what a task needs, rounded up.
 *
 * @param resources what is needed
 * @returns whole units
 */
export function toChargedUnits(resources: Resources): ResourceUnits {
  return {
    processors: Math.ceil(
      resources.processors * MILLIPROCESSORS_PER_PROCESSOR - ROUNDING_TOLERANCE,
    ),
    memoryBytes: Math.ceil(resources.memoryBytes),
    accelerators: Math.ceil(resources.accelerators),
  };
}

/**
 * Converts what a worker offers, rounded down.
 *
 * @param resources what is offered
 * @returns whole units
 */
export function toCapacityUnits(resources: Resources): ResourceUnits {
  return {
    processors: Math.floor(
      resources.processors * MILLIPROCESSORS_PER_PROCESSOR + ROUNDING_TOLERANCE,
    ),
    memoryBytes: Math.floor(resources.memoryBytes),
    accelerators: Math.floor(resources.accelerators),
  };
}

/**
 * Converts whole units back.
 *
 * @param units whole units
 * @returns resources
 */
export function toResources(units: ResourceUnits): Resources {
  return {
    processors: units.processors / MILLIPROCESSORS_PER_PROCESSOR,
    memoryBytes: units.memoryBytes,
    accelerators: units.accelerators,
  };
}

/**
 * Counts how often an amount fits into another one.
 *
 * @param capacity amounts there are
 * @param needed amounts of one task
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
