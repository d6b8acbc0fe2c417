/** One measurement of a benchmark run. */
export interface BenchRow {
  readonly name: string;
  readonly measured: number;
  /** Target that the measurement is compared with, or null if it is only reported. */
  readonly bound: number | null;
  readonly direction: 'at-most' | 'at-least';
  readonly unit: string;
}

export interface BenchOptions {
  /** Short run: leaves out, or reports without a bound, measurements whose verdict varies between runs. */
  readonly isShort: boolean;
}
