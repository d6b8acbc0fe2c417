import { Ok, sleep, TIMED_OUT, withTimeout } from '@chicorybend/common';
import type { Clock, Counters, Log, StoreClient } from '@chicorybend/common';

import type { PartitionDirectory, PartitionService } from '../types/partition.js';
import type { PeerLink } from '../types/peer.js';
import { assignPartitions } from './assignment.js';
import { computeCommitInterval } from './commitPacing.js';
import type { Membership } from './membership.js';
import { OWNER_PREFIX, ownerKey, parseOwners } from './ownerRecord.js';
import type { OwnerRecord, VersionedOwner } from './ownerRecord.js';
import { createServedPartition } from './servedPartition.js';
import type { ServedPartition } from './servedPartition.js';

/** Time between two passes that read the owner records and claim or move partitions, in milliseconds. */
export const RECONCILE_INTERVAL_MILLISECONDS = 400;
/** Shortest time between a reading of the owner records and one on request, in milliseconds. */
const REFRESH_INTERVAL_MILLISECONDS = 100;
/** Partitions are handed over only after the set of active daemons was unchanged for this long, in milliseconds. */
const REBALANCE_DELAY_MILLISECONDS = 3_000;
const HANDOVER_DEADLINE_MILLISECONDS = 3_000;
/** A new owner waits this long for the handed-over state before it recovers from the journal alone, in milliseconds. */
const HANDOVER_STATE_TIMEOUT_MILLISECONDS = 1_000;
/** Releasing waits for journal commits, which never end while the store is down; hence a limit, in milliseconds. */
const RELEASE_TIMEOUT_MILLISECONDS = 5_000;
const DRAIN_POLL_INTERVAL_MILLISECONDS = 20;

/** How the handover of all partitions ended. */
export type DrainOutcome = 'handed-over' | 'no-successor' | 'deadline';

export interface OwnershipOptions {
  readonly selfId: string;
  readonly incarnation: string;
  readonly partitionCount: number;
  readonly storeWritesPerSecond: number;
  readonly membership: Membership;
  readonly link: PeerLink;
  readonly store: StoreClient;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly log: Log;
  readonly random: () => number;
  /** Services to open for each partition, in this order. */
  readonly services: () => readonly PartitionService[];
}

/** Claims, takes over and hands over partitions, and knows the owner of each. */
export interface Ownership extends PartitionDirectory {
  start(): void;
  /**
   * Hands all partitions over and claims no more. At the deadline the remaining partitions are closed. Without another
   * live daemon they stay open.
   *
   * @param remainingMilliseconds returns the time left until the deadline, in milliseconds
   * @returns how it ended
   */
  drain(remainingMilliseconds: () => number): Promise<DrainOutcome>;
  /**
   * Closes the partitions that no other daemon could take, each once its records are durable. At the deadline the
   * remaining ones are closed at once.
   *
   * @param remainingMilliseconds returns the time left until the deadline, in milliseconds
   * @returns whether all records are durable
   */
  releaseAll(remainingMilliseconds: () => number): Promise<boolean>;
  stop(): void;
  /** @returns partitions that this daemon serves, with their epochs, as sent in heartbeats */
  describeServedPartitions(): readonly { partition: number; epoch: number }[];
}

/**
 * Creates the ownership of partitions. A regular pass claims unowned partitions, takes over those of daemons that have
 * lost their authority, and hands partitions over to their intended owners.
 */
