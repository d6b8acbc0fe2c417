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
/** A member heard within this time counts as live, in milliseconds. */
const LIVENESS_TIMEOUT_MILLISECONDS = 1_600;
/** A member that is silent for this long, without a session, is removed, in milliseconds. */
export const MEMBER_REMOVAL_DELAY_MILLISECONDS = 30_000;
const SILENCE_CALL_DEADLINE_MILLISECONDS = 800;
const REMOVAL_DEADLINE_MILLISECONDS = 3_000;
const REJOIN_DEADLINE_MILLISECONDS = 3_000;
const LEAVE_DEADLINE_MILLISECONDS = 5_000;
const JOIN_ATTEMPT_MILLISECONDS = 10_000;

/** Facts that other modules add to this daemon's heartbeats. */
export interface HeartbeatFacts {
  readonly configurationRevision: number;
  readonly freshnessAgeMilliseconds: number;
  readonly isDraining: boolean;
}

/** What the membership needs. */
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
  /** Owned partitions and their loads; read only for what is sent. */
  readonly loads: () => HeartbeatLoads;
}

/** The cell's daemons, and this daemon's right to act among them. */
export interface Membership extends MembershipView, PartitionLoadView {
  /** Opens the session, joins, and begins heartbeats. Tries until it has joined. */
  start(): Promise<void>;
  /** Leaves the membership and ends the session. */
  leave(): Promise<void>;
  /** Ends heartbeats and renewals without telling anybody. */
  stop(): void;
  /** @returns see {@link Authority.generation} */
  authorityGeneration(): number;
  /** @returns partitions that members said they serve, with the highest epoch heard */
  reportedOwners(): ReadonlyMap<number, { daemonId: string; epoch: number }>;
  /**
   * Checks the conditions of a takeover: the former owner has no session at the store, and a majority reports
   * that it has been silent for as long as its authority can last.
   *
   * @param daemonId identity of the former owner
   * @param incarnation identity of its process
   * @returns whether it certainly has no right to act
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
  const { self, store, link, vmDirectory: vmDirectory, clock, counters, log } = options;
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
  /** By `<daemonId>/<incarnation>`: when the process was last heard. */
  const lastHeartbeatAtByProcess = new Map<string, number>();
  const lastHeartbeats = new Map<string, ReceivedHeartbeat>();
  const loadsForPeers = createHeartbeatLoadDeltas(clock);
  const partitionLoads = new Map<number, PartitionLoad>();
  const owners = new Map<number, { daemonId: string; epoch: number }>();
  let record: MembershipRecord | null = null;
  let recordChangedAt = clock.monotonicMilliseconds();
  let isStopped = false;
  let isLeaving = false;

  function processKey(daemonId: string, incarnation: string): string {
    return `${daemonId}/${incarnation}`;
  }

  /** Members that can vote: a VM that the platform has ended cannot. */
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

  function silentMillisecondsOf(daemonId: string, incarnation: string): number {
    const last = lastHeartbeatAtByProcess.get(processKey(daemonId, incarnation)) ?? startedAt;
    return clock.monotonicMilliseconds() - last;
  }

  /** Asks the members whether they hold exactly this version. */
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
    // The silence must reach back to the authority's full life before the session was seen absent: at that moment
    // the daemon had neither a session nor votes.
    const requiredSilenceMilliseconds =
      VOTE_TTL_MILLISECONDS + clock.monotonicMilliseconds() - checkedAt;
    const silentAtOthers = answers.filter(
      (answer) =>
        answer.isOk() &&
        answer.value.membershipVersion === record?.version &&
        answer.value.silentMilliseconds >= requiredSilenceMilliseconds,
    ).length;
    const isSilentHere = silentMillisecondsOf(daemonId, incarnation) >= requiredSilenceMilliseconds;
    return silentAtOthers + (isSilentHere ? 1 : 0);
  }

  async function hasLostAuthority(daemonId: string, incarnation: string): Promise<boolean> {
    const checkedAt = clock.monotonicMilliseconds();
    const isVersionSettled = checkedAt - recordChangedAt >= VOTE_TTL_MILLISECONDS;
    if (!record || !isVersionSettled || !session.isStoreStable()) return false;
    if (silentMillisecondsOf(daemonId, incarnation) < VOTE_TTL_MILLISECONDS) return false;
    const key = await store.get(sessionKey(daemonId, incarnation));
    if (key.isErr() || key.value) return false;
    const silent = await countSilenceReports(daemonId, incarnation, checkedAt);
    return silent >= countMajority(voters().length);
  }

  /** Removes one long-silent member. Only the first live member does so, to keep the others from racing. */
  async function removeSilentMember(): Promise<void> {
    const [first] = view.liveMembers();
    if (first?.daemonId !== self.daemonId) return;
    const silent = otherMembers().find(
      (member) =>
        vmDirectory.isEntryVmGone(member.daemonId) ||
        silentMillisecondsOf(member.daemonId, member.incarnation) >=
          MEMBER_REMOVAL_DELAY_MILLISECONDS,
    );
    if (!silent || !(await hasLostAuthority(silent.daemonId, silent.incarnation))) return;
    const removed = await applyChange(
      createRemovalChange(silent.daemonId, silent.incarnation),
      REMOVAL_DEADLINE_MILLISECONDS,
    );
    if (removed.isOk()) log.info('member removed', { daemonId: silent.daemonId });
  }

  /** The others remove a daemon that was cut off for long. A newer process of the same daemon keeps its place. */
  async function rejoinIfRemoved(): Promise<void> {
    const isListed = record?.members.some((member) => member.daemonId === self.daemonId) ?? true;
    if (isListed || isLeaving || isStopped) return;
    log.warn('removed from the membership, joining again');
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
    return (
      silentMillisecondsOf(member.daemonId, member.incarnation) < LIVENESS_TIMEOUT_MILLISECONDS
    );
  }

  link.handle('membership.heartbeat', async (heartbeat, { from }) => {
    recordHeartbeat(from, heartbeat, -Infinity);
    return Ok(createHeartbeat(heartbeat.membershipVersion));
  });
  link.handle('membership.silence', async ({ daemonId, incarnation }) =>
    Ok({
      membershipVersion: record?.version ?? 0,
      silentMilliseconds: silentMillisecondsOf(daemonId, incarnation),
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
    hasLostAuthority,
    async start() {
      await session.start();
      for (;;) {
        const joined = await applyChange(createJoinChange(self), JOIN_ATTEMPT_MILLISECONDS);
        if (joined.isOk()) break;
        log.warn('not joined yet', { reason: joined.error });
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
      // Carries the record without this daemon, which the others would read only at their next turn.
      await Promise.all(otherMembers().map(sendHeartbeat));
      isStopped = true;
      await session.release();
    },
  };
}
