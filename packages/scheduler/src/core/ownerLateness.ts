import { createLoopLateness, decideShedding } from '@chicorybend/decisions';
import type { LoopLateness, SheddingLevel } from '@chicorybend/decisions';
import { sleep } from '@chicorybend/common';
import type { Clock } from '@chicorybend/common';

/** Interval of the wake-ups that measure lateness. */
const WAKE_UP_INTERVAL_MILLISECONDS = 25;
/** Weight of a new commit in the usual duration of commits. */
const COMMIT_SAMPLE_WEIGHT = 0.2;

/** Lateness of the owner's process. */
export interface OwnerLateness extends Pick<LoopLateness, 'lateMilliseconds' | 'isSilenceShown'> {
  /** @returns part of the last second in which the process was late, from 0 to 1 */
  lateShare(): number;
  /** @returns what the owner leaves out at present to do the rest of its work in time */
  shedding(): SheddingLevel;
  /** Records the duration of a commit. */
  recordCommit(milliseconds: number): void;
  /** Measures until the condition holds. */
  measureUntil(hasEnded: () => boolean): Promise<void>;
}

/** Creates a measurement without lateness; {@link OwnerLateness.measureUntil} begins it. */
export function createOwnerLateness(clock: Clock): OwnerLateness {
  const loop = createLoopLateness();
  let dueAt = Infinity;
  let commitMilliseconds = 0;

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
    recordCommit(milliseconds) {
      commitMilliseconds += COMMIT_SAMPLE_WEIGHT * (milliseconds - commitMilliseconds);
    },
    shedding: () =>
      decideShedding({
        lateShare: lateShare(),
        sustainedShare: loop.sustainedShare(clock.monotonicMilliseconds()),
        commitMilliseconds,
      }),
    async measureUntil(hasEnded) {
      while (!hasEnded()) {
        dueAt = clock.monotonicMilliseconds() + WAKE_UP_INTERVAL_MILLISECONDS;
        await sleep(clock, WAKE_UP_INTERVAL_MILLISECONDS);
        loop.recordWakeUp(dueAt, clock.monotonicMilliseconds());
      }
    },
  };
}
