import { sleep } from '@chicorybend/common';
import type { Clock } from '@chicorybend/common';

/** Time after which a long computation gives way to the event loop; short against the interval of lease renewals. */
const SLICE_MILLISECONDS = 10;

/** Divides a long computation into slices, between which timers and answers are handled. */
export interface WorkSlices {
  /** Called between two items of the work; waits for the event loop if the slice is used up. */
  giveWay(): Promise<void>;
}

/**
 * Creates slices, the first of which begins now.
 *
 * @param pauseMilliseconds pause between two slices, in milliseconds
 */
export function createWorkSlices(clock: Clock, pauseMilliseconds = 0): WorkSlices {
  let startedAt = clock.monotonicMilliseconds();
  return {
    async giveWay() {
      if (clock.monotonicMilliseconds() - startedAt < SLICE_MILLISECONDS) return;
      await sleep(clock, pauseMilliseconds);
      startedAt = clock.monotonicMilliseconds();
    },
  };
}
