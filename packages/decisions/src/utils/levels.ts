/** Number of levels; amounts past the last one share it. */
export const LEVEL_COUNT = 128;

/** Eight levels per doubling, so that the amounts of one level differ by at most an eighth. */
const PRECISION_BITS = 3;
const PRECISION = 1 << PRECISION_BITS;
const LARGEST_STEPS = 2 ** 18 - 1;
const HIGHEST_BIT = 31;

/**
 * Sorts an amount into one of {@link LEVEL_COUNT} levels of about equal relative width.
 *
 * @param amount amount, from 0
 * @param step amount below which differences do not matter
 * @returns level; it never falls when the amount grows
 */
export function toLevel(amount: number, step: number): number {
  const steps = Math.min(LARGEST_STEPS, Math.floor(amount / step));
  if (steps < PRECISION) return steps;
  const exponent = HIGHEST_BIT - Math.clz32(steps);
  const fraction = (steps >> (exponent - PRECISION_BITS)) & (PRECISION - 1);
  return (exponent - PRECISION_BITS + 1) * PRECISION + fraction;
}
