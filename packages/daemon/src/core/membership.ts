import { Ok, sleep } from '@chicorybend/common';
import type { Clock, Counters, Log, Result, StoreClient } from '@chicorybend/common';

import type {
  Member,
  MembershipRecord,
  MembershipView,
  PeerStatus,
} from '../types/membershipView.js';
import type { PartitionLoadView, PartitionLoad } from '../types/partition.js';
import type { PeerLink } from '../types/peer.js';
import type { Heartbeat, HeartbeatLoads } from '../types/peerMethods.js';
import type { VmDirectory } from '../types/vmDirectory.js';
import { createAuthority, VOTE_TTL_MILLISECONDS } from './authority.js';
import type { Authority } from './authority.js';
import { createDaemonSession, sessionKey } from './daemonSession.js';
import { createHeartbeatLoadDeltas } from './heartbeatLoadDeltas.js';
import {
  changeMembership,
  createJoinChange,
  createRemovalChange,
  MEMBERSHIP_KEY,
} from './membershipRecord.js';
import type { MembershipChange, MembershipChangeOptions } from './membershipRecord.js';

/** Time between two heartbeats to a member, in milliseconds. */
export const HEARTBEAT_INTERVAL_MILLISECONDS = 500;
const HEARTBEAT_DEADLINE_MILLISECONDS = 1_000;
/** A member counts as live for this long after its last heartbeat, in milliseconds. */
const LIVENESS_TIMEOUT_MILLISECONDS = 1_600;
/** A member without a session at the store is removed after being silent for this long, in milliseconds. */
export const MEMBER_REMOVAL_DELAY_MILLISECONDS = 30_000;
const SILENCE_CALL_DEADLINE_MILLISECONDS = 800;
const REMOVAL_DEADLINE_MILLISECONDS = 3_000;
const REJOIN_DEADLINE_MILLISECONDS = 3_000;
const LEAVE_DEADLINE_MILLISECONDS = 5_000;
const JOIN_ATTEMPT_MILLISECONDS = 10_000;

/** Values from other modules that are sent in heartbeats of this daemon. */
export interface HeartbeatFacts {
  readonly configurationRevision: number;
  readonly freshnessAgeMilliseconds: number;
  readonly isDraining: boolean;
}

export interface MembershipOptions {
  readonly self: Member;
  readonly store: StoreClient;
  readonly link: PeerLink;
  readonly vmDirectory: VmDirectory;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly log: Log;
  readonly random: () => number;
  readonly facts: () => HeartbeatFacts;
  /** Owned partitions and their loads. Called only when a heartbeat is sent, not for answers to heartbeats. */
  readonly loads: () => HeartbeatLoads;
}

/** Membership of the cell, heartbeats, and the right of this daemon to act as an owner. */
export interface Membership extends MembershipView, PartitionLoadView {
  /** Opens the session, joins the cell and starts sending heartbeats. Retries until the daemon has joined. */
  start(): Promise<void>;
  /** Removes this daemon from the membership and revokes its session. */
  leave(): Promise<void>;
  /** Ends heartbeats and renewals of the session without leaving the membership. */
  stop(): void;
  /** @returns generation of the authority, see {@link Authority.generation} */
  authorityGeneration(): number;
  /** @returns whether a daemon has answered a heartbeat recently; its own heartbeats do not show that it takes calls */
  isAnswering(daemonId: string): boolean;
  /** @returns owner of each partition as reported in heartbeats, with the highest epoch received */
  reportedOwners(): ReadonlyMap<number, { daemonId: string; epoch: number }>;
  /**
   * Checks the conditions of a takeover: the former owner has no session at the store, and a majority of the
   * members has received no heartbeat from it for as long as its authority can last.
   *
   * @param daemonId identity of the former owner
   * @param incarnation identity of its process
   * @returns true if it certainly has no right to act; false if it may have, or if that is not known
   */
  hasLostAuthority(daemonId: string, incarnation: string): Promise<boolean>;
}

interface ReceivedHeartbeat {
  readonly report: PeerStatus;
  readonly heartbeat: Heartbeat;
}

function countMajority(members: number): number {
  return Math.floor(members / 2) + 1;
}

/**
 * Creates the membership of the cell as this daemon sees it.
 *
 * @param options identity and collaborators
 * @returns the membership
 */
