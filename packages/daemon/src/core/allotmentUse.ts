/**
 * Units of the teams' upper limits that one owned partition has in use.
 */
import type { LimitDimension } from '../types/allotment.js';
import type { PartitionLease } from '../types/partition.js';
import type { AllotmentLedger } from './allotmentLedger.js';

/** Time between two steps towards an equal split of a team's requests, in milliseconds. */
export const REBALANCE_INTERVAL_MILLISECONDS = 5_000;

/** What one partition knows and uses of a team's upper limit. */
export interface TeamAllotmentState {
  readonly team: string;
  /** Ledger as last read or written. */
  ledger: AllotmentLedger | null;
  readonly usedUnits: Record<LimitDimension, number>;
  /** Monotonic time of the last charge, in milliseconds. */
  lastChargedAt: number;
  /** Most requests in use at once since the last step towards an equal split. */
  peakRequests: number;
  /** Monotonic time before which the split is left as it is, in milliseconds. */
  nextRebalanceAt: number;
  isRequesting: boolean;
  /** Requests in a row that found too few units, per dimension. */
  readonly consecutiveShortfalls: Record<LimitDimension, number>;
  /** Monotonic time before which no units are requested, in milliseconds. */
  readonly nextRequestAt: Record<LimitDimension, number>;
}

/** Parts of one owned partition. */
export interface PartitionAllotmentState {
  readonly lease: PartitionLease;
  readonly teams: Map<string, TeamAllotmentState>;
}

/**
 * @param team name of the team
 * @param now monotonic time in milliseconds
 * @returns state of a team of which nothing is used or known yet
 */
export function createTeamAllotmentState(team: string, now: number): TeamAllotmentState {
  return {
    team,
    ledger: null,
    usedUnits: { tasks: 0, requests: 0 },
    lastChargedAt: now,
    peakRequests: 0,
    nextRebalanceAt: now + REBALANCE_INTERVAL_MILLISECONDS,
    isRequesting: false,
    consecutiveShortfalls: { tasks: 0, requests: 0 },
    nextRequestAt: { tasks: 0, requests: 0 },
  };
}
