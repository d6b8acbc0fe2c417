/** Sink for metrics. Names are dotted, for example `requests.refused`. */
export interface Counters {
  /**
   * Adds to a counter.
   *
   * @param name name of the counter
   * @param amount amount to add, 1 by default
   * @param tags dimensions
   */
  increment(name: string, amount?: number, tags?: Readonly<Record<string, string>>): void;

  /**
   * Sets a gauge.
   *
   * @param name name of the gauge
   * @param value current value
   * @param tags dimensions
   */
  gauge(name: string, value: number, tags?: Readonly<Record<string, string>>): void;

  /**
   * Records a duration.
   *
   * @param name name of the timing
   * @param milliseconds duration in milliseconds
   * @param tags dimensions
   */
  timing(name: string, milliseconds: number, tags?: Readonly<Record<string, string>>): void;
}
