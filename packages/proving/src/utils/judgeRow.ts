import type { BenchRow } from '@chicorybend/common';

import type { JudgedRow } from '../types/benchRow.js';

const TIME_UNITS: ReadonlySet<string> = new Set(['µs', 'ms', 's']);

/**
 * Tells whether a value depends on the speed of the machine.
 *
 * @param unit unit of the value
 * @returns whether it is a time or a rate
 */
export function isTimeUnit(unit: string): boolean {
  return TIME_UNITS.has(unit) || unit.endsWith('/s');
}

/**
 * Compares a measured value with its bound.
 *
 * @param row measured row
 * @returns row with the verdict; a value that is not a number fails
 */
export function judgeRow(row: BenchRow): JudgedRow {
  const { measured, bound, direction } = row;
  if (!Number.isFinite(measured)) return { ...row, ok: false };
  if (bound === null) return { ...row, ok: true };
  return { ...row, ok: direction === 'at-most' ? measured <= bound : measured >= bound };
}
