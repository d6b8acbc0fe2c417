import { performance } from 'node:perf_hooks';

import type { Clock } from '../types/clock.js';

/** Creates a clock backed by `Date`, `performance` and `setTimeout`. */
export function createSystemClock(): Clock {
  return {
    wallMilliseconds: () => Date.now(),
    monotonicMilliseconds: () => performance.now(),
    setTimer(callback, delayMilliseconds) {
      const timer = setTimeout(callback, delayMilliseconds);
      return () => clearTimeout(timer);
    },
  };
}
