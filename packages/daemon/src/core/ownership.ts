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

/** Time between two readings of the owner records, in milliseconds. */
export const RECONCILE_INTERVAL_MILLISECONDS = 400;
/** Readings asked for by callers are at least this far apart, in milliseconds. */
const MINIMUM_REFRESH_INTERVAL_MILLISECONDS = 100;
/** Daemons must have been the same for this long before partitions move between them, in milliseconds. */
const REBALANCE_DELAY_MILLISECONDS = 3_000;
const HANDOVER_DEADLINE_MILLISECONDS = 3_000;
/** A new owner waits this long for the state of a handover before it recovers without it, in milliseconds. */
const HANDOVER_STATE_TIMEOUT_MILLISECONDS = 1_000;
/** Releasing waits for the journal; while the store gives no answer that would be for ever, in milliseconds. */
const RELEASE_TIMEOUT_MILLISECONDS = 5_000;
const DRAIN_POLL_INTERVAL_MILLISECONDS = 20;

/** How the handover of all partitions ended. */
export type DrainOutcome = 'handed-over' | 'no-successor' | 'deadline';

/** What the ownership needs. */
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
  /** In the order of opening. */
  readonly services: () => readonly PartitionService[];
}

/** Claims, takes over and hands over partitions. */
export interface Ownership extends PartitionDirectory {
  start(): void;
  /**
   * Hands all partitions over and claims none from now on. Partitions that are left at the deadline are given up;
   * they are kept if there is no other live daemon to take them.
   *
   * @param remainingMilliseconds tells the time that is left for it, in milliseconds
   * @returns how it ended
   */
  drain(remainingMilliseconds: () => number): Promise<DrainOutcome>;
  /**
   * Gives up the partitions that no other daemon could take, once all their records are durable.
   *
   * @param remainingMilliseconds tells the time that is left for it, in milliseconds
   * @returns whether all records are durable
   */
  releaseAll(remainingMilliseconds: () => number): Promise<boolean>;
  stop(): void;
  /** @returns partitions served, with their epochs, for heartbeats */
  describeServedPartitions(): readonly { partition: number; epoch: number }[];
}

/**
 * Creates the ownership of partitions.
 *
 * @param options identity and collaborators
 * @returns the ownership
 */
export function createOwnership(options: OwnershipOptions): Ownership {
  const { selfId, partitionCount, membership, link, store, clock, counters, log } = options;
  const partitions = new Map<number, ServedPartition>();
  /** By `<partition>/<epoch>`. */
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

  /** Keeps all partitions' commits within this daemon's part of the store's budget. */
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
    log.warn('ownership dropped', { reason, partitions: [...partitions.keys()] });
    partitions.forEach((entry) => entry.close());
    partitions.clear();
  }

  function closePartition(entry: ServedPartition): void {
    entry.close();
    if (partitions.get(entry.partition) === entry) partitions.delete(entry.partition);
  }

  /** Ownership from before a lapse of the authority must be claimed again at a new epoch. */
  function closeAllAfterLapse(): void {
    const generation = membership.authorityGeneration();
    if (generation !== claimGeneration) closeAll('the authority had lapsed');
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
    log.warn('partition not recovered', { partition, epoch, reason: recovered.error });
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
    // A claim made across a lapse of the authority is repeated at the next epoch.
    if (generation !== membership.authorityGeneration()) return;
    counters.increment(former ? 'partitions.taken-over' : 'partitions.claimed');
    const stoppedAt = former ? clock.monotonicMilliseconds() : -Infinity;
    await startServing(partition, epoch, null, stoppedAt);
  }

  function isOwnProcess(owner: OwnerRecord): boolean {
    return owner.daemonId === selfId && owner.incarnation === options.incarnation;
  }

  /** The former owner's state usually arrives right after the owner record changed. */
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
      log.warn('partition not released in time', { partition: entry.partition });
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
    // Without the write this daemon is still the owner and claims the partition again at the next epoch.
    if (!isWritten) return;
    counters.increment('partitions.handed-over');
    await link.call(
      targetId,
      'ownership.handover',
      { partition: entry.partition, epoch, state },
      HANDOVER_DEADLINE_MILLISECONDS,
    );
  }

  /** Moves at most one partition per turn, so that a change of the daemons does not stop everything at once. */
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
    const listed = await store.list<OwnerRecord>(OWNER_PREFIX);
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
    const heard = membership.reportedOwners().get(partition);
    if (heard && heard.epoch >= (stored?.epoch ?? 0)) return heard;
    return stored ? { daemonId: stored.daemonId, epoch: stored.epoch } : null;
  }

  /** @returns whether there is a daemon to hand over to */
  async function handOverNextPartition(): Promise<boolean> {
    // Without the store no handover is possible, and the partitions stay in service meanwhile.
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
    closeAll('the time for the handover is over');
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
    closeAll('the time for the last records is over');
    return isDurable;
  }

  return {
    partitionCount,
    ownerOf,
    leaseOf: (partition) => partitions.get(partition)?.lease() ?? null,
    servedPartitions: () =>
      [...partitions.values()].filter((entry) => entry.lease()).map((entry) => entry.partition),
    refreshOwner() {
      if (clock.monotonicMilliseconds() - ownersReadAt < MINIMUM_REFRESH_INTERVAL_MILLISECONDS)
        return;
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
    releaseAll: releaseAll,
    stop() {
      isStopped = true;
      closeAll('daemon stops');
    },
  };
}
