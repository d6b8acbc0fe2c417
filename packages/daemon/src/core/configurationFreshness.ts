import type { Clock } from '@chicorybend/common';

import type { MembershipView, PeerStatus } from '../types/membershipView.js';

/** Longest age of a confirmation against the store under which keyed work is served, in milliseconds. */
export const FRESHNESS_LIMIT_MILLISECONDS = 3_000;

/** Knows how recently the configuration in effect was confirmed, and the newest revision heard of. */
export interface ConfigurationFreshness {
  /** Notes that the store held no newer revision than the one in effect at a monotonic time. */
  confirm(atMilliseconds: number): void;
  /** Notes that a revision exists. */
  hear(revision: number): void;
  /** @returns newest revision that this daemon or a peer it heard from has served */
  newestHeard(): number;
  /** @returns monotonic time of the own last confirmation, or -Infinity */
  ownConfirmedAt(): number;
  /** @returns monotonic time of the last confirmation, own or of a peer, for a revision in effect */
  confirmedAt(revision: number): number;
  /** @returns whether keyed work may be served by a revision in effect */
  isFresh(revision: number): boolean;
}

/**
 * Creates the freshness rules.
 *
 * @param clock source of time
 * @param membership reports of peers
 * @returns the rules
 */
export function createConfigurationFreshness(
  clock: Clock,
  membership: Pick<MembershipView, 'peerStatuses' | 'isInContactWithMajority'>,
): ConfigurationFreshness {
  let ownConfirmedAt = -Infinity;
  let heard = 0;

  function newestHeard(): number {
    membership.peerStatuses().forEach((report) => {
      heard = Math.max(heard, report.configurationRevision);
    });
    return heard;
  }

  /** A peer that confirmed an older revision shows as well that nothing newer than the own one existed then. */
  function countsFor(report: PeerStatus, revision: number): boolean {
    return report.configurationRevision > 0 && report.configurationRevision <= revision;
  }

  function confirmedAt(revision: number): number {
    const reported = membership
      .peerStatuses()
      .filter((report) => countsFor(report, revision))
      .map((report) => report.configurationConfirmedAt);
    return Math.max(ownConfirmedAt, ...reported);
  }

  return {
    newestHeard,
    confirmedAt,
    ownConfirmedAt: () => ownConfirmedAt,
    confirm(atMilliseconds) {
      ownConfirmedAt = Math.max(ownConfirmedAt, atMilliseconds);
    },
    hear(revision) {
      heard = Math.max(heard, revision);
    },
    isFresh(revision) {
      if (revision === 0 || newestHeard() > revision) return false;
      const age = clock.monotonicMilliseconds() - confirmedAt(revision);
      if (age <= FRESHNESS_LIMIT_MILLISECONDS) return true;
      // No peer that was heard is fresh, or its report would have counted above: the store is out for all of them.
      return membership.isInContactWithMajority();
    },
  };
}
