/** One figure of a benchmark run. */
export interface BenchRow {
  readonly name: string;
  readonly measured: number;
  /** Limit from the stated targets, or null for a figure that is only reported. */
  readonly bound: number | null;
  readonly direction: 'at-most' | 'at-least';
  readonly unit: string;
}

/** Extent of a benchmark run. */
export interface BenchOptions {
  /** Only figures whose verdict is the same on every run. */
  readonly isShort: boolean;
}
