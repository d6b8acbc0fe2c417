import type { StoreStandIn } from '@chicorybend/standins';

import type { StoreSample } from '../types/faultWindow.js';

const SAMPLE_MILLISECONDS = 100;
const MILLISECONDS_PER_SECOND = 1_000;

/** Samples the cumulative call counts of the store at fixed intervals. */
export interface StoreMeter {
  samples(): readonly StoreSample[];
  stop(): void;
}

/**
 * Starts to sample the call counts of a store stand-in, until the meter is stopped.
 *
 * @param now wall-clock time in milliseconds since the Unix epoch; the same clock as that of the record
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
 * Finds the highest number of calls within any one second.
 *
 * @param samples samples, ordered by time
 * @returns calls per second
 */
export function findPeak(samples: readonly StoreSample[], kind: 'reads' | 'writes'): number {
  let first = 0;
  return samples.reduce((peak, sample) => {
    while ((samples[first]?.at ?? Infinity) < sample.at - MILLISECONDS_PER_SECOND) first += 1;
    return Math.max(peak, sample[kind] - (samples[first]?.[kind] ?? sample[kind]));
  }, 0);
}
