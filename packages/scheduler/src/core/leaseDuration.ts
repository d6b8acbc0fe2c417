import type { Clock } from '@chicorybend/common';

/** Number of renewals within the time to live of a lease. */
export const RENEWALS_PER_LEASE = 4;
/** A lease lasts at least this many times as long as a renewal is delayed, so that it survives a delay and a retry. */
const DELAYS_PER_LEASE = 3;
/** Longest lease that is requested for slowness; bounds the time until the loss of such an owner is noticed. */
const MAXIMUM_LEASE_MILLISECONDS = 5_000;
/** Time in which the influence of the highest delay of a renewal falls to a half. */
const DELAY_HALF_LIFE_MILLISECONDS = 10_000;
/** A term that was lost before its state was recovered counts for this long. */
const LOSS_MEMORY_MILLISECONDS = 60_000;

/** Chooses the duration of the owner's lease by how slow this process is. */
export interface LeaseDuration {
  /** @returns duration to request, in milliseconds */
  next(): number;
  /** @returns recent highest delay of a renewal, in milliseconds */
  delayMilliseconds(): number;
  /** Records how late the process ran, including the latency of the renewal if there was one, in milliseconds. */
  recordDelay(milliseconds: number): void;
  /** Records that a term was lost before its state was recovered, which a longer lease may prevent. */
  recordUnrecoveredLoss(): void;
}

/**
 * Creates a choice without records, which is the usual duration.
 *
 * @param usualMilliseconds duration for a process that is not slow, in milliseconds
 */
export function createLeaseDuration(clock: Clock, usualMilliseconds: number): LeaseDuration {
  let highestDelay = 0;
  let highestDelayAt = -Infinity;
  let losses = 0;
  let lostAt = -Infinity;

  function delayMilliseconds(): number {
    if (highestDelay === 0) return 0;
    const age = clock.monotonicMilliseconds() - highestDelayAt;
    return highestDelay * 0.5 ** (age / DELAY_HALF_LIFE_MILLISECONDS);
  }

  function recentLosses(): number {
    return clock.monotonicMilliseconds() - lostAt <= LOSS_MEMORY_MILLISECONDS ? losses : 0;
  }

  return {
    next() {
      const forDelay = DELAYS_PER_LEASE * delayMilliseconds();
      const forLosses = usualMilliseconds * 2 ** recentLosses();
      const wanted = Math.min(MAXIMUM_LEASE_MILLISECONDS, Math.max(forDelay, forLosses));
      return Math.round(Math.max(usualMilliseconds, wanted));
    },
    delayMilliseconds,
    recordDelay(milliseconds) {
      if (milliseconds < delayMilliseconds()) return;
      highestDelay = milliseconds;
      highestDelayAt = clock.monotonicMilliseconds();
    },
    recordUnrecoveredLoss() {
      losses = recentLosses() + 1;
      lostAt = clock.monotonicMilliseconds();
    },
  };
}
