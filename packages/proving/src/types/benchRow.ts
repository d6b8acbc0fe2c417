import type { BenchOptions, BenchRow } from '@chicorybend/common';

/** A benchmark row, compared with its bound. */
export interface JudgedRow extends BenchRow {
  /** Whether the measured value is within the bound; rows without a bound are informative. */
  readonly ok: boolean;
}

/** Runs measurements and returns a row for each. */
export type BenchProducer = (options: BenchOptions) => Promise<readonly BenchRow[]>;
