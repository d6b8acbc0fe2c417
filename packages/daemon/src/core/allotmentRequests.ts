/**
 * Requests for more units of a team's upper limit: from what is unassigned, then from other partitions' idle units.
 */
import { computeBackoff } from '@chicorybend/common';
import type { Clock, Counters } from '@chicorybend/common';

import type { LimitDimension } from '../types/allotment.js';
import type { PartitionDirectory } from '../types/partition.js';
import type { PeerLink } from '../types/peer.js';
import { choosePartitionsToReturn, grantUnits, allotmentOf } from './allotmentLedger.js';
import type { AllotmentLedger } from './allotmentLedger.js';
import type { PartitionAllotmentState, TeamAllotmentState } from './allotmentUse.js';
import type { LedgerChange } from './ledgerWriter.js';

const REQUEST_BACKOFF = { firstMilliseconds: 50, maximumMilliseconds: 2_000 };
const RETURN_CALL_DEADLINE_MILLISECONDS = 500;

/** What the requests need. */
export interface AllotmentRequestsOptions {
  readonly directory: PartitionDirectory;
  readonly link: PeerLink;
  readonly clock: Clock;
  readonly counters: Counters;
  /** Source of random numbers in [0, 1). */
  readonly random: () => number;
  /** Changes a team's ledger for a partition, one change of the team at a time. */
  readonly updateLedger: (
    partitionState: PartitionAllotmentState,
    teamState: TeamAllotmentState,
    change: LedgerChange,
  ) => Promise<boolean>;
}

/** Requests for units. */
export interface AllotmentRequests {
  /**
   * Requests units in the background, unless a request is running or has found too few a moment ago.
   *
   * @param partitionState partition that lacks units
   * @param teamState the team's part there
   * @param dimension what is counted
   * @param count units beyond those in use
   */
  start(
    partitionState: PartitionAllotmentState,
    teamState: TeamAllotmentState,
    dimension: LimitDimension,
    count: number,
  ): void;
}

/**
 * Creates the requests of this daemon's partitions.
 *
 * @param options collaborators
 * @returns the requests
 */
export function createAllotmentRequests(options: AllotmentRequestsOptions): AllotmentRequests {
  const { directory, link, clock, counters } = options;

  /** Asks other partitions to give idle units up. */
  async function requestReturns(
    teamState: TeamAllotmentState,
    partition: number,
    dimension: LimitDimension,
    missingUnits: number,
  ): Promise<void> {
    if (!teamState.ledger) return;
    const chosen = choosePartitionsToReturn(
      teamState.ledger,
      { partition, dimension, missingUnits },
      options.random,
    );
    await Promise.all(
      chosen.map(async (other) => {
        const owner = directory.ownerOf(other);
        if (!owner) return;
        await link.call(
          owner.daemonId,
          'allotment.return',
          { partition: other, team: teamState.team, dimension },
          RETURN_CALL_DEADLINE_MILLISECONDS,
        );
      }),
    );
  }

  /** A team at its limit is asked about less and less often, to spare the store. */
  function scheduleNextRequest(
    teamState: TeamAllotmentState,
    dimension: LimitDimension,
    isGranted: boolean,
  ): void {
    teamState.consecutiveShortfalls[dimension] = isGranted
      ? 0
      : teamState.consecutiveShortfalls[dimension] + 1;
    const delay = isGranted
      ? 0
      : computeBackoff(REQUEST_BACKOFF, teamState.consecutiveShortfalls[dimension], options.random);
    teamState.nextRequestAt[dimension] = clock.monotonicMilliseconds() + delay;
  }

  async function requestUnits(
    partitionState: PartitionAllotmentState,
    teamState: TeamAllotmentState,
    dimension: LimitDimension,
    count: number,
  ): Promise<void> {
    const { partition } = partitionState.lease;
    const countMissingUnits = (ledger: AllotmentLedger | null) =>
      teamState.usedUnits[dimension] +
      count -
      (ledger ? allotmentOf(ledger, partition)[dimension] : 0);
    const grant = (ledger: AllotmentLedger) => {
      const missingUnits = countMissingUnits(ledger);
      return missingUnits <= 0 ? ledger : grantUnits(ledger, partition, dimension, missingUnits);
    };
    const tryGrant = () => options.updateLedger(partitionState, teamState, grant);
    const isGranted = (await tryGrant()) || (await requestReturnsAndRetry());
    scheduleNextRequest(teamState, dimension, isGranted);

    async function requestReturnsAndRetry(): Promise<boolean> {
      counters.increment('allotments.short');
      await requestReturns(teamState, partition, dimension, countMissingUnits(teamState.ledger));
      return tryGrant();
    }
  }

  return {
    start(partitionState, teamState, dimension, count) {
      if (
        teamState.isRequesting ||
        clock.monotonicMilliseconds() < teamState.nextRequestAt[dimension]
      ) {
        return;
      }
      teamState.isRequesting = true;
      void requestUnits(partitionState, teamState, dimension, count).finally(() => {
        teamState.isRequesting = false;
      });
    },
  };
}
