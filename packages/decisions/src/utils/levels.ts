/** Number of levels; larger amounts share the last one. */
export const LEVEL_COUNT = 128;

/** Eight levels per doubling, so that the amounts of one level differ by at most an eighth. */
const FRACTION_BITS = 3;
const LEVELS_PER_DOUBLING = 1 << FRACTION_BITS;
const MAXIMUM_STEPS = 2 ** 18 - 1;
const HIGHEST_BIT_INDEX = 31;

/**
 * Maps an amount to one of {@link LEVEL_COUNT} levels of about equal relative width.
 *
 * @param amount non-negative amount
 * @param stepSize resolution: amounts are rounded down to a multiple of it
 * @returns level; never lower for a larger amount
 */
export function toLevel(amount: number, stepSize: number): number {
  const steps = Math.min(MAXIMUM_STEPS, Math.floor(amount / stepSize));
  if (steps < LEVELS_PER_DOUBLING) return steps;
  const exponent = HIGHEST_BIT_INDEX - Math.clz32(steps);
  const fraction = (steps >> (exponent - FRACTION_BITS)) & (LEVELS_PER_DOUBLING - 1);
  return (exponent - FRACTION_BITS + 1) * LEVELS_PER_DOUBLING + fraction;
}
