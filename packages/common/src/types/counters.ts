/** Sink for metrics. Names are dotted, for example `requests.refused`. */
export interface Counters {
  /**
   * Adds to a counter.
   *
   * @param amount 1 by default
   */
  increment(name: string, amount?: number, tags?: Readonly<Record<string, string>>): void;

  /** Sets a gauge. */
  gauge(name: string, value: number, tags?: Readonly<Record<string, string>>): void;

  /** Records a duration. */
  timing(name: string, milliseconds: number, tags?: Readonly<Record<string, string>>): void;
}
