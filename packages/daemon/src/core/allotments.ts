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
/** Units idle for this long are given back, in milliseconds. */
const IDLE_TIMEOUT_MILLISECONDS = 5_000;
/** Each step that finds nothing unassigned costs a reading of the store, in milliseconds. */
const REBALANCE_RETRY_MILLISECONDS = 30_000;
/** Idle units that a partition keeps. */
const IDLE_RESERVE_UNITS = 2;
/** A grant takes a reading and a write of the store. */
const MINIMUM_RETRY_AFTER_MILLISECONDS = 25;

/** What the allotments need. */
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

/** Allotments and the service that opens them with each partition. */
export interface AllotmentService {
  readonly allotments: Allotments;
  readonly partitionService: PartitionService;
  start(): void;
  stop(): void;
}

/**
 * Creates this daemon's parts of the teams' upper limits. The parts of all partitions never sum to more than the
 * limit; each is charged before work starts and given back when the work has certainly ended.
 *
 * @param options collaborators
 * @returns the allotments
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
    configuredLimitsOf: configuredLimitsOf,
  });
  const requests = createAllotmentRequests({
    ...options,
    updateLedger: (entry, use, change) =>
      runExclusively(use, () => updateLedger(entry, use, change)),
  });
  let isStopped = false;

  function teamStateOf(partition: number, team: string): TeamAllotmentState | null {
    const entry = partitions.get(partition);
    if (!entry) return null;
    const existing = entry.teams.get(team);
    if (existing) return existing;
    const created = createTeamAllotmentState(team, clock.monotonicMilliseconds());
    entry.teams.set(team, created);
    return created;
  }

  function limitsOf(team: string) {
    return configuration.current()?.teams[team]?.limits ?? null;
  }

  function configuredLimitsOf(team: string): ConfiguredLimits | null {
    const limits = limitsOf(team);
    return limits && { limits, revision: configuration.current()?.revision ?? 0 };
  }

  /** Changes a team's ledger for a partition, one change of the team at a time. */
  async function updateLedger(
    entry: PartitionAllotmentState,
    use: TeamAllotmentState,
    change: LedgerChange,
  ): Promise<boolean> {
    const update = await writer.update(entry.lease, use.team, change);
    if (update.ledger !== undefined) use.ledger = update.ledger;
    return update.isWritten;
  }

  function runExclusively<Value>(
    use: TeamAllotmentState,
    work: () => Promise<Value>,
  ): Promise<Value> {
    return writer.runExclusively(use.team, work);
  }

  /** Units that may be in use now; none before the part was taken over at the present epoch. */
  function countUsableUnits(
    entry: PartitionAllotmentState,
    use: TeamAllotmentState,
    dimension: LimitDimension,
  ): number {
    const { partition, epoch } = entry.lease;
    const limits = limitsOf(use.team);
    if (!use.ledger || !limits || allotmentOf(use.ledger, partition).epoch !== epoch) return 0;
    // A ledger seen before a change of the limits tells nothing about the other partitions' parts after it.
    if (!areLimitsEqual(use.ledger.limits, limits)) return 0;
    return usableUnits(use.ledger, partition, dimension);
  }

  /** Gives back all but the units in use and a reserve. */
  function returnIdleUnits(
    entry: PartitionAllotmentState,
    use: TeamAllotmentState,
    dimension: LimitDimension,
    reserve: number,
  ): Promise<number> {
    return runExclusively(use, () => returnIdleUnitsLocked(entry, use, dimension, reserve));
  }

  async function returnIdleUnitsLocked(
    entry: PartitionAllotmentState,
    use: TeamAllotmentState,
    dimension: LimitDimension,
    reserve: number,
  ): Promise<number> {
    const { partition } = entry.lease;
    const countAllotted = () => (use.ledger ? allotmentOf(use.ledger, partition)[dimension] : 0);
    const countRetained = () => Math.min(countAllotted(), use.usedUnits[dimension] + reserve);
    if (countRetained() >= countAllotted()) return 0;
    // Units whose return is not known to be written stay withheld; during an outage all of them would end so.
    if (!(await writer.isStoreReachable(use.team))) return 0;
    const before = countAllotted();
    // The units are withheld from new charges before the write, so that no charge can use them meanwhile.
    const kept = countRetained();
    if (kept >= before || !use.ledger) return 0;
    const withheld = returnUnits(use.ledger, partition, dimension, kept);
    if (withheld) use.ledger = withheld;
    const isWritten = await updateLedger(entry, use, (ledger) =>
      returnUnits(ledger, partition, dimension, kept),
    );
    return isWritten ? before - kept : 0;
  }

  async function shrinkDimension(
    entry: PartitionAllotmentState,
    use: TeamAllotmentState,
    dimension: LimitDimension,
  ): Promise<void> {
    const limits = limitsOf(use.team);
    if (!limits || !use.ledger) return;
    if (!areLimitsEqual(use.ledger.limits, limits)) {
      await runExclusively(use, () => updateLedger(entry, use, (ledger) => ledger));
    }
    if (sumAllotments(use.ledger, dimension) <= limits[dimension]) return;
    const target = computeProportionalShare(use.ledger, entry.lease.partition, dimension);
    await returnIdleUnits(entry, use, dimension, Math.max(0, target - use.usedUnits[dimension]));
  }

  async function shrinkTeam(
    entry: PartitionAllotmentState,
    use: TeamAllotmentState,
  ): Promise<void> {
    for (const dimension of LIMIT_DIMENSIONS) await shrinkDimension(entry, use, dimension);
  }

  async function shrinkAll(entry: PartitionAllotmentState): Promise<void> {
    for (const use of [...entry.teams.values()]) await shrinkTeam(entry, use);
  }

  /**
   * Moves towards an equal split of the requests. Without the store no units can be granted, and then a partition
   * that gave its units away would refuse every request of the team.
   */
  async function rebalanceRequests(
    entry: PartitionAllotmentState,
    use: TeamAllotmentState,
  ): Promise<void> {
    const now = clock.monotonicMilliseconds();
    if (now < use.nextRebalanceAt) return;
    const peak = use.peakRequests;
    use.peakRequests = use.usedUnits.requests;
    use.nextRebalanceAt = now + REBALANCE_INTERVAL_MILLISECONDS;
    const { partition } = entry.lease;
    const limit = limitsOf(use.team)?.requests;
    if (limit === undefined || !use.ledger) return;
    const share = computeEqualShare(limit, partition, directory.partitionCount);
    const held = allotmentOf(use.ledger, partition).requests;
    if (held > share) {
      await returnIdleUnits(entry, use, 'requests', Math.max(share, peak) - use.usedUnits.requests);
    } else if (held < share) {
      const topUp = (ledger: AllotmentLedger) => topUpUnits(ledger, partition, 'requests', share);
      const isWritten = await runExclusively(use, () => updateLedger(entry, use, topUp));
      if (!isWritten) use.nextRebalanceAt = now + REBALANCE_RETRY_MILLISECONDS;
    }
  }

  async function maintainTeam(
    entry: PartitionAllotmentState,
    use: TeamAllotmentState,
  ): Promise<void> {
    await shrinkTeam(entry, use);
    await rebalanceRequests(entry, use);
    const idleFor = clock.monotonicMilliseconds() - use.lastChargedAt;
    if (idleFor >= IDLE_TIMEOUT_MILLISECONDS)
      await returnIdleUnits(entry, use, 'tasks', IDLE_RESERVE_UNITS);
  }

  async function maintain(): Promise<void> {
    while (!isStopped) {
      await sleep(clock, MAINTENANCE_INTERVAL_MILLISECONDS);
      for (const entry of [...partitions.values()]) {
        if (!entry.lease.mayAct()) continue;
        for (const use of [...entry.teams.values()]) await maintainTeam(entry, use);
      }
    }
  }

  /** Takes the parts of all configured teams over, so that the first request finds units. */
  async function takeOverAllotments(entry: PartitionAllotmentState): Promise<void> {
    const teams = Object.keys(configuration.current()?.teams ?? {});
    await Promise.all(
      teams.map(async (team) => {
        const use = teamStateOf(entry.lease.partition, team);
        const limits = limitsOf(team);
        const hasCurrentLimits = use?.ledger && limits && areLimitsEqual(use.ledger.limits, limits);
        if (!use || hasCurrentLimits) return;
        await runExclusively(use, () => updateLedger(entry, use, (ledger) => ledger));
      }),
    );
  }

  link.handle('allotment.return', async ({ partition, team, dimension }) => {
    const entry = partitions.get(partition);
    if (!entry) {
      return Err(createFailure('not-owner', { daemonId: 'this', partition }));
    }
    const use = teamStateOf(partition, team);
    return Ok({ returned: use ? await returnIdleUnits(entry, use, dimension, 0) : 0 });
  });
  configuration.onChange(() => {
    partitions.forEach((entry) => {
      // A changed limit is split at once.
      entry.teams.forEach((use) => Object.assign(use, { levelNotBefore: -Infinity }));
      void takeOverAllotments(entry).then(() => shrinkAll(entry));
    });
  });

  const allotments: Allotments = {
    charge(partition, team, dimension, count) {
      const entry = partitions.get(partition);
      const use = teamStateOf(partition, team);
      if (!entry || !use) return Err(createFailure('not-owner', { daemonId: 'this', partition }));
      if (use.usedUnits[dimension] + count <= countUsableUnits(entry, use, dimension)) {
        use.usedUnits[dimension] += count;
        use.lastChargedAt = clock.monotonicMilliseconds();
        use.peakRequests = Math.max(use.peakRequests, use.usedUnits.requests);
        return Ok(undefined);
      }
      counters.increment('allotments.refused');
      requests.start(entry, use, dimension, count);
      const limit = limitsOf(team)?.[dimension] ?? 0;
      const wait = use.nextRequestAt[dimension] - clock.monotonicMilliseconds();
      const retry = { retryAfterMilliseconds: Math.max(MINIMUM_RETRY_AFTER_MILLISECONDS, wait) };
      return Err(createFailure('over-limit', { team, dimension, limit }, retry));
    },
    adopt(partition, team, dimension, count) {
      const use = teamStateOf(partition, team);
      if (use) use.usedUnits[dimension] += count;
    },
    release(partition, team, dimension, count) {
      const use = teamStateOf(partition, team);
      if (use) use.usedUnits[dimension] = Math.max(0, use.usedUnits[dimension] - count);
    },
  };
  const service: PartitionService = {
    name: 'allotments',
    async open({ lease }: PartitionOpening) {
      const entry: PartitionAllotmentState = { lease, teams: new Map() };
      partitions.set(lease.partition, entry);
      await takeOverAllotments(entry);
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
