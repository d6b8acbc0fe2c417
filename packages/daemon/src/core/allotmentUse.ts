/**
 * Units of the teams' upper limits that one owned partition has in use.
 */
import type { LimitDimension } from '../types/allotment.js';
import type { PartitionLease } from '../types/partition.js';
import type { AllotmentLedger } from './allotmentLedger.js';

/** Time between two steps towards an equal split of a team's requests, in milliseconds. */
export const LEVEL_INTERVAL_MILLISECONDS = 5_000;

/** What one partition knows and uses of a team's upper limit. */
export interface TeamUse {
  readonly team: string;
  /** Ledger as last read or written. */
  ledger: AllotmentLedger | null;
  readonly used: Record<LimitDimension, number>;
  /** Monotonic time of the last charge, in milliseconds. */
  chargedAt: number;
  /** Most requests in use at once since the last step towards an equal split. */
  mostRequests: number;
  /** Monotonic time before which the split is left as it is, in milliseconds. */
  levelNotBefore: number;
  isRequesting: boolean;
  /** Requests in a row that found too few units, per dimension. */
  readonly shortfalls: Record<LimitDimension, number>;
  /** Monotonic time before which no units are requested, in milliseconds. */
  readonly requestNotBefore: Record<LimitDimension, number>;
}

/** Parts of one owned partition. */
export interface PartitionUse {
  readonly lease: PartitionLease;
  readonly teams: Map<string, TeamUse>;
}

/**
 * @param team name of the team
 * @param now monotonic time in milliseconds
 * @returns state of a team of which nothing is used or known yet
 */
export function createTeamUse(team: string, now: number): TeamUse {
  return {
    team,
    ledger: null,
    used: { tasks: 0, requests: 0 },
    chargedAt: now,
    mostRequests: 0,
    levelNotBefore: now + LEVEL_INTERVAL_MILLISECONDS,
    isRequesting: false,
    shortfalls: { tasks: 0, requests: 0 },
    requestNotBefore: { tasks: 0, requests: 0 },
  };
}
