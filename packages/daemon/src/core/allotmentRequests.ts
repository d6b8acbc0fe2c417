/**
 * Requests more units of a team's upper limit: first unassigned units, then idle units of other partitions.
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

export interface AllotmentRequestsOptions {
  readonly directory: PartitionDirectory;
  readonly link: PeerLink;
  readonly clock: Clock;
  readonly counters: Counters;
  /** Source of random numbers in [0, 1). */
  readonly random: () => number;
  /** Changes a team's ledger for a partition, serialised with other changes of that ledger by this daemon. */
  readonly updateLedger: (
    partitionState: PartitionAllotmentState,
    teamState: TeamAllotmentState,
    change: LedgerChange,
  ) => Promise<boolean>;
}

export interface AllotmentRequests {
  /**
   * Requests units in the background. Does nothing while another request of the team runs at this partition, or
   * during the backoff after a request that found too few units.
   *
   * @param partitionState partition that needs the units
   * @param teamState the team's allotment state at that partition
   * @param count units needed beyond those in use
   */
  start(
    partitionState: PartitionAllotmentState,
    teamState: TeamAllotmentState,
    dimension: LimitDimension,
    count: number,
  ): void;
}

export function createAllotmentRequests(options: AllotmentRequestsOptions): AllotmentRequests {
  const { directory, link, clock, counters } = options;

  /** Asks the owners of other partitions to return idle units to the ledger. */
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

  /** Backs off while requests find too few units, so that a team at its limit does not load the store. */
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
