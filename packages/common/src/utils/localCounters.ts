import type { Counters } from '../types/counters.js';

/** In-memory totals of metrics, for status pages and tests. */
export interface LocalCounters extends Counters {
  /** @returns total over all tags; 0 for an unknown name */
  read(name: string): number;
  /** @returns totals by name */
  snapshot(): Readonly<Record<string, number>>;
}

/** Creates counters that keep totals in memory and forward each update to the given sinks. */
export function createLocalCounters(sinks: readonly Counters[] = []): LocalCounters {
  const totals = new Map<string, number>();
  return {
    increment(name, amount = 1, tags) {
      totals.set(name, (totals.get(name) ?? 0) + amount);
      sinks.forEach((sink) => sink.increment(name, amount, tags));
    },
    gauge(name, value, tags) {
      totals.set(name, value);
      sinks.forEach((sink) => sink.gauge(name, value, tags));
    },
    timing(name, milliseconds, tags) {
      sinks.forEach((sink) => sink.timing(name, milliseconds, tags));
    },
    read: (name) => totals.get(name) ?? 0,
    snapshot: () => Object.fromEntries(totals),
  };
}