export function createMembership(options: MembershipOptions): Membership {
  const { self, store, link, vmDirectory, clock, counters, log } = options;
  const startedAt = clock.monotonicMilliseconds();
  const authority: Authority = createAuthority(clock);
  const session = createDaemonSession({
    daemonId: self.daemonId,
    incarnation: self.incarnation,
    store,
    authority,
    clock,
    counters,
    log,
    random: options.random,
  });
  /** Monotonic time of the last heartbeat of a process, by `<daemonId>/<incarnation>`. */
  const lastHeartbeatAtByProcess = new Map<string, number>();
  const lastHeartbeats = new Map<string, ReceivedHeartbeat>();
  const loadsForPeers = createHeartbeatLoadDeltas(clock);
  const partitionLoads = new Map<number, PartitionLoad>();
  /** Monotonic time of the last answer to a heartbeat to a daemon, by its id. */
  const lastAnswerAtByDaemon = new Map<string, number>();
  const owners = new Map<number, { daemonId: string; epoch: number }>();
  let record: MembershipRecord | null = null;
  let recordChangedAt = clock.monotonicMilliseconds();
  let isStopped = false;
  let isLeaving = false;

  function processKey(daemonId: string, incarnation: string): string {
    return `${daemonId}/${incarnation}`;
  }

  /** Members that can vote: all but those whose VM the platform has ended. */
  function voters(): readonly Member[] {
    return (record?.members ?? []).filter((member) => !vmDirectory.isEntryVmGone(member.daemonId));
  }

  function refreshVoters(): void {
    const others = voters().filter((member) => member.daemonId !== self.daemonId);
    const isMember = others.length < voters().length;
    authority.setVoters(
      record?.version ?? 0,
      others.map((member) => member.daemonId),
      isMember ? countMajority(voters().length) : Infinity,
    );
  }

  function adoptRecord(candidate: MembershipRecord): void {
    if (record && candidate.version <= record.version) return;
    record = candidate;
    recordChangedAt = clock.monotonicMilliseconds();
    refreshVoters();
    log.info('membership changed', {
      version: candidate.version,
      members: candidate.members.map((member) => member.daemonId),
    });
  }

  function createHeartbeat(receiverVersion: number): Heartbeat {
    const isReceiverBehind = record !== null && receiverVersion < record.version;
    return {
      incarnation: self.incarnation,
      membershipVersion: record?.version ?? 0,
      ...options.facts(),
      ...(isReceiverBehind && record ? { record } : {}),
    };
  }

  function recordHeartbeat(daemonId: string, heartbeat: Heartbeat, freshSince: number): void {
    const now = clock.monotonicMilliseconds();
    const former = lastHeartbeats.get(daemonId)?.report;
    lastHeartbeatAtByProcess.set(processKey(daemonId, heartbeat.incarnation), now);
    lastHeartbeats.set(daemonId, {
      heartbeat,
      report: {
        daemonId,
        lastHeartbeatAt: now,
        configurationRevision: heartbeat.configurationRevision,
        configurationConfirmedAt: Math.max(
          former?.configurationConfirmedAt ?? -Infinity,
          freshSince,
        ),
        isDraining: heartbeat.isDraining,
      },
    });
    heartbeat.loads?.loads.forEach((load) => partitionLoads.set(load.partition, load));
    heartbeat.loads?.owned.forEach(({ partition, epoch }) => {
      if (epoch >= (owners.get(partition)?.epoch ?? 0)) owners.set(partition, { daemonId, epoch });
    });
    if (heartbeat.record) adoptRecord(heartbeat.record);
  }

  async function sendHeartbeat(member: Member): Promise<Result<Heartbeat, unknown>> {
    const sentAt = clock.monotonicMilliseconds();
    const sentVersion = record?.version ?? 0;
    const knownVersion =
      lastHeartbeats.get(member.daemonId)?.heartbeat.membershipVersion ?? sentVersion;
    const pending = loadsForPeers.prepare(member.daemonId, options.loads());
    const reply = await link.call(
      member.daemonId,
      'membership.heartbeat',
      { ...createHeartbeat(knownVersion), ...(pending.loads ? { loads: pending.loads } : {}) },
      HEARTBEAT_DEADLINE_MILLISECONDS,
    );
    if (reply.isErr()) {
      counters.increment('membership.heartbeats.failed');
      return reply;
    }
    pending.acknowledge(reply.value.incarnation);
    lastAnswerAtByDaemon.set(member.daemonId, clock.monotonicMilliseconds());
    recordHeartbeat(member.daemonId, reply.value, sentAt - reply.value.freshnessAgeMilliseconds);
    const isSameVersion =
      reply.value.membershipVersion === sentVersion && record?.version === sentVersion;
    if (isSameVersion && reply.value.incarnation === member.incarnation) {
      authority.recordVote(member.daemonId, sentAt);
    }
    return reply;
  }

  function otherMembers(): readonly Member[] {
    return (record?.members ?? []).filter((member) => member.daemonId !== self.daemonId);
  }

  function silenceMilliseconds(daemonId: string, incarnation: string): number {
    const last = lastHeartbeatAtByProcess.get(processKey(daemonId, incarnation)) ?? startedAt;
    return clock.monotonicMilliseconds() - last;
  }

  /** Tells whether a majority of the members answers with exactly this version of the record. */
  async function isAcknowledged(candidate: MembershipRecord): Promise<boolean> {
    const others = candidate.members.filter(
      (member) => member.daemonId !== self.daemonId && !vmDirectory.isEntryVmGone(member.daemonId),
    );
    const isMember = candidate.members.some((member) => member.daemonId === self.daemonId);
    const voterCount = others.length + (isMember ? 1 : 0);
    const majority = voterCount === 0 ? 0 : countMajority(voterCount);
    const replies = await Promise.all(others.map(sendHeartbeat));
    const acknowledged = replies.filter(
      (reply) => reply.isOk() && reply.value.membershipVersion === candidate.version,
    ).length;
    return acknowledged + (isMember ? 1 : 0) >= majority;
  }

  const changeOptions: MembershipChangeOptions = {
    store,
    clock,
    random: options.random,
    isAcknowledged,
    onRecord: adoptRecord,
  };

  function applyChange(
    membershipChange: MembershipChange,
    deadlineMilliseconds: number,
  ): Promise<Result<void, string>> {
    return changeMembership(changeOptions, membershipChange, deadlineMilliseconds);
  }

  async function refreshRecord(): Promise<void> {
    const entry = await store.get<MembershipRecord>(MEMBERSHIP_KEY);
    if (entry.isOk() && entry.value) adoptRecord(entry.value.data);
  }

  async function countSilenceReports(
    daemonId: string,
    incarnation: string,
    checkedAt: number,
  ): Promise<number> {
    const others = voters().filter(
      (member) => member.daemonId !== self.daemonId && member.daemonId !== daemonId,
    );
    const answers = await Promise.all(
      others.map((member) =>
        link.call(
          member.daemonId,
          'membership.silence',
          { daemonId, incarnation },
          SILENCE_CALL_DEADLINE_MILLISECONDS,
        ),
      ),
    );
    // The silence must have begun at least VOTE_TTL before the session was checked. Then, at the time of the check, the
    // daemon had neither a session nor valid votes.
    const requiredSilenceMilliseconds =
      VOTE_TTL_MILLISECONDS + clock.monotonicMilliseconds() - checkedAt;
    const silentAtOthers = answers.filter(
      (answer) =>
        answer.isOk() &&
        answer.value.membershipVersion === record?.version &&
        answer.value.silentMilliseconds >= requiredSilenceMilliseconds,
    ).length;
    const isSilentHere = silenceMilliseconds(daemonId, incarnation) >= requiredSilenceMilliseconds;
    return silentAtOthers + (isSilentHere ? 1 : 0);
  }

  async function hasLostAuthority(daemonId: string, incarnation: string): Promise<boolean> {
    const checkedAt = clock.monotonicMilliseconds();
    const isVersionSettled = checkedAt - recordChangedAt >= VOTE_TTL_MILLISECONDS;
    if (!record || !isVersionSettled || !session.isStoreStable()) return false;
    if (silenceMilliseconds(daemonId, incarnation) < VOTE_TTL_MILLISECONDS) return false;
    const key = await store.get(sessionKey(daemonId, incarnation));
    if (key.isErr() || key.value) return false;
    const silent = await countSilenceReports(daemonId, incarnation, checkedAt);
    return silent >= countMajority(voters().length);
  }

  /** Removes one member that has been silent for long. Only the first live member does so, to avoid conflicts. */
  async function removeSilentMember(): Promise<void> {
    const [first] = view.liveMembers();
    if (first?.daemonId !== self.daemonId) return;
    const silent = otherMembers().find(
      (member) =>
        vmDirectory.isEntryVmGone(member.daemonId) ||
        silenceMilliseconds(member.daemonId, member.incarnation) >=
          MEMBER_REMOVAL_DELAY_MILLISECONDS,
    );
    if (!silent || !(await hasLostAuthority(silent.daemonId, silent.incarnation))) return;
    const removed = await applyChange(
      createRemovalChange(silent.daemonId, silent.incarnation),
      REMOVAL_DEADLINE_MILLISECONDS,
    );
    if (removed.isOk()) log.info('silent member removed', { daemonId: silent.daemonId });
  }

  /**
   * Joins again after the other members removed this daemon, for example during a network partition. Does nothing if
   * the record lists a newer process of the same daemon.
   */
  async function rejoinIfRemoved(): Promise<void> {
    const isListed = record?.members.some((member) => member.daemonId === self.daemonId) ?? true;
    if (isListed || isLeaving || isStopped) return;
    log.warn('this daemon was removed from the membership; joining again');
    await applyChange(createJoinChange(self), REJOIN_DEADLINE_MILLISECONDS);
  }

  async function sendHeartbeatsPeriodically(): Promise<void> {
    while (!isStopped) {
      otherMembers().forEach((member) => {
        void sendHeartbeat(member);
      });
      await sleep(clock, HEARTBEAT_INTERVAL_MILLISECONDS);
    }
  }

  async function maintainMembershipPeriodically(): Promise<void> {
    while (!isStopped) {
      await sleep(clock, MEMBER_REMOVAL_DELAY_MILLISECONDS / 10);
      if (isStopped) return;
      await refreshRecord();
      await rejoinIfRemoved();
      await removeSilentMember();
    }
  }

  function isLive(member: Member): boolean {
    if (member.daemonId === self.daemonId) return true;
    return silenceMilliseconds(member.daemonId, member.incarnation) < LIVENESS_TIMEOUT_MILLISECONDS;
  }

  link.handle('membership.heartbeat', async (heartbeat, { from }) => {
    recordHeartbeat(from, heartbeat, -Infinity);
    return Ok(createHeartbeat(heartbeat.membershipVersion));
  });
  link.handle('membership.silence', async ({ daemonId, incarnation }) =>
    Ok({
      membershipVersion: record?.version ?? 0,
      silentMilliseconds: silenceMilliseconds(daemonId, incarnation),
    }),
  );
  vmDirectory.onChange(() => refreshVoters());

  const view: MembershipView = {
    selfId: self.daemonId,
    record: () => record,
    liveMembers: () => (record?.members ?? []).filter(isLive),
    peerStatuses: () => [...lastHeartbeats.values()].map(({ report }) => report),
    isInContactWithMajority: () =>
      voters().filter(isLive).length >= countMajority(voters().length) && voters().length > 0,
    mayAct: () => authority.mayAct(),
  };

  return {
    ...view,
    loads: () => partitionLoads,
    authorityGeneration: () => authority.generation(),
    reportedOwners: () => owners,
    isAnswering(daemonId) {
      const answeredAt = lastAnswerAtByDaemon.get(daemonId) ?? startedAt;
      return clock.monotonicMilliseconds() - answeredAt < LIVENESS_TIMEOUT_MILLISECONDS;
    },
    hasLostAuthority,
    async start() {
      await session.start();
      for (;;) {
        const joined = await applyChange(createJoinChange(self), JOIN_ATTEMPT_MILLISECONDS);
        if (joined.isOk()) break;
        log.warn('joining the membership failed; trying again', { reason: joined.error });
      }
      void sendHeartbeatsPeriodically();
      void maintainMembershipPeriodically();
    },
    stop() {
      isStopped = true;
      session.stop();
    },
    async leave() {
      isLeaving = true;
      await applyChange(
        createRemovalChange(self.daemonId, self.incarnation),
        LEAVE_DEADLINE_MILLISECONDS,
      );
      // Sends the record without this daemon, which the others would otherwise read only at their next refresh.
      await Promise.all(otherMembers().map(sendHeartbeat));
      isStopped = true;
      await session.release();
    },
  };
}
