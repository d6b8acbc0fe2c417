import type { Clock } from '@chicorybend/common';

import type { MembershipView, PeerStatus } from '../types/membershipView.js';

/** Longest age of a confirmation against the store under which keyed work is served, in milliseconds. */
export const FRESHNESS_LIMIT_MILLISECONDS = 3_000;

/** Knows how recently the configuration in effect was confirmed, and the newest revision heard of. */
export interface ConfigurationFreshness {
  /** Notes that the store held no newer revision than the one in effect at a monotonic time. */
  recordConfirmation(atMilliseconds: number): void;
  /** Notes that a revision exists. */
  observeRevision(revision: number): void;
  /** @returns newest revision that this daemon or a peer it heard from has served */
  newestKnownRevision(): number;
  /** @returns monotonic time of the own last confirmation, or -Infinity */
  localConfirmedAt(): number;
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
  let localConfirmedAt = -Infinity;
  let newestRevision = 0;

  function newestKnownRevision(): number {
    membership.peerStatuses().forEach((report) => {
      newestRevision = Math.max(newestRevision, report.configurationRevision);
    });
    return newestRevision;
  }

  /** A peer that confirmed an older revision shows as well that nothing newer than the own one existed then. */
  function confirmsRevision(report: PeerStatus, revision: number): boolean {
    return report.configurationRevision > 0 && report.configurationRevision <= revision;
  }

  function confirmedAt(revision: number): number {
    const reported = membership
      .peerStatuses()
      .filter((report) => confirmsRevision(report, revision))
      .map((report) => report.configurationConfirmedAt);
    return Math.max(localConfirmedAt, ...reported);
  }

  return {
    newestKnownRevision: newestKnownRevision,
    confirmedAt,
    localConfirmedAt: () => localConfirmedAt,
    recordConfirmation(atMilliseconds) {
      localConfirmedAt = Math.max(localConfirmedAt, atMilliseconds);
    },
    observeRevision(revision) {
      newestRevision = Math.max(newestRevision, revision);
    },
    isFresh(revision) {
      if (revision === 0 || newestKnownRevision() > revision) return false;
      const age = clock.monotonicMilliseconds() - confirmedAt(revision);
      if (age <= FRESHNESS_LIMIT_MILLISECONDS) return true;
      // No peer that was heard is fresh, or its report would have counted above: the store is out for all of them.
      return membership.isInContactWithMajority();
    },
  };
}
