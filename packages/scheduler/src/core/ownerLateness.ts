import { createLoopLateness } from '@chicorybend/decisions';
import type { LoopLateness } from '@chicorybend/decisions';
import { sleep } from '@chicorybend/common';
import type { Clock } from '@chicorybend/common';

/** Interval of the wake-ups that measure lateness. */
const WAKE_UP_INTERVAL_MILLISECONDS = 25;
/** From this part of the last second on, the owner is overloaded: hardly any wake-up is in time. */
const OVERLOAD_SHARE = 0.7;

/** Lateness of the owner's process. */
export interface OwnerLateness extends Pick<LoopLateness, 'lateMilliseconds' | 'isSilenceShown'> {
  /** @returns part of the last second in which the process was late, from 0 to 1 */
  lateShare(): number;
  /** @returns whether the process itself is too busy to do its work in time */
  isOverloaded(): boolean;
  /** Measures until the condition holds. */
  measureUntil(hasEnded: () => boolean): Promise<void>;
}

/** Creates a measurement without lateness; {@link OwnerLateness.measureUntil} begins it. */
export function createOwnerLateness(clock: Clock): OwnerLateness {
  const loop = createLoopLateness();
  let dueAt = Infinity;

  /** Includes the lateness of the next wake-up so far. */
  function lateShare(): number {
    const now = clock.monotonicMilliseconds();
    loop.recordWakeUp(dueAt, now);
    return loop.lateShare(now);
  }

  return {
    lateMilliseconds: loop.lateMilliseconds,
    isSilenceShown(call) {
      loop.recordWakeUp(dueAt, call.endedAt);
      return loop.isSilenceShown(call);
    },
    lateShare,
    isOverloaded: () => lateShare() >= OVERLOAD_SHARE,
    async measureUntil(hasEnded) {
      while (!hasEnded()) {
        dueAt = clock.monotonicMilliseconds() + WAKE_UP_INTERVAL_MILLISECONDS;
        await sleep(clock, WAKE_UP_INTERVAL_MILLISECONDS);
        loop.recordWakeUp(dueAt, clock.monotonicMilliseconds());
      }
    },
  };
}
