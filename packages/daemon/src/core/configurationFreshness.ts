import type { Clock } from '@chicorybend/common';

import type { MembershipView, PeerStatus } from '../types/membershipView.js';

/** Keyed work is served while the last confirmation against the store is at most this old, in milliseconds. */
export const FRESHNESS_LIMIT_MILLISECONDS = 3_000;

/**
 * Tracks when the configuration in effect was last confirmed as current against the store, and the newest revision
 * that is known to exist.
 */
export interface ConfigurationFreshness {
  /** Records that the store held no newer revision than the one in effect at a monotonic time. */
  recordConfirmation(atMilliseconds: number): void;
  /** Records that a revision exists. */
  observeRevision(revision: number): void;
  /** @returns newest revision that this daemon has observed or that a peer has reported */
  newestKnownRevision(): number;
  /** @returns monotonic time of the last confirmation by this daemon, or -Infinity */
  localConfirmedAt(): number;
  /** @returns monotonic time at which this daemon or a peer last confirmed that nothing newer than a revision exists */
  confirmedAt(revision: number): number;
  /** @returns whether keyed work may be served while a revision is in effect */
  isFresh(revision: number): boolean;
}

/**
 * Creates the tracker for one daemon.
 *
 * @param membership source of the confirmations and revisions that peers report with heartbeats
 */
export function createConfigurationFreshness(
  clock: Clock,
  membership: Pick<MembershipView, 'peerStatuses' | 'isInContactWithMajority'>,
): ConfigurationFreshness {
  let localConfirmedAt = -Infinity;
  let newestRevision = 0;

  function newestKnownRevision(): number {
    membership.peerStatuses().forEach((status) => {
      newestRevision = Math.max(newestRevision, status.configurationRevision);
    });
    return newestRevision;
  }

  /** A peer that confirmed the same or an older revision shows that no newer one than this existed at that time. */
  function confirmsRevision(status: PeerStatus, revision: number): boolean {
    return status.configurationRevision > 0 && status.configurationRevision <= revision;
  }

  function confirmedAt(revision: number): number {
    const reported = membership
      .peerStatuses()
      .filter((status) => confirmsRevision(status, revision))
      .map((status) => status.configurationConfirmedAt);
    return Math.max(localConfirmedAt, ...reported);
  }

  return {
    newestKnownRevision,
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
      // No peer in contact has a recent confirmation, or it would have counted above: the store is unavailable to all
      // of them.
      return membership.isInContactWithMajority();
    },
  };
}
