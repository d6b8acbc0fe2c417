import type { BenchOptions, BenchRow } from '@chicorybend/common';

/** A row with its verdict. */
export interface JudgedRow extends BenchRow {
  /** Whether the measured value is within the bound; rows without a bound are reported only. */
  readonly ok: boolean;
}

/** Measures and gives rows. */
export type BenchProducer = (options: BenchOptions) => Promise<readonly BenchRow[]>;
