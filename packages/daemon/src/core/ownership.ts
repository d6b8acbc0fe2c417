import { Ok, sleep, TIMED_OUT, withTimeout } from '@chicorybend/common';
import type { Clock, Counters, Log, StoreClient } from '@chicorybend/common';

import type { PartitionDirectory, PartitionService } from '../types/partition.js';
import type { PeerLink } from '../types/peer.js';
import { assignPartitions } from './assignment.js';
import { computeCommitInterval } from './commitPacing.js';
import type { Membership } from './membership.js';
import { OWNER_PREFIX, ownerKey, readOwners } from './ownerRecord.js';
import type { OwnerRecord, VersionedOwner } from './ownerRecord.js';
import { createServedPartition } from './servedPartition.js';
import type { ServedPartition } from './servedPartition.js';

/** Time between two readings of the owner records, in milliseconds. */
export const OWNERSHIP_INTERVAL_MILLISECONDS = 400;
/** Readings asked for by callers are at least this far apart, in milliseconds. */
const REFRESH_SPACING_MILLISECONDS = 100;
/** Daemons must have been the same for this long before partitions move between them, in milliseconds. */
const REBALANCE_AFTER_MILLISECONDS = 3_000;
const HANDOVER_DEADLINE_MILLISECONDS = 3_000;
/** A new owner waits this long for the state of a handover before it recovers without it, in milliseconds. */
const HANDOVER_WAIT_MILLISECONDS = 1_000;
/** Releasing waits for the journal; while the store gives no answer that would be for ever, in milliseconds. */
const RELEASE_LIMIT_MILLISECONDS = 5_000;
const DRAIN_PAUSE_MILLISECONDS = 20;

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
  finish(remainingMilliseconds: () => number): Promise<boolean>;
  stop(): void;
  /** @returns partitions served, with their epochs, for heartbeats */
  describeOwned(): readonly { partition: number; epoch: number }[];
}

/**
 * Creates the ownership of partitions.
 *
 * @param options identity and collaborators
 * @returns the ownership
 */
