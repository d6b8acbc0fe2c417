import type { ResourceDimension, Resources } from '@chicorybend/common';

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

function unitsPerAmount(name: ResourceDimension): number {
  return name === 'processors' ? MILLIPROCESSORS_PER_PROCESSOR : 1;
}

/** @returns amount that is required or in use, in whole units, rounded up */
export function toChargedAmount(name: ResourceDimension, amount: number): number {
  const units = Math.ceil(amount * unitsPerAmount(name) - ROUNDING_TOLERANCE);
  // The tolerance turns 0 into -0, which is not equal to 0 in every comparison.
  return units === 0 ? 0 : units;
}

/** @returns amount that is available, in whole units, rounded down */
export function toCapacityAmount(name: ResourceDimension, amount: number): number {
  return Math.floor(amount * unitsPerAmount(name) + ROUNDING_TOLERANCE);
}

/** @returns the amount that consists of so many whole units */
export function toDimensionAmount(name: ResourceDimension, units: number): number {
  return units / unitsPerAmount(name);
}

function convertAll(
  amounts: Resources | ResourceUnits,
  convert: (name: ResourceDimension, amount: number) => number,
): ResourceUnits {
  return {
    processors: convert('processors', amounts.processors),
    memoryBytes: convert('memoryBytes', amounts.memoryBytes),
    accelerators: convert('accelerators', amounts.accelerators),
  };
}

/** Converts the resources of a task to whole units, rounded up. */
export function toChargedUnits(resources: Resources): ResourceUnits {
  return convertAll(resources, toChargedAmount);
}

/** Converts the capacity of a worker to whole units, rounded down. */
export function toCapacityUnits(resources: Resources): ResourceUnits {
  return convertAll(resources, toCapacityAmount);
}

export function toResources(units: ResourceUnits): Resources {
  return convertAll(units, toDimensionAmount);
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
