/** Later wake-ups count as lateness, in milliseconds; those of an idle process are late by a few. */
const TOLERANCE_MILLISECONDS = 20;
/** How long lateness is remembered, in milliseconds; longer than any call takes. */
const MEMORY_MILLISECONDS = 5_000;
/** Windows of the share of time in which the process was late, in milliseconds. */
const SHARE_WINDOW_MILLISECONDS = 1_000;
const SUSTAINED_WINDOW_MILLISECONDS = 2_000;
/** Part of the time for an answer that the process may be late before a missing answer tells nothing. */
const TOLERATED_PART = 0.5;

/** A call that ended without an answer; times are in monotonic milliseconds. */
export interface UnansweredCall {
  readonly sentAt: number;
  readonly endedAt: number;
  /** Time that the receiver was asked to wait before it answers, in milliseconds. */
  readonly waitMilliseconds: number;
  /** Time for the answer after that wait, in milliseconds. */
  readonly timeoutMilliseconds: number;
}

/** Measures how late a process handles what is due, because its event loop is busy or the process is paused. */
export interface LoopLateness {
  /** Records that something due at `dueAt` is handled at `now`, both in monotonic milliseconds. */
  recordWakeUp(dueAt: number, now: number): void;
  /** @returns time between two monotonic times, within the last seconds, in which the process was late */
  lateMilliseconds(from: number, to: number): number;
  /** @returns part of the last second in which the process was late, from 0 to 1 */
  lateShare(now: number): number;
  /** @returns the same, or that of the last two seconds if it is lower, so that a single stall does not count */
  sustainedShare(now: number): number;
  /**
   * @returns whether a missing answer shows that the receiver was silent; it does not if the time-out passed while
   * the process was late, or if it was late for so long that the answer may wait unread or the call was sent late
   */
  isSilenceShown(call: UnansweredCall): boolean;
}

/** Creates a measurement without lateness. */
export function createLoopLateness(): LoopLateness {
  /** Periods without overlap, in the order of time. */
  let periods: { from: number; to: number }[] = [];

  function lateMilliseconds(from: number, to: number): number {
    return periods.reduce(
      (sum, period) => sum + Math.max(0, Math.min(to, period.to) - Math.max(from, period.from)),
      0,
    );
  }

  function shareOf(window: number, now: number): number {
    return lateMilliseconds(now - window, now) / window;
  }

  return {
    recordWakeUp(dueAt, now) {
      if (now - dueAt <= TOLERANCE_MILLISECONDS) return;
      const from = Math.max(dueAt, periods.at(-1)?.to ?? -Infinity);
      periods = periods.filter(({ to }) => now - to <= MEMORY_MILLISECONDS);
      if (from < now) periods.push({ from, to: now });
    },
    lateMilliseconds,
    lateShare: (now) => shareOf(SHARE_WINDOW_MILLISECONDS, now),
    sustainedShare: (now) =>
      Math.min(
        shareOf(SHARE_WINDOW_MILLISECONDS, now),
        shareOf(SUSTAINED_WINDOW_MILLISECONDS, now),
      ),
    isSilenceShown({ sentAt, endedAt, waitMilliseconds, timeoutMilliseconds }) {
      const excess = endedAt - (sentAt + waitMilliseconds + timeoutMilliseconds);
      // A call that ended before its time-out was refused, or its connection ended.
      if (excess < -1) return true;
      if (excess > TOLERANCE_MILLISECONDS) return false;
      return lateMilliseconds(sentAt, endedAt) < TOLERATED_PART * timeoutMilliseconds;
    },
  };
}