export function createOwnership(options: OwnershipOptions): Ownership {
  const { selfId, partitionCount, membership, link, store, clock, counters, log } = options;
  const served = new Map<number, ServedPartition>();
  /** By `<partition>/<epoch>`. */
  const handoverSeenAt = new Map<string, number>();
  const busy = new Set<number>();
  let owners = new Map<number, VersionedOwner>();
  let liveIds = '';
  let assignment: readonly string[] = [];
  let liveSince = clock.monotonicMilliseconds();
  let servedGeneration = 0;
  let isDraining = false;
  let isStopped = false;
  let readAt = -Infinity;

  /** Keeps all partitions' commits within this daemon's part of the store's budget. */
  function commitInterval(): number {
    const members = membership.record()?.members.length ?? 1;
    return computeCommitInterval(served.size, members, options.storeWritesPerSecond);
  }

  function activeIds(): readonly string[] {
    const draining = new Set(
      membership
        .reports()
        .filter((report) => report.isDraining)
        .map((report) => report.daemonId),
    );
    if (isDraining) draining.add(selfId);
    return membership
      .liveMembers()
      .map((member) => member.daemonId)
      .filter((daemonId) => !draining.has(daemonId));
  }

  function watchLiveMembers(): readonly string[] {
    const ids = activeIds();
    const joined = ids.join();
    if (joined !== liveIds) {
      liveIds = joined;
      liveSince = clock.monotonicMilliseconds();
      assignment = assignPartitions(partitionCount, ids);
    }
    return assignment;
  }

  function dropAll(reason: string): void {
    if (served.size === 0) return;
    log.warn('ownership dropped', { reason, partitions: [...served.keys()] });
    served.forEach((entry) => entry.close());
    served.clear();
  }

  function giveUp(entry: ServedPartition): void {
    entry.close();
    if (served.get(entry.partition) === entry) served.delete(entry.partition);
  }

  /** Ownership from before a lapse of the authority must be claimed again at a new epoch. */
  function dropAfterLapse(): void {
    const generation = membership.generation();
    if (generation !== servedGeneration) dropAll('the authority had lapsed');
    servedGeneration = generation;
  }

  async function serve(
    partition: number,
    epoch: number,
    handedOver: Readonly<Record<string, unknown>> | null,
    formerOwnerStoppedAt: number,
  ): Promise<void> {
    const generation = membership.generation();
    if (generation !== servedGeneration) return;
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
      mayAct: () => membership.mayAct() && membership.generation() === generation,
      onFenced: () => {
        if (served.get(partition) === entry) served.delete(partition);
      },
    });
    served.set(partition, entry);
    const recovered = await entry.recover();
    if (recovered.isOk()) return;
    log.warn('partition not recovered', { partition, epoch, reason: recovered.error });
    giveUp(entry);
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
    const generation = membership.generation();
    if (!(await writeOwner(partition, record, former?.version ?? 0))) return;
    // A claim made across a lapse of the authority is repeated at the next epoch.
    if (generation !== membership.generation()) return;
    counters.increment(former ? 'partitions.taken-over' : 'partitions.claimed');
    const stoppedAt = former ? clock.monotonicMilliseconds() : -Infinity;
    await serve(partition, epoch, null, stoppedAt);
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
    return now - seenAt < HANDOVER_WAIT_MILLISECONDS;
  }

  async function claimIfDue(partition: number, intended: string | undefined): Promise<void> {
    const owner = owners.get(partition);
    if (owner && isOwnProcess(owner)) {
      if (!isHandoverAwaited(partition, owner)) await claim(partition, owner);
      return;
    }
    if (intended !== selfId) return;
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
    const state = await withTimeout(clock, entry.release(), RELEASE_LIMIT_MILLISECONDS);
    if (state === TIMED_OUT) {
      log.warn('partition not released in time', { partition: entry.partition });
      giveUp(entry);
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
    giveUp(entry);
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
  async function rebalance(intended: readonly string[]): Promise<void> {
    const isSettled =
      clock.monotonicMilliseconds() - liveSince >= REBALANCE_AFTER_MILLISECONDS || isDraining;
    if (!isSettled) return;
    const misplaced = [...served.values()].find((entry) => {
      const target = intended[entry.partition];
      return entry.state() === 'serving' && target !== undefined && target !== selfId;
    });
    const target = misplaced && intended[misplaced.partition];
    if (misplaced && target) await handOver(misplaced, target);
  }

  async function readOwnerRecords(): Promise<boolean> {
    readAt = clock.monotonicMilliseconds();
    const listed = await store.list<OwnerRecord>(OWNER_PREFIX);
    if (listed.isErr()) return false;
    owners = readOwners(listed.value);
    return true;
  }

  function dropLost(): void {
    served.forEach((entry, partition) => {
      const owner = owners.get(partition);
      if (owner && owner.epoch > entry.epoch) giveUp(entry);
    });
  }

  async function claimMissing(intended: readonly string[]): Promise<void> {
    const missing = Array.from({ length: partitionCount }, (_, partition) => partition).filter(
      (partition) => !served.has(partition) && !busy.has(partition),
    );
    await Promise.all(
      missing.map(async (partition) => {
        busy.add(partition);
        await claimIfDue(partition, intended[partition]);
        busy.delete(partition);
      }),
    );
  }

  async function takeTurn(): Promise<void> {
    dropAfterLapse();
    if (!membership.mayAct() || !(await readOwnerRecords())) return;
    dropAfterLapse();
    dropLost();
    const intended = watchLiveMembers();
    if (!isDraining) await claimMissing(intended);
    await rebalance(intended);
  }

  async function run(): Promise<void> {
    while (!isStopped) {
      await takeTurn();
      await sleep(clock, OWNERSHIP_INTERVAL_MILLISECONDS);
    }
  }

  link.handle('ownership.handover', async ({ partition, epoch, state }) => {
    const isStale = busy.has(partition) || (served.get(partition)?.epoch ?? 0) >= epoch;
    if (isStale || !membership.mayAct()) return Ok({ accepted: false });
    busy.add(partition);
    dropAfterLapse();
    await serve(partition, epoch, state, clock.monotonicMilliseconds());
    busy.delete(partition);
    return Ok({ accepted: served.has(partition) });
  });

  function ownerOf(partition: number) {
    const own = served.get(partition);
    if (own && own.state() === 'serving') return { daemonId: selfId, epoch: own.epoch };
    const stored = owners.get(partition);
    const heard = membership.heardOwners().get(partition);
    if (heard && heard.epoch >= (stored?.epoch ?? 0)) return heard;
    return stored ? { daemonId: stored.daemonId, epoch: stored.epoch } : null;
  }

  /** @returns whether there is a daemon to hand over to */
  async function drainOne(): Promise<boolean> {
    // Without the store no handover is possible, and the partitions stay in service meanwhile.
    if (!(await readOwnerRecords())) return true;
    const intended = watchLiveMembers();
    if (intended.length === 0) return false;
    await rebalance(intended);
    return true;
  }

  async function drain(remainingMilliseconds: () => number): Promise<DrainOutcome> {
    isDraining = true;
    while (served.size > 0 && remainingMilliseconds() > 0) {
      if (!(await drainOne())) return 'no-successor';
      if (served.size > 0) await sleep(clock, DRAIN_PAUSE_MILLISECONDS);
    }
    if (served.size === 0) return 'handed-over';
    dropAll('the time for the handover is over');
    return 'deadline';
  }

  async function finish(remainingMilliseconds: () => number): Promise<boolean> {
    while (served.size > 0 && remainingMilliseconds() > 0) {
      [...served.values()]
        .filter((entry) => entry.state() === 'serving')
        .forEach((entry) => {
          void entry.release().then(() => giveUp(entry));
        });
      await sleep(clock, DRAIN_PAUSE_MILLISECONDS);
    }
    const isDurable = served.size === 0;
    dropAll('the time for the last records is over');
    return isDurable;
  }

  return {
    partitionCount,
    ownerOf,
    leaseOf: (partition) => served.get(partition)?.lease() ?? null,
    owned: () =>
      [...served.values()].filter((entry) => entry.lease()).map((entry) => entry.partition),
    refresh() {
      if (clock.monotonicMilliseconds() - readAt < REFRESH_SPACING_MILLISECONDS) return;
      void readOwnerRecords();
    },
    describeOwned: () =>
      [...served.values()]
        .filter((entry) => entry.lease())
        .map((entry) => ({ partition: entry.partition, epoch: entry.epoch })),
    start() {
      void run();
    },
    drain,
    finish,
    stop() {
      isStopped = true;
      dropAll('daemon stops');
    },
  };
}
