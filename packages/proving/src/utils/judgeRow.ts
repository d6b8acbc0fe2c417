import type { BenchRow } from '@chicorybend/common';

import type { JudgedRow } from '../types/benchRow.js';

const TIME_UNITS: ReadonlySet<string> = new Set(['µs', 'ms', 's']);

/**
 * Checks whether a unit is a time or a rate, so that values depend on the speed of the machine.
 */
export function isTimeUnit(unit: string): boolean {
  return TIME_UNITS.has(unit) || unit.endsWith('/s');
}

/**
 * Compares a measured value with its bound.
 *
 * @returns the row with the result; a value that is not a finite number is never ok
 */
export function judgeRow(row: BenchRow): JudgedRow {
  const { measured, bound, direction } = row;
  if (!Number.isFinite(measured)) return { ...row, ok: false };
  if (bound === null) return { ...row, ok: true };
  return { ...row, ok: direction === 'at-most' ? measured <= bound : measured >= bound };
}
