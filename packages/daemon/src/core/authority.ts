import type { Clock } from '@chicorybend/common';

/** Lease time of a daemon's session at the store, in milliseconds. */
export const SESSION_TTL_MILLISECONDS = 3_000;
/** A member that acknowledged a heartbeat does not report its sender as silent for this long, in milliseconds. */
export const VOTE_TTL_MILLISECONDS = 3_000;
/** Subtracted from each lease, because clocks of different VMs run at different speeds, in milliseconds. */
export const AUTHORITY_CLOCK_DRIFT_MARGIN_MILLISECONDS = 500;

/**
 * Right of this daemon to act as the owner of partitions. It is a lease that renewals of the store session and
 * acknowledged heartbeats extend. Times are on the monotonic clock of the daemon, in milliseconds.
 */
export interface Authority {
  /** Extends the right after a successful renewal of the session; it counts from the time the call was sent. */
  recordSessionRenewal(sentAt: number): void;
  /** Counts an acknowledged heartbeat as a vote of the member, from the time the heartbeat was sent. */
  recordVote(daemonId: string, sentAt: number): void;
  /**
   * Sets the members whose votes count. Votes for another version of the membership are discarded.
   *
   * @param version version of the membership record
   * @param others members that can vote, this daemon excluded
   * @param majority votes needed, this daemon's own included
   */
  setVoters(version: number, others: readonly string[], majority: number): void;
  /** @returns whether the daemon may act now */
  mayAct(): boolean;
  /**
   * Number of times that the right to act began anew, at first or after a lapse. Partitions that were claimed in an
   * earlier generation must be claimed again, because another daemon may have taken them over during the lapse.
   */
  generation(): number;
}

/**
 * Creates the authority of a daemon. It is valid as long as the session at the store or the votes of a majority
 * last, whichever is longer.
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

  /** Extends the validity. A period that starts after the end of the previous one begins a new generation. */
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
      // A daemon that is the only member is a majority by itself.
      if (majority === 1) extend(now, now + VOTE_TTL_MILLISECONDS);
      return now < validUntil;
    },
    generation: () => generation,
  };
}
