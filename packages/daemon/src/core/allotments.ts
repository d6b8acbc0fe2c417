import { createFailure, Err, Ok, sleep } from '@chicorybend/common';
import type { Clock, Counters, StoreClient } from '@chicorybend/common';

import type { Allotments, LimitDimension } from '../types/allotment.js';
import type { ConfigurationView } from '../types/configurationView.js';
import type { PartitionDirectory, PartitionOpening, PartitionService } from '../types/partition.js';
import type { PeerLink } from '../types/peer.js';
import {
  areLimitsEqual,
  LIMIT_DIMENSIONS,
  allotmentOf,
  computeProportionalShare,
  returnUnits,
  computeEqualShare,
  sumAllotments,
  topUpUnits,
  usableUnits,
} from './allotmentLedger.js';
import type { AllotmentLedger } from './allotmentLedger.js';
import { createAllotmentRequests } from './allotmentRequests.js';
import { createTeamAllotmentState, REBALANCE_INTERVAL_MILLISECONDS } from './allotmentUse.js';
import type { PartitionAllotmentState, TeamAllotmentState } from './allotmentUse.js';
import { createLedgerWriter } from './ledgerWriter.js';
import type { ConfiguredLimits, LedgerChange } from './ledgerWriter.js';

const MAINTENANCE_INTERVAL_MILLISECONDS = 1_000;
/** A team's idle task units are returned when it has charged nothing at the partition for this time. */
const IDLE_TIMEOUT_MILLISECONDS = 5_000;
/** Longer than the interval, because each rebalancing that finds no unassigned units costs a read of the store. */
const REBALANCE_RETRY_MILLISECONDS = 30_000;
/** Idle units that a partition keeps when it returns the others. */
const IDLE_RESERVE_UNITS = 2;
/** Minimum retry delay after a refused charge; a grant takes a read and a write of the store. */
const MINIMUM_RETRY_AFTER_MILLISECONDS = 25;

export interface AllotmentsOptions {
  readonly directory: PartitionDirectory;
  readonly configuration: ConfigurationView;
  readonly link: PeerLink;
  readonly store: StoreClient;
  readonly clock: Clock;
  readonly counters: Counters;
  /** Source of random numbers in [0, 1). */
  readonly random: () => number;
}

/** Allotments, and the partition service that opens and closes them with this daemon's partitions. */
export interface AllotmentService {
  readonly allotments: Allotments;
  readonly partitionService: PartitionService;
  start(): void;
  stop(): void;
}

/**
 * Creates the allotments of this daemon's partitions. Changes to a team's ledger never raise the sum of its allotments
 * above the limit. Units are charged before a task or request starts, and released when it has certainly ended.
 */
