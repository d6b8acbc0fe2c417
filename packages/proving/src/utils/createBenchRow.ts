import type { BenchRow } from '../types/benchRow.js';

/**
 * Compares a measured value with its bound.
 *
 * @param values all but the verdict
 * @returns row with the verdict
 */
export function createBenchRow(values: Omit<BenchRow, 'ok'>): BenchRow {
  const { measured, bound, comparison } = values;
  const isWithin = comparison === 'at-most' ? measured <= bound : measured >= bound;
  return { ...values, ok: Number.isFinite(measured) && isWithin };
}
