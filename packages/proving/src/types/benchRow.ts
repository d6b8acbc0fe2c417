/** What a measured value depends on. Only counts and ratios give the same verdict on every run. */
export type BenchBasis = 'count' | 'ratio' | 'time';

/** One result of the benchmark. */
export interface BenchRow {
  readonly name: string;
  readonly measured: number;
  readonly unit: string;
  readonly bound: number;
  readonly comparison: 'at-most' | 'at-least';
  readonly basis: BenchBasis;
  readonly ok: boolean;
}

/** How to measure. */
export interface BenchOptions {
  /** A small size, for every run of the tests. */
  readonly isShort: boolean;
  /** Seed of everything random. */
  readonly seed: number;
}

/** Measures and gives rows. */
export type BenchProducer = (options: BenchOptions) => Promise<readonly BenchRow[]>;
