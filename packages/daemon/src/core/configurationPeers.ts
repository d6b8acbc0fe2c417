import { sleep } from '@chicorybend/common';
import type { Clock, Configuration, ConfigurationRoot } from '@chicorybend/common';

import type { MembershipView } from '../types/membershipView.js';
import type { PeerLink } from '../types/peer.js';

/** Time for one announcement, in milliseconds. */
const ANNOUNCE_TIMEOUT_MILLISECONDS = 1_500;
const READ_TIMEOUT_MILLISECONDS = 1_000;
/** Time in which an accepted configuration is in effect everywhere, in milliseconds. */
export const PROPAGATION_TIMEOUT_MILLISECONDS = 7_000;
const NOTIFY_RETRY_INTERVAL_MILLISECONDS = 500;

/** A configuration as a peer has it in effect. */
export interface PeerConfiguration {
  readonly root: ConfigurationRoot;
  readonly configuration: Configuration;
}

/** Calls to the other daemons about the configuration. */
export interface ConfigurationPeers {
  /** @returns whether a majority of the members, this daemon included, acknowledged the revocations */
  announceRevocations(revokedKeys: readonly string[]): Promise<boolean>;
  /** Passes announced revocations on, so that they reach daemons that the announcing one cannot reach. */
  relayRevocations(revokedKeys: readonly string[], from: string): void;
  /** @returns members on which a revision is not in effect after the time limit */
  notifyMembers(revision: number): Promise<readonly string[]>;
  /** Reads the newest configuration from a majority of the members, or null if no majority answers. */
  readFromMajority(): Promise<PeerConfiguration | null>;
  /** Reads a configuration that is at least as new as a revision from a peer that reported one. */
  readAtLeast(revision: number): Promise<PeerConfiguration | null>;
  /** @returns number of members */
  memberCount(): number;
}

/** What the calls need. */
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

/**
 * Creates the calls to the other daemons.
 *
 * @param options link and membership
 * @returns the calls
 */
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

  /** Repeats the notification until the peer has the revision in effect or the time is over. */
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
      if (clock.monotonicMilliseconds() + NOTIFY_RETRY_INTERVAL_MILLISECONDS >= deadline)
        return false;
      await sleep(clock, NOTIFY_RETRY_INTERVAL_MILLISECONDS);
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
