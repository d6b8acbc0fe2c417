import type { Clock } from '@chicorybend/common';

/** Life of a daemon's session at the store, in milliseconds. */
export const SESSION_TTL_MILLISECONDS = 3_000;
/** Time for which a member that acknowledged a heartbeat does not report the sender silent, in milliseconds. */
export const VOTE_TTL_MILLISECONDS = 3_000;
/** Kept free for differences between the clocks' speeds, in milliseconds. */
export const AUTHORITY_CLOCK_DRIFT_MARGIN_MILLISECONDS = 500;

/** Tells until when this daemon may act as an owner. Times are on its monotonic clock, in milliseconds. */
export interface Authority {
  /** Records that the store extended the session by a call sent at a time. */
  recordSessionRenewal(sentAt: number): void;
  /** Records that a member acknowledged a heartbeat that was sent at a time. */
  recordVote(daemonId: string, sentAt: number): void;
  /**
   * Sets whose votes count. Votes given for another version of the membership do not carry over.
   *
   * @param version version of the membership record
   * @param others members that can vote, this daemon excluded
   * @param majority votes needed, this daemon's own included
   */
  setVoters(version: number, others: readonly string[], majority: number): void;
  /** @returns whether the daemon may act now */
  mayAct(): boolean;
  /**
   * Counts the times that the right to act had lapsed before it came back. Ownership from an earlier generation
   * must be claimed again, because another daemon may have taken it over in between.
   */
  generation(): number;
}

/**
 * Creates the authority of a daemon: the session at the store or the votes of a majority, whichever lasts longer.
 *
 * @param clock source of time
 * @returns the authority
 */
export function createAuthority(clock: Clock): Authority {
  const votes = new Map<string, number>();
  let voters: readonly string[] = [];
  let majority = Infinity;
  let votersVersion = 0;
  let sessionDeadline = -Infinity;
  let validUntil = -Infinity;
  let generation = 0;

  function votesDeadline(): number {
    const sentTimes = voters
      .flatMap((daemonId) => {
        const sentAt = votes.get(daemonId);
        return sentAt === undefined ? [] : [sentAt];
      })
      .sort((left, right) => right - left);
    const majoritySentAt = sentTimes[majority - 2];
    if (majoritySentAt === undefined) return -Infinity;
    return majoritySentAt + VOTE_TTL_MILLISECONDS - AUTHORITY_CLOCK_DRIFT_MARGIN_MILLISECONDS;
  }

  /** Coverage that starts after the former one ended leaves a gap. */
  function extend(startsAt: number, until: number): void {
    if (until <= validUntil) return;
    if (startsAt > validUntil) generation += 1;
    validUntil = until;
  }

  function extendByVotes(): void {
    const until = votesDeadline();
    if (until === -Infinity) return;
    extend(until - VOTE_TTL_MILLISECONDS + AUTHORITY_CLOCK_DRIFT_MARGIN_MILLISECONDS, until);
  }

  return {
    recordSessionRenewal(sentAt) {
      sessionDeadline = Math.max(
        sessionDeadline,
        sentAt + SESSION_TTL_MILLISECONDS - AUTHORITY_CLOCK_DRIFT_MARGIN_MILLISECONDS,
      );
      extend(sentAt, sessionDeadline);
    },
    recordVote(daemonId, sentAt) {
      votes.set(daemonId, Math.max(sentAt, votes.get(daemonId) ?? -Infinity));
      extendByVotes();
    },
    setVoters(version, others, newMajority) {
      voters = others;
      majority = newMajority;
      if (version !== votersVersion) votes.clear();
      votersVersion = version;
    },
    mayAct() {
      const now = clock.monotonicMilliseconds();
      // The only member is its own majority.
      if (majority === 1) extend(now, now + VOTE_TTL_MILLISECONDS);
      return now < validUntil;
    },
    generation: () => generation,
  };
}