export function createAllotments(options: AllotmentsOptions): AllotmentService {
  const { directory, configuration, link, store, clock, counters } = options;
  const partitions = new Map<number, PartitionAllotmentState>();
  const writer = createLedgerWriter({
    store,
    clock,
    counters,
    random: options.random,
    partitionCount: directory.partitionCount,
    configuredLimitsOf,
  });
  const requests = createAllotmentRequests({
    ...options,
    updateLedger: (partitionState, teamState, change) =>
      runExclusively(teamState, () => updateLedger(partitionState, teamState, change)),
  });
  let isStopped = false;

  function teamStateOf(partition: number, team: string): TeamAllotmentState | null {
    const partitionState = partitions.get(partition);
    if (!partitionState) return null;
    const existing = partitionState.teams.get(team);
    if (existing) return existing;
    const created = createTeamAllotmentState(team, clock.monotonicMilliseconds());
    partitionState.teams.set(team, created);
    return created;
  }

  function limitsOf(team: string) {
    return configuration.current()?.teams[team]?.limits ?? null;
  }

  function configuredLimitsOf(team: string): ConfiguredLimits | null {
    const limits = limitsOf(team);
    return limits && { limits, revision: configuration.current()?.revision ?? 0 };
  }

  /** Changes a team's ledger in the store. Call it through `runExclusively`. */
  async function updateLedger(
    partitionState: PartitionAllotmentState,
    teamState: TeamAllotmentState,
    change: LedgerChange,
  ): Promise<boolean> {
    const update = await writer.update(partitionState.lease, teamState.team, change);
    if (update.ledger !== undefined) teamState.ledger = update.ledger;
    return update.isWritten;
  }

  function runExclusively<Value>(
    teamState: TeamAllotmentState,
    operation: () => Promise<Value>,
  ): Promise<Value> {
    return writer.runExclusively(teamState.team, operation);
  }

  /** Units that may be in use now; 0 until the allotment was taken over at the lease's epoch. */
  function computeUsableUnits(
    partitionState: PartitionAllotmentState,
    teamState: TeamAllotmentState,
    dimension: LimitDimension,
  ): number {
    const { partition, epoch } = partitionState.lease;
    const limits = limitsOf(teamState.team);
    if (!teamState.ledger || !limits || allotmentOf(teamState.ledger, partition).epoch !== epoch) {
      return 0;
    }
    // A ledger read before the limits changed does not show the other partitions' allotments after the change.
    if (!areLimitsEqual(teamState.ledger.limits, limits)) return 0;
    return usableUnits(teamState.ledger, partition, dimension);
  }

  /**
   * Returns all units except those in use and a reserve.
   *
   * @returns number of returned units
   */
  function returnIdleUnits(
    partitionState: PartitionAllotmentState,
    teamState: TeamAllotmentState,
    dimension: LimitDimension,
    reserve: number,
  ): Promise<number> {
    return runExclusively(teamState, () =>
      returnIdleUnitsLocked(partitionState, teamState, dimension, reserve),
    );
  }

  async function returnIdleUnitsLocked(
    partitionState: PartitionAllotmentState,
    teamState: TeamAllotmentState,
    dimension: LimitDimension,
    reserve: number,
  ): Promise<number> {
    const { partition } = partitionState.lease;
    const countAllotted = () =>
      teamState.ledger ? allotmentOf(teamState.ledger, partition)[dimension] : 0;
    const countRetained = () => Math.min(countAllotted(), teamState.usedUnits[dimension] + reserve);
    if (countRetained() >= countAllotted()) return 0;
    // Units whose return is not confirmed stay withheld; during an outage of the store this would withhold all units.
    if (!(await writer.isStoreReachable(teamState.team))) return 0;
    const before = countAllotted();
    // The units are withheld before the write, so that no charge can use them while it is in progress.
    const retained = countRetained();
    if (retained >= before || !teamState.ledger) return 0;
    const withheld = returnUnits(teamState.ledger, partition, dimension, retained);
    if (withheld) teamState.ledger = withheld;
    const isWritten = await updateLedger(partitionState, teamState, (ledger) =>
      returnUnits(ledger, partition, dimension, retained),
    );
    return isWritten ? before - retained : 0;
  }

  async function shrinkDimension(
    partitionState: PartitionAllotmentState,
    teamState: TeamAllotmentState,
    dimension: LimitDimension,
  ): Promise<void> {
    const limits = limitsOf(teamState.team);
    if (!limits || !teamState.ledger) return;
    if (!areLimitsEqual(teamState.ledger.limits, limits)) {
      await runExclusively(teamState, () =>
        updateLedger(partitionState, teamState, (ledger) => ledger),
      );
    }
    if (sumAllotments(teamState.ledger, dimension) <= limits[dimension]) return;
    const target = computeProportionalShare(
      teamState.ledger,
      partitionState.lease.partition,
      dimension,
    );
    await returnIdleUnits(
      partitionState,
      teamState,
      dimension,
      Math.max(0, target - teamState.usedUnits[dimension]),
    );
  }

  async function shrinkTeam(
    partitionState: PartitionAllotmentState,
    teamState: TeamAllotmentState,
  ): Promise<void> {
    for (const dimension of LIMIT_DIMENSIONS) {
      await shrinkDimension(partitionState, teamState, dimension);
    }
  }

  async function shrinkAll(partitionState: PartitionAllotmentState): Promise<void> {
    for (const teamState of [...partitionState.teams.values()]) {
      await shrinkTeam(partitionState, teamState);
    }
  }

  /**
   * Moves the partition's allotment of requests towards an equal split. No units can be granted while the store is
   * down, and a partition that had returned all its units would then refuse every request of the team.
   */
  async function rebalanceRequests(
    partitionState: PartitionAllotmentState,
    teamState: TeamAllotmentState,
  ): Promise<void> {
    const now = clock.monotonicMilliseconds();
    if (now < teamState.nextRebalanceAt) return;
    const peak = teamState.peakRequests;
    teamState.peakRequests = teamState.usedUnits.requests;
    teamState.nextRebalanceAt = now + REBALANCE_INTERVAL_MILLISECONDS;
    const { partition } = partitionState.lease;
    const limit = limitsOf(teamState.team)?.requests;
    if (limit === undefined || !teamState.ledger) return;
    const share = computeEqualShare(limit, partition, directory.partitionCount);
    const held = allotmentOf(teamState.ledger, partition).requests;
    if (held > share) {
      await returnIdleUnits(
        partitionState,
        teamState,
        'requests',
        Math.max(share, peak) - teamState.usedUnits.requests,
      );
    } else if (held < share) {
      const topUp = (ledger: AllotmentLedger) => topUpUnits(ledger, partition, 'requests', share);
      const isWritten = await runExclusively(teamState, () =>
        updateLedger(partitionState, teamState, topUp),
      );
      if (!isWritten) teamState.nextRebalanceAt = now + REBALANCE_RETRY_MILLISECONDS;
    }
  }

  async function maintainTeam(
    partitionState: PartitionAllotmentState,
    teamState: TeamAllotmentState,
  ): Promise<void> {
    await shrinkTeam(partitionState, teamState);
    await rebalanceRequests(partitionState, teamState);
    const idleFor = clock.monotonicMilliseconds() - teamState.lastChargedAt;
    if (idleFor >= IDLE_TIMEOUT_MILLISECONDS) {
      await returnIdleUnits(partitionState, teamState, 'tasks', IDLE_RESERVE_UNITS);
    }
  }

  async function maintain(): Promise<void> {
    while (!isStopped) {
      await sleep(clock, MAINTENANCE_INTERVAL_MILLISECONDS);
      for (const partitionState of [...partitions.values()]) {
        if (!partitionState.lease.mayAct()) continue;
        for (const teamState of [...partitionState.teams.values()]) {
          await maintainTeam(partitionState, teamState);
        }
      }
    }
  }

  /** Takes over the allotments of all configured teams, so that units are available to the first request. */
  async function takeOverAllotments(partitionState: PartitionAllotmentState): Promise<void> {
    const teams = Object.keys(configuration.current()?.teams ?? {});
    await Promise.all(
      teams.map(async (team) => {
        const teamState = teamStateOf(partitionState.lease.partition, team);
        const limits = limitsOf(team);
        const hasCurrentLimits =
          teamState?.ledger && limits && areLimitsEqual(teamState.ledger.limits, limits);
        if (!teamState || hasCurrentLimits) return;
        await runExclusively(teamState, () =>
          updateLedger(partitionState, teamState, (ledger) => ledger),
        );
      }),
    );
  }

  link.handle('allotment.return', async ({ partition, team, dimension }) => {
    const partitionState = partitions.get(partition);
    if (!partitionState) {
      return Err(createFailure('not-owner', { daemonId: 'this', partition }));
    }
    const teamState = teamStateOf(partition, team);
    return Ok({
      returned: teamState ? await returnIdleUnits(partitionState, teamState, dimension, 0) : 0,
    });
  });
  configuration.onChange(() => {
    partitions.forEach((partitionState) => {
      // Changed limits are rebalanced without waiting for the interval.
      partitionState.teams.forEach((teamState) =>
        Object.assign(teamState, { nextRebalanceAt: -Infinity }),
      );
      void takeOverAllotments(partitionState).then(() => shrinkAll(partitionState));
    });
  });

  const allotments: Allotments = {
    charge(partition, team, dimension, count) {
      const partitionState = partitions.get(partition);
      const teamState = teamStateOf(partition, team);
      if (!partitionState || !teamState) {
        return Err(createFailure('not-owner', { daemonId: 'this', partition }));
      }
      if (
        teamState.usedUnits[dimension] + count <=
        computeUsableUnits(partitionState, teamState, dimension)
      ) {
        teamState.usedUnits[dimension] += count;
        teamState.lastChargedAt = clock.monotonicMilliseconds();
        teamState.peakRequests = Math.max(teamState.peakRequests, teamState.usedUnits.requests);
        return Ok(undefined);
      }
      counters.increment('allotments.refused');
      requests.start(partitionState, teamState, dimension, count);
      const limit = limitsOf(team)?.[dimension] ?? 0;
      const wait = teamState.nextRequestAt[dimension] - clock.monotonicMilliseconds();
      const retry = { retryAfterMilliseconds: Math.max(MINIMUM_RETRY_AFTER_MILLISECONDS, wait) };
      return Err(createFailure('over-limit', { team, dimension, limit }, retry));
    },
    adopt(partition, team, dimension, count) {
      const teamState = teamStateOf(partition, team);
      if (teamState) teamState.usedUnits[dimension] += count;
    },
    release(partition, team, dimension, count) {
      const teamState = teamStateOf(partition, team);
      if (teamState) {
        teamState.usedUnits[dimension] = Math.max(0, teamState.usedUnits[dimension] - count);
      }
    },
  };
  const service: PartitionService = {
    name: 'allotments',
    async open({ lease }: PartitionOpening) {
      const partitionState: PartitionAllotmentState = { lease, teams: new Map() };
      partitions.set(lease.partition, partitionState);
      await takeOverAllotments(partitionState);
      return Ok(undefined);
    },
    release: () => Promise.resolve(null),
    close(partition) {
      partitions.delete(partition);
    },
    snapshot: () => [],
  };

  return {
    allotments,
    partitionService: service,
    start() {
      void maintain();
    },
    stop() {
      isStopped = true;
    },
  };
}
