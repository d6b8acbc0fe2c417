import { sleep } from '@chicorybend/common';
import type { Clock, Configuration, ConfigurationRoot } from '@chicorybend/common';

import type { MembershipView } from '../types/membershipView.js';
import type { PeerLink } from '../types/peer.js';

/** Time limit of one announcement call, in milliseconds. */
const ANNOUNCE_TIMEOUT_MILLISECONDS = 1_500;
const READ_TIMEOUT_MILLISECONDS = 1_000;
/** Time within which an accepted configuration is to be in effect on all members, in milliseconds. */
export const PROPAGATION_TIMEOUT_MILLISECONDS = 7_000;
const NOTIFY_RETRY_MILLISECONDS = 500;

/** The configuration in effect on a peer. */
export interface PeerConfiguration {
  readonly root: ConfigurationRoot;
  readonly configuration: Configuration;
}

/** Calls to the other members about the configuration. */
export interface ConfigurationPeers {
  /** @returns whether a majority of the members, this daemon included, acknowledged the revocations */
  announceRevocations(revokedKeys: readonly string[]): Promise<boolean>;
  /**
   * Forwards announced revocations, without waiting for answers, so that they reach members that the announcing
   * daemon cannot reach.
   *
   * @param from daemon that sent the announcement; it is skipped
   */
  relayRevocations(revokedKeys: readonly string[], from: string): void;
  /**
   * Notifies all other members of a revision, until it is in effect on them or `PROPAGATION_TIMEOUT_MILLISECONDS`
   * have passed.
   *
   * @returns ids of the members that did not confirm the revision
   */
  notifyMembers(revision: number): Promise<readonly string[]>;
  /** @returns the newest configuration in effect on a majority of the members; null if no majority answers */
  readFromMajority(): Promise<PeerConfiguration | null>;
  /** @returns a configuration of at least a revision from the peers that reported one; null if none answers */
  readAtLeast(revision: number): Promise<PeerConfiguration | null>;
  /** @returns number of members */
  memberCount(): number;
}

export interface ConfigurationPeersOptions {
  readonly clock: Clock;
  readonly link: PeerLink;
  readonly membership: MembershipView;
}

function isMajority(count: number, members: number): boolean {
  return members > 0 && count > members / 2;
}

function chooseNewest(answers: readonly PeerConfiguration[]): PeerConfiguration | null {
  return answers.reduce<PeerConfiguration | null>(
    (newest, answer) => (newest && newest.root.revision >= answer.root.revision ? newest : answer),
    null,
  );
}

export function createConfigurationPeers(options: ConfigurationPeersOptions): ConfigurationPeers {
  const { clock, link, membership } = options;

  function memberIds(): readonly string[] {
    return (membership.record()?.members ?? []).map((member) => member.daemonId);
  }

  function otherMemberIds(): readonly string[] {
    return memberIds().filter((id) => id !== membership.selfId);
  }

  async function announceTo(daemonId: string, revokedKeys: readonly string[]): Promise<boolean> {
    const answer = await link.call(
      daemonId,
      'configuration.announce',
      { revokedKeys },
      ANNOUNCE_TIMEOUT_MILLISECONDS,
    );
    return answer.isOk();
  }

  async function readFrom(daemonId: string): Promise<PeerConfiguration | null> {
    const answer = await link.call(daemonId, 'configuration.read', {}, READ_TIMEOUT_MILLISECONDS);
    if (answer.isErr()) return null;
    const { root, configuration } = answer.value;
    return root && configuration ? { root, configuration } : null;
  }

  async function readFromAll(daemonIds: readonly string[]): Promise<readonly PeerConfiguration[]> {
    const answers = await Promise.all(daemonIds.map(readFrom));
    return answers.filter((answer) => answer !== null);
  }

  /** Repeats the notification until the revision is in effect on the member or the time limit has passed. */
  async function notifyMember(daemonId: string, revision: number): Promise<boolean> {
    const deadline = clock.monotonicMilliseconds() + PROPAGATION_TIMEOUT_MILLISECONDS;
    for (;;) {
      const remaining = deadline - clock.monotonicMilliseconds();
      const answer = await link.call(
        daemonId,
        'configuration.changed',
        { revision },
        Math.max(1, remaining),
      );
      if (answer.isOk() && answer.value.revision >= revision) return true;
      if (clock.monotonicMilliseconds() + NOTIFY_RETRY_MILLISECONDS >= deadline) return false;
      await sleep(clock, NOTIFY_RETRY_MILLISECONDS);
    }
  }

  return {
    memberCount: () => memberIds().length,
    async announceRevocations(revokedKeys) {
      const members = memberIds();
      const answers = await Promise.all(otherMemberIds().map((id) => announceTo(id, revokedKeys)));
      const selfCount = members.includes(membership.selfId) ? 1 : 0;
      return isMajority(answers.filter(Boolean).length + selfCount, members.length);
    },
    relayRevocations(revokedKeys, from) {
      otherMemberIds()
        .filter((id) => id !== from)
        .forEach((id) => {
          announceTo(id, revokedKeys).catch(() => undefined);
        });
    },
    async notifyMembers(revision) {
      const others = otherMemberIds();
      const answers = await Promise.all(others.map((id) => notifyMember(id, revision)));
      return others.filter((_, index) => !answers[index]);
    },
    async readFromMajority() {
      const answers = await readFromAll(otherMemberIds());
      return isMajority(answers.length, memberIds().length) ? chooseNewest(answers) : null;
    },
    async readAtLeast(revision) {
      const upToDateIds = membership
        .peerStatuses()
        .filter((report) => report.configurationRevision >= revision)
        .map((report) => report.daemonId);
      const sources = upToDateIds.length > 0 ? upToDateIds : otherMemberIds();
      const newest = chooseNewest(await readFromAll(sources));
      return newest && newest.root.revision >= revision ? newest : null;
    },
  };
}
