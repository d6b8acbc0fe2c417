import type { StoreStandIn } from '@chicorybend/standins';

import type { StoreSample } from '../types/faultWindow.js';

const SAMPLE_MILLISECONDS = 100;
const MILLISECONDS_PER_SECOND = 1_000;

/** Notes at fixed intervals how many calls the store has taken. */
export interface StoreMeter {
  samples(): readonly StoreSample[];
  stop(): void;
}

/**
 * Starts to note the calls of a store.
 *
 * @param store store stand-in
 * @param now source of wall-clock time in milliseconds, the same as of the record
 * @returns the running meter
 */
export function startStoreMeter(store: StoreStandIn, now: () => number): StoreMeter {
  const samples: StoreSample[] = [];
  const timer = setInterval(() => {
    samples.push({ at: now(), ...store.counts });
  }, SAMPLE_MILLISECONDS);
  return {
    samples: () => samples,
    stop: () => clearInterval(timer),
  };
}

/**
 * Finds the most calls within one second.
 *
 * @param samples samples by time
 * @param kind which calls
 * @returns calls per second
 */
export function findPeak(samples: readonly StoreSample[], kind: 'reads' | 'writes'): number {
  let first = 0;
  return samples.reduce((peak, sample) => {
    while ((samples[first]?.at ?? Infinity) < sample.at - MILLISECONDS_PER_SECOND) first += 1;
    return Math.max(peak, sample[kind] - (samples[first]?.[kind] ?? sample[kind]));
  }, 0);
}
