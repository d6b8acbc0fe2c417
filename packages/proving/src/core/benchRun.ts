import Table from 'cli-table3';

import type { BenchOptions, BenchRow } from '../types/benchRow.js';
import type { NamedProducer } from './benchProducers.js';

const DIGITS = 3;

function toFailedRow(name: string, error: unknown): BenchRow {
  const message = error instanceof Error ? error.message : String(error);
  return {
    name: `${name} failed: ${message}`,
    measured: Number.NaN,
    unit: '',
    bound: 0,
    comparison: 'at-most',
    basis: 'count',
    ok: false,
  };
}

async function runProducer(
  producer: NamedProducer,
  options: BenchOptions,
): Promise<readonly BenchRow[]> {
  try {
    const rows = await producer.produce(options);
    // A bound on time depends on the machine and its load.
    return options.isShort ? rows.filter((row) => row.basis !== 'time') : rows;
  } catch (error) {
    return [toFailedRow(producer.name, error)];
  }
}

/**
 * Runs producers one after the other, so that they do not disturb each other's measurements.
 *
 * @param producers producers to run
 * @param options how to measure
 * @returns rows of all producers; a producer that fails gives a failed row
 */
export async function runBench(
  producers: readonly NamedProducer[],
  options: BenchOptions,
): Promise<readonly BenchRow[]> {
  const rows: BenchRow[] = [];
  for (const producer of producers) rows.push(...(await runProducer(producer, options)));
  return rows;
}

function formatNumber(value: number): string {
  return Number.isInteger(value) ? String(value) : value.toFixed(DIGITS);
}

/**
 * Formats rows.
 *
 * @param rows rows of the benchmark
 * @returns text of a table
 */
export function formatBench(rows: readonly BenchRow[]): string {
  const table = new Table({
    head: ['measurement', 'measured', 'bound', 'unit', 'ok'],
    style: { head: [], border: [] },
  });
  rows.forEach(({ name, measured, bound, comparison, unit, ok }) => {
    const sign = comparison === 'at-most' ? '<=' : '>=';
    const verdict = ok ? 'yes' : 'NO';
    table.push([name, formatNumber(measured), `${sign} ${formatNumber(bound)}`, unit, verdict]);
  });
  return table.toString();
}
