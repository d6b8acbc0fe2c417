/**
 * State of the teams' allotments at one owned partition: the known ledger, units in use and pending requests.
 */
import type { LimitDimension } from '../types/allotment.js';
import type { PartitionLease } from '../types/partition.js';
import type { AllotmentLedger } from './allotmentLedger.js';

/** Interval at which a partition moves its allotment of requests towards an equal split. */
export const REBALANCE_INTERVAL_MILLISECONDS = 5_000;

/** Allotment of one team at one partition, as the partition's owner knows and uses it. */
export interface TeamAllotmentState {
  readonly team: string;
  /**
   * Ledger as last read or written, less the units withheld for unconfirmed returns; null before the first reading, or
   * if a newer owner holds the allotment.
   */
  ledger: AllotmentLedger | null;
  readonly usedUnits: Record<LimitDimension, number>;
  /** Monotonic time of the last charge, in milliseconds. */
  lastChargedAt: number;
  /** Largest number of concurrent requests since the last rebalancing. */
  peakRequests: number;
  /** Monotonic time before which requests are not rebalanced, in milliseconds. */
  nextRebalanceAt: number;
  isRequesting: boolean;
  /** Number of consecutive requests that found too few units, per dimension. */
  readonly consecutiveShortfalls: Record<LimitDimension, number>;
  /** Monotonic time before which no more units are requested, in milliseconds, per dimension. */
  readonly nextRequestAt: Record<LimitDimension, number>;
}

/** Allotments of one owned partition, by team. */
export interface PartitionAllotmentState {
  readonly lease: PartitionLease;
  readonly teams: Map<string, TeamAllotmentState>;
}

/**
 * Creates the state of a team with no units in use and no ledger.
 *
 * @param now monotonic time in milliseconds
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
