import type { BenchOptions } from '@chicorybend/common';
import Table from 'cli-table3';

import type { JudgedRow } from '../types/benchRow.js';
import { isTimeUnit, judgeRow } from '../utils/judgeRow.js';
import type { NamedProducer } from './benchProducers.js';

const DIGITS = 3;

function toFailedRow(name: string, error: unknown): JudgedRow {
  const message = error instanceof Error ? error.message : String(error);
  return {
    name: `${name} failed: ${message}`,
    measured: Number.NaN,
    unit: '',
    bound: 0,
    direction: 'at-most',
    ok: false,
  };
}

async function runProducer(
  producer: NamedProducer,
  options: BenchOptions,
): Promise<readonly JudgedRow[]> {
  try {
    const rows = (await producer.produce(options)).map(judgeRow);
    // Short runs leave out times and rates, as these depend on the speed and load of the machine.
    return options.isShort ? rows.filter((row) => !isTimeUnit(row.unit)) : rows;
  } catch (error) {
    return [toFailedRow(producer.name, error)];
  }
}

/**
 * Runs producers one after the other, so that they do not affect each other's measurements.
 *
 * @returns rows of all producers; a producer that throws is reported as one row that is not ok
 */
export async function runBench(
  producers: readonly NamedProducer[],
  options: BenchOptions,
): Promise<readonly JudgedRow[]> {
  const rows: JudgedRow[] = [];
  for (const producer of producers) rows.push(...(await runProducer(producer, options)));
  return rows;
}

function formatNumber(value: number): string {
  return Number.isInteger(value) ? String(value) : value.toFixed(DIGITS);
}

/** Formats benchmark rows as a text table. */
export function formatBench(rows: readonly JudgedRow[]): string {
  const table = new Table({
    head: ['measurement', 'measured', 'bound', 'unit', 'ok'],
    style: { head: [], border: [] },
  });
  rows.forEach(({ name, measured, bound, direction, unit, ok }) => {
    const sign = direction === 'at-most' ? '<=' : '>=';
    const limit = bound === null ? '' : `${sign} ${formatNumber(bound)}`;
    table.push([name, formatNumber(measured), limit, unit, ok ? 'yes' : 'NO']);
  });
  return table.toString();
}