export function createOwnership(options: OwnershipOptions): Ownership {
  const { selfId, partitionCount, membership, link, store, clock, counters, log } = options;
  const partitions = new Map<number, ServedPartition>();
  /** Monotonic time at which a handover to this daemon was first read, by `<partition>/<epoch>`. */
  const handoverSeenAt = new Map<string, number>();
  const transitioningPartitions = new Set<number>();
  let owners = new Map<number, VersionedOwner>();
  let activeIdsKey = '';
  let assignment: readonly string[] = [];
  let activeIdsChangedAt = clock.monotonicMilliseconds();
  let claimGeneration = 0;
  let isDraining = false;
  let isStopped = false;
  let ownersReadAt = -Infinity;
  let openReadings = 0;

  /** Time between commits that keeps this daemon within its share of the store's write budget, in milliseconds. */
  function commitInterval(): number {
    const members = membership.record()?.members.length ?? 1;
    return computeCommitInterval(partitions.size, members, options.storeWritesPerSecond);
  }

  function activeIds(): readonly string[] {
    const draining = new Set(
      membership
        .peerStatuses()
        .filter((report) => report.isDraining)
        .map((report) => report.daemonId),
    );
    if (isDraining) draining.add(selfId);
    return membership
      .liveMembers()
      .map((member) => member.daemonId)
      .filter((daemonId) => !draining.has(daemonId));
  }

  function updateAssignment(): readonly string[] {
    const ids = activeIds();
    const joined = ids.join();
    if (joined !== activeIdsKey) {
      activeIdsKey = joined;
      activeIdsChangedAt = clock.monotonicMilliseconds();
      assignment = assignPartitions(partitionCount, ids);
    }
    return assignment;
  }

  function closeAll(reason: string): void {
    if (partitions.size === 0) return;
    log.warn('closing all partitions', { reason, partitions: [...partitions.keys()] });
    partitions.forEach((entry) => entry.close());
    partitions.clear();
  }

  function closePartition(entry: ServedPartition): void {
    entry.close();
    if (partitions.get(entry.partition) === entry) partitions.delete(entry.partition);
  }

  /** Partitions that were claimed before a lapse of the authority must be claimed again at a new epoch. */
  function closeAllAfterLapse(): void {
    const generation = membership.authorityGeneration();
    if (generation !== claimGeneration) closeAll('the right to act as an owner had lapsed');
    claimGeneration = generation;
  }

  async function startServing(
    partition: number,
    epoch: number,
    handedOver: Readonly<Record<string, unknown>> | null,
    formerOwnerStoppedAt: number,
  ): Promise<void> {
    const generation = membership.authorityGeneration();
    if (generation !== claimGeneration) return;
    const entry = createServedPartition({
      partition,
      epoch,
      selfId,
      handedOver,
      formerOwnerStoppedAt,
      services: options.services(),
      store,
      clock,
      counters,
      log,
      random: options.random,
      commitIntervalMilliseconds: commitInterval,
      mayAct: () => membership.mayAct() && membership.authorityGeneration() === generation,
      onFenced: () => {
        if (partitions.get(partition) === entry) partitions.delete(partition);
      },
    });
    partitions.set(partition, entry);
    const recovered = await entry.recover();
    if (recovered.isOk()) return;
    log.warn('recovery of a partition failed; closing it', {
      partition,
      epoch,
      reason: recovered.error,
    });
    closePartition(entry);
  }

  async function writeOwner(
    partition: number,
    record: OwnerRecord,
    expectedVersion: number,
  ): Promise<boolean> {
    const written = await store.put({ key: ownerKey(partition), data: record, expectedVersion });
    if (written.isErr() || written.value.kind === 'conflict') return false;
    owners.set(partition, { ...record, version: written.value.version });
    return true;
  }

  async function claim(partition: number, former: VersionedOwner | undefined): Promise<void> {
    const epoch = (former?.epoch ?? 0) + 1;
    const record = { daemonId: selfId, incarnation: options.incarnation, epoch, isHandover: false };
    const generation = membership.authorityGeneration();
    if (!(await writeOwner(partition, record, former?.version ?? 0))) return;
    // The authority lapsed during the claim; the next pass claims the partition again at the next epoch.
    if (generation !== membership.authorityGeneration()) return;
    counters.increment(former ? 'partitions.taken-over' : 'partitions.claimed');
    const stoppedAt = former ? clock.monotonicMilliseconds() : -Infinity;
    await startServing(partition, epoch, null, stoppedAt);
  }

  function isOwnProcess(owner: OwnerRecord): boolean {
    return owner.daemonId === selfId && owner.incarnation === options.incarnation;
  }

  /** Whether to wait for the handed-over state, which usually arrives right after the owner record changed. */
  function isHandoverAwaited(partition: number, owner: VersionedOwner): boolean {
    if (!owner.isHandover) return false;
    const now = clock.monotonicMilliseconds();
    const identity = `${partition}/${owner.epoch}`;
    const seenAt = handoverSeenAt.get(identity) ?? now;
    handoverSeenAt.set(identity, seenAt);
    return now - seenAt < HANDOVER_STATE_TIMEOUT_MILLISECONDS;
  }

  async function claimIfDue(partition: number, intendedOwner: string | undefined): Promise<void> {
    const owner = owners.get(partition);
    if (owner && isOwnProcess(owner)) {
      if (!isHandoverAwaited(partition, owner)) await claim(partition, owner);
      return;
    }
    if (intendedOwner !== selfId) return;
    if (owner && !(await membership.hasLostAuthority(owner.daemonId, owner.incarnation))) return;
    await claim(partition, owner);
  }

  function findMember(daemonId: string) {
    return membership.record()?.members.find((member) => member.daemonId === daemonId);
  }

  async function handOver(entry: ServedPartition, targetId: string): Promise<void> {
    const target = findMember(targetId);
    const owner = owners.get(entry.partition);
    if (!target || !owner || entry.state() !== 'serving') return;
    const state = await withTimeout(clock, entry.release(), RELEASE_TIMEOUT_MILLISECONDS);
    if (state === TIMED_OUT) {
      log.warn('partition not released in time; closing it', {
        partition: entry.partition,
        limitMilliseconds: RELEASE_TIMEOUT_MILLISECONDS,
      });
      closePartition(entry);
      return;
    }
    const epoch = entry.epoch + 1;
    const record = {
      daemonId: targetId,
      incarnation: target.incarnation,
      epoch,
      isHandover: true,
    };
    const isWritten = await writeOwner(entry.partition, record, owner.version);
    closePartition(entry);
    // If the write failed, this daemon is still the owner and claims the partition again at the next epoch.
    if (!isWritten) return;
    counters.increment('partitions.handed-over');
    await link.call(
      targetId,
      'ownership.handover',
      { partition: entry.partition, epoch, state },
      HANDOVER_DEADLINE_MILLISECONDS,
    );
  }

  /** Hands over at most one partition per pass, so that a change of the daemons does not interrupt all at once. */
  async function rebalance(intendedOwners: readonly string[]): Promise<void> {
    const isSettled =
      clock.monotonicMilliseconds() - activeIdsChangedAt >= REBALANCE_DELAY_MILLISECONDS ||
      isDraining;
    if (!isSettled) return;
    const misplaced = [...partitions.values()].find((entry) => {
      const target = intendedOwners[entry.partition];
      return entry.state() === 'serving' && target !== undefined && target !== selfId;
    });
    const target = misplaced && intendedOwners[misplaced.partition];
    if (misplaced && target) await handOver(misplaced, target);
  }

  async function readOwnerRecords(): Promise<boolean> {
    ownersReadAt = clock.monotonicMilliseconds();
    openReadings += 1;
    const listed = await store.list<OwnerRecord>(OWNER_PREFIX);
    openReadings -= 1;
    if (listed.isErr()) return false;
    owners = parseOwners(listed.value);
    return true;
  }

  function closeLostPartitions(): void {
    partitions.forEach((entry, partition) => {
      const owner = owners.get(partition);
      if (owner && owner.epoch > entry.epoch) closePartition(entry);
    });
  }

  async function claimUnservedPartitions(intendedOwners: readonly string[]): Promise<void> {
    const unserved = Array.from({ length: partitionCount }, (_, partition) => partition).filter(
      (partition) => !partitions.has(partition) && !transitioningPartitions.has(partition),
    );
    await Promise.all(
      unserved.map(async (partition) => {
        transitioningPartitions.add(partition);
        await claimIfDue(partition, intendedOwners[partition]);
        transitioningPartitions.delete(partition);
      }),
    );
  }

  async function reconcile(): Promise<void> {
    closeAllAfterLapse();
    if (!membership.mayAct() || !(await readOwnerRecords())) return;
    closeAllAfterLapse();
    closeLostPartitions();
    const intendedOwners = updateAssignment();
    if (!isDraining) await claimUnservedPartitions(intendedOwners);
    await rebalance(intendedOwners);
  }

  async function reconcilePeriodically(): Promise<void> {
    while (!isStopped) {
      await reconcile();
      await sleep(clock, RECONCILE_INTERVAL_MILLISECONDS);
    }
  }

  link.handle('ownership.handover', async ({ partition, epoch, state }) => {
    const isStale =
      transitioningPartitions.has(partition) || (partitions.get(partition)?.epoch ?? 0) >= epoch;
    if (isStale || !membership.mayAct()) return Ok({ accepted: false });
    transitioningPartitions.add(partition);
    closeAllAfterLapse();
    await startServing(partition, epoch, state, clock.monotonicMilliseconds());
    transitioningPartitions.delete(partition);
    return Ok({ accepted: partitions.has(partition) });
  });

  function ownerOf(partition: number) {
    const own = partitions.get(partition);
    if (own && own.state() === 'serving') return { daemonId: selfId, epoch: own.epoch };
    const stored = owners.get(partition);
    const reported = membership.reportedOwners().get(partition);
    if (reported && reported.epoch >= (stored?.epoch ?? 0)) return reported;
    return stored ? { daemonId: stored.daemonId, epoch: stored.epoch } : null;
  }

  /** @returns false if there is no other daemon to hand over to */
  async function handOverNextPartition(): Promise<boolean> {
    // While the store is down no handover is possible, and the partitions stay in service.
    if (!(await readOwnerRecords())) return true;
    const intendedOwners = updateAssignment();
    if (intendedOwners.length === 0) return false;
    await rebalance(intendedOwners);
    return true;
  }

  async function drain(remainingMilliseconds: () => number): Promise<DrainOutcome> {
    isDraining = true;
    while (partitions.size > 0 && remainingMilliseconds() > 0) {
      if (!(await handOverNextPartition())) return 'no-successor';
      if (partitions.size > 0) await sleep(clock, DRAIN_POLL_INTERVAL_MILLISECONDS);
    }
    if (partitions.size === 0) return 'handed-over';
    closeAll('deadline of the handover');
    return 'deadline';
  }

  async function releaseAll(remainingMilliseconds: () => number): Promise<boolean> {
    while (partitions.size > 0 && remainingMilliseconds() > 0) {
      [...partitions.values()]
        .filter((entry) => entry.state() === 'serving')
        .forEach((entry) => {
          void entry.release().then(() => closePartition(entry));
        });
      await sleep(clock, DRAIN_POLL_INTERVAL_MILLISECONDS);
    }
    const isDurable = partitions.size === 0;
    closeAll('deadline for committing the last records');
    return isDurable;
  }

  return {
    partitionCount,
    ownerOf,
    isOwnerSilent(partition) {
      const owner = ownerOf(partition);
      return owner !== null && owner.daemonId !== selfId && !membership.isAnswering(owner.daemonId);
    },
    leaseOf: (partition) => partitions.get(partition)?.lease() ?? null,
    servedPartitions: () =>
      [...partitions.values()].filter((entry) => entry.lease()).map((entry) => entry.partition),
    refreshOwner() {
      // During a store outage a reading lasts until its deadline. Overlapping ones would crowd out session renewals.
      if (openReadings > 0) return;
      if (clock.monotonicMilliseconds() - ownersReadAt < REFRESH_INTERVAL_MILLISECONDS) return;
      void readOwnerRecords();
    },
    describeServedPartitions: () =>
      [...partitions.values()]
        .filter((entry) => entry.lease())
        .map((entry) => ({ partition: entry.partition, epoch: entry.epoch })),
    start() {
      void reconcilePeriodically();
    },
    drain,
    releaseAll,
    stop() {
      isStopped = true;
      closeAll('the daemon is stopping');
    },
  };
}
