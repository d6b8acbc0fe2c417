import { computeBackoff, Err, Ok, sleep } from '@chicorybend/common';
import type { Clock, Result, StoreClient, StoreEntry } from '@chicorybend/common';

import type { Member, MembershipRecord } from '../types/membershipView.js';

/** Key of the membership record. */
export const MEMBERSHIP_KEY = 'membership';
const CHANGE_BACKOFF = { firstMilliseconds: 50, maximumMilliseconds: 500 };

/** What changing the record needs. */
export interface MembershipChangeOptions {
  readonly store: StoreClient;
  readonly clock: Clock;
  readonly random: () => number;
  /**
   * Tells whether a majority of the record's members holds exactly this version. Only then may the next version
   * be written, so that majorities of versions in use always intersect.
   */
  readonly isAcknowledged: (record: MembershipRecord) => Promise<boolean>;
  /** Called with each record read or written. */
  readonly onRecord: (record: MembershipRecord) => void;
}

/**
 * Computes the next version of the record.
 *
 * @param members present members
 * @returns members of the next version, or null if nothing needs to change
 */
export type MembershipChange = (members: readonly Member[]) => readonly Member[] | null;

/**
 * Adds a member, in place of a former process of the same daemon.
 *
 * @param member member to add
 * @returns the change
 */
export function createJoinChange(member: Member): MembershipChange {
  return (members) => {
    const existing = members.find((other) => other.daemonId === member.daemonId);
    if (existing?.incarnation === member.incarnation) return null;
    return [...members.filter((other) => other !== existing), member].sort((left, right) =>
      left.daemonId < right.daemonId ? -1 : 1,
    );
  };
}

/**
 * Removes a member.
 *
 * @param daemonId identity of the daemon
 * @param incarnation identity of its process
 * @returns the change
 */
export function createRemovalChange(daemonId: string, incarnation: string): MembershipChange {
  return (members) => {
    const remaining = members.filter(
      (member) => member.daemonId !== daemonId || member.incarnation !== incarnation,
    );
    return remaining.length === members.length ? null : remaining;
  };
}

/**
 * Changes the membership record by one version. Tries until done or until the time is up.
 *
 * @param options collaborators
 * @param change what to change
 * @param deadlineMilliseconds time for all attempts, in milliseconds
 * @returns success, or a text saying what stood in the way
 */
export async function changeMembership(
  options: MembershipChangeOptions,
  change: MembershipChange,
  deadlineMilliseconds: number,
): Promise<Result<void, string>> {
  const { store, clock, random } = options;
  const deadline = clock.monotonicMilliseconds() + deadlineMilliseconds;
  let failureReason = 'not tried';

  async function attemptChange(entry: StoreEntry<MembershipRecord> | null): Promise<boolean> {
    const record = entry?.data ?? { version: 0, members: [] };
    options.onRecord(record);
    const members = change(record.members);
    if (!members) return true;
    if (!(await options.isAcknowledged(record))) {
      failureReason = `version ${record.version} is not acknowledged by a majority`;
      return false;
    }
    const next = { version: record.version + 1, members };
    const written = await store.put({
      key: MEMBERSHIP_KEY,
      data: next,
      expectedVersion: entry?.version ?? 0,
    });
    failureReason = written.isErr() ? written.error.message : 'another daemon changed the record';
    if (written.isErr() || written.value.kind === 'conflict') return false;
    options.onRecord(next);
    return true;
  }

  for (let attempt = 0; clock.monotonicMilliseconds() < deadline; attempt += 1) {
    const entry = await store.get<MembershipRecord>(MEMBERSHIP_KEY);
    if (entry.isErr()) failureReason = entry.error.message;
    else if (await attemptChange(entry.value)) return Ok(undefined);
    await sleep(clock, computeBackoff(CHANGE_BACKOFF, Math.min(attempt, 4), random));
  }
  return Err(failureReason);
}
