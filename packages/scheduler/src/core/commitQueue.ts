import { assertInvariant, sleep } from '@chicorybend/common';
import type { Clock, Log } from '@chicorybend/common';

import { MAXIMUM_WRITE_ENTRIES } from '../types/clusterStore.js';
import type { ClusterStore, StoredItem, StoreWrite, WriteOutcome } from '../types/clusterStore.js';
import { createLatencyEstimate } from '../utils/latencyEstimate.js';
import { COMMIT_KEY, OWNER_KEY } from '../utils/storeKeys.js';
import { callWithAdaptiveTimeout } from '../utils/adaptiveTimeout.js';
import type { TermIdentity } from './ownerElection.js';
import type { WorkMeter } from './workMeter.js';

/** Changes staged within this time share a write, which bounds the write rate of an owner. */
const GROUP_DELAY_MILLISECONDS = 8;
/** Delay after a refused write. */
const RETRY_DELAY_MILLISECONDS = 60;
/** Entries that each write needs itself: conditions on the owner key and the commit key, and the new commit value. */
const CHAIN_ENTRIES = 3;
const MAXIMUM_KEYS_PER_GROUP = MAXIMUM_WRITE_ENTRIES - CHAIN_ENTRIES;
/** Bounds of the timeout of a write. */
const WRITE_TIMEOUTS = { minimumMilliseconds: 150, maximumMilliseconds: 1_500 };

/** Weight of a new group in the smoothed duration of groups. */
const GROUP_SAMPLE_WEIGHT = 0.2;

/** Time after which a key that nothing waits for is written like the others, in milliseconds. */
const MAXIMUM_DEFERRAL_MILLISECONDS = 400;

/**
 * How soon a key is to be written. `now`: a start or a caller waits for it. `deferred`: it yields to such keys for a
 * short time, in which further changes of the key share its write.
 */
export type CommitUrgency = 'now' | 'deferred';

/** Encodes the value of a key when its write is sent; null removes the key. */
export type EncodeValue = () => string | null;

export interface CommitQueueOptions {
  readonly store: ClusterStore;
  readonly clock: Clock;
  readonly log: Log;
  readonly term: TermIdentity;
  readonly workMeter: WorkMeter;
  /** Revision of the commit key before the first commit; 0 if it is absent. */
  readonly chainRevision: number;
  /** Called once a write has shown that the lease has ended or another process is the owner. */
  readonly onOwnershipLost: (reason: string) => void;
  /** Called after each durable group with its number of keys and its duration in milliseconds. */
  readonly onCommit: (keys: number, milliseconds: number) => void;
}

/** Group commit for the changes of one term; each group is conditional on the previous one. */
export interface CommitQueue {
  /**
   * Stages a key for the next group.
   *
   * @param key key to write
   * @param encode called when the write is sent, so that the newest state is written
   * @param urgency a key that is staged already becomes as urgent as the more urgent call
   * @returns resolves to whether the state at the time of this call is durable; false if the term ended first
   */
  stage(key: string, encode: EncodeValue, urgency?: CommitUrgency): Promise<boolean>;
  /** Removes a staged key. @returns whether the key was staged and is certainly not written by this queue */
  withdraw(key: string): boolean;
  /** @returns age of the oldest key that is not durable, in milliseconds; 0 if there is none */
  delayMilliseconds(): number;
  /**
   * @returns expected time until the write of a key that is staged now is sent, in milliseconds, from the groups
   * before it and the duration of recent ones; writes that the store has not confirmed at once do not count
   */
  expectedWaitMilliseconds(): number;
  /** @returns whether the queue is closed, and the last change of a key that is not durable was certainly not sent */
  wasUnsent(key: string): boolean;
  /** @returns number of keys that wait for a write */
  stagedKeys(): number;
  /** Ends the queue; keys that are not durable resolve to false. */
  close(): void;
}

interface StagedKey {
  encode: EncodeValue;
  urgency: CommitUrgency;
  readonly stagedAt: number;
  readonly resolvers: ((isDurable: boolean) => void)[];
}

function mostUrgent(left: CommitUrgency, right: CommitUrgency): CommitUrgency {
  return left === 'now' ? left : right;
}

export function createCommitQueue(options: CommitQueueOptions): CommitQueue {
  const { store, clock, log, term, workMeter } = options;
  const latency = createLatencyEstimate(WRITE_TIMEOUTS);
  const staged = new Map<string, StagedKey>();
  let inFlight: [string, StagedKey][] = [];
  let { chainRevision } = options;
  let sequence = 0;
  let isClosed = false;
  let isRunning = false;
  /** Start of the group whose write was the first that the store has not confirmed; null while commits go on. */
  let delayedSince: number | null = null;
  let groupMilliseconds = GROUP_DELAY_MILLISECONDS;
  /** Keys of the group in flight when the queue was closed, which may have been written. */
  let sentKeys: ReadonlySet<string> = new Set();

  function resolveAll(keys: Iterable<StagedKey>, isDurable: boolean): void {
    for (const { resolvers } of keys) resolvers.forEach((resolve) => resolve(isDurable));
  }

  function close(): void {
    if (isClosed) return;
    isClosed = true;
    sentKeys = new Set(inFlight.map(([key]) => key));
    resolveAll(staged.values(), false);
    resolveAll(
      inFlight.map(([, entry]) => entry),
      false,
    );
    staged.clear();
    inFlight = [];
  }

  function loseOwnership(reason: string): void {
    close();
    options.onOwnershipLost(reason);
  }

  function isDue([, { urgency, stagedAt }]: [string, StagedKey]): boolean {
    const deferrableSince = clock.monotonicMilliseconds() - MAXIMUM_DEFERRAL_MILLISECONDS;
    return urgency === 'now' || stagedAt <= deferrableSince;
  }

  /** @returns staged keys in the order in which they are written */
  function orderStagedKeys(): [string, StagedKey][] {
    const keys = [...staged];
    if (keys.length <= MAXIMUM_KEYS_PER_GROUP) return keys;
    return [...keys.filter(isDue), ...keys.filter((entry) => !isDue(entry))];
  }

  function takeGroup(): StoreWrite {
    inFlight = orderStagedKeys().slice(0, MAXIMUM_KEYS_PER_GROUP);
    inFlight.forEach(([key]) => staged.delete(key));
    sequence += 1;
    const texts = inFlight.map(([key, { encode }]) => ({ key, value: encode() }));
    return {
      conditions: [
        { key: OWNER_KEY, revision: term.ownerRevision },
        { key: COMMIT_KEY, revision: chainRevision },
      ],
      puts: [
        { key: COMMIT_KEY, value: `${term.epoch}.${sequence}` },
        ...texts.flatMap(({ key, value }) => (value === null ? [] : [{ key, value }])),
      ],
      removals: texts.flatMap(({ key, value }) => (value === null ? [key] : [])),
    };
  }

  function restage(): void {
    const group = inFlight;
    inFlight = [];
    sequence -= 1;
    const later = [...staged];
    staged.clear();
    group.forEach(([key, entry]) => staged.set(key, entry));
    later.forEach(([key, entry]) => {
      const earlier = staged.get(key);
      if (!earlier) staged.set(key, entry);
      else {
        earlier.encode = entry.encode;
        earlier.urgency = mostUrgent(earlier.urgency, entry.urgency);
        earlier.resolvers.push(...entry.resolvers);
      }
    });
  }

  function noteDelay(reason: string, startedAt: number): void {
    if (delayedSince !== null) return;
    delayedSince = startedAt;
    log.info('commits delayed', { reason, keys: inFlight.length + staged.size });
  }

  function noteProgress(): void {
    if (delayedSince === null) return;
    const milliseconds = Math.round(clock.monotonicMilliseconds() - delayedSince);
    delayedSince = null;
    log.info('commits resumed', { milliseconds, keys: inFlight.length + staged.size });
  }

  function finishGroup(revision: number, startedAt: number): void {
    chainRevision = revision;
    noteProgress();
    const group = inFlight;
    inFlight = [];
    options.onCommit(group.length, clock.monotonicMilliseconds() - startedAt);
    resolveAll(
      group.map(([, entry]) => entry),
      true,
    );
  }

  /** After an unanswered write, the items of a conflict show whether that write was executed. */
  function findOwnCommit(items: readonly StoredItem[]): StoredItem | null {
    const owner = items.find(({ key }) => key === OWNER_KEY);
    const commit = items.find(({ key }) => key === COMMIT_KEY);
    if (owner?.revision !== term.ownerRevision) return null;
    return commit?.value === `${term.epoch}.${sequence}` ? commit : null;
  }

  function send(write: StoreWrite): Promise<WriteOutcome> {
    return callWithAdaptiveTimeout(
      clock,
      latency,
      (timeout) => store.write(write, timeout),
      ({ kind }) => kind === 'unknown',
    );
  }

  function applyConflict(items: readonly StoredItem[], mayBeExecuted: boolean, startedAt: number) {
    const own = findOwnCommit(items);
    assertInvariant(
      !own || mayBeExecuted,
      'commit-chain',
      () => `commit group ${sequence} is in the store before any of its writes went unanswered`,
    );
    if (own) finishGroup(own.revision, startedAt);
    else loseOwnership('another process is the owner');
  }

  /** Repeats the same group until its outcome is known, because an unanswered attempt may still be executed. */
  async function commitGroup(): Promise<void> {
    const startedAt = clock.monotonicMilliseconds();
    const write = workMeter.measure('commits', takeGroup);
    let mayBeExecuted = false;
    while (!isClosed) {
      const outcome = await send(write);
      if (isClosed) return;
      if (outcome.kind === 'written') {
        if (!mayBeExecuted) {
          const took = clock.monotonicMilliseconds() - startedAt + GROUP_DELAY_MILLISECONDS;
          groupMilliseconds += GROUP_SAMPLE_WEIGHT * (took - groupMilliseconds);
        }
        finishGroup(outcome.revision, startedAt);
        return;
      }
      if (outcome.kind === 'conflict') {
        applyConflict(outcome.items, mayBeExecuted, startedAt);
        return;
      }
      if (outcome.kind === 'no-lease') {
        loseOwnership('owner lease ended');
        return;
      }
      log.debug('commit not confirmed by the store', {
        outcome: outcome.kind,
        reason: outcome.reason,
      });
      noteDelay(`${outcome.kind}: ${outcome.reason}`, startedAt);
      if (outcome.kind === 'unknown') mayBeExecuted = true;
      else await sleep(clock, RETRY_DELAY_MILLISECONDS);
      if (!mayBeExecuted && !isClosed) {
        restage();
        return;
      }
    }
  }

  async function run(): Promise<void> {
    isRunning = true;
    await sleep(clock, GROUP_DELAY_MILLISECONDS);
    while (!isClosed && staged.size > 0) {
      await commitGroup();
      if (!isClosed && staged.size > 0) await sleep(clock, GROUP_DELAY_MILLISECONDS);
    }
    isRunning = false;
  }

  return {
    stage(key, encode, urgency = 'now') {
      if (isClosed) return Promise.resolve(false);
      return new Promise((resolve) => {
        const entry = staged.get(key);
        if (entry) {
          entry.encode = encode;
          entry.urgency = mostUrgent(entry.urgency, urgency);
          entry.resolvers.push(resolve);
        } else {
          staged.set(key, {
            encode,
            urgency,
            stagedAt: clock.monotonicMilliseconds(),
            resolvers: [resolve],
          });
        }
        if (!isRunning) void run();
      });
    },
    withdraw(key) {
      const entry = staged.get(key);
      if (!entry) return false;
      staged.delete(key);
      resolveAll([entry], false);
      return true;
    },
    delayMilliseconds() {
      const times = [...inFlight.map(([, entry]) => entry), ...staged.values()].map(
        ({ stagedAt }) => stagedAt,
      );
      const now = clock.monotonicMilliseconds();
      return now - Math.min(now, ...times);
    },
    expectedWaitMilliseconds() {
      const due = [...staged].filter(isDue).length;
      const groups = Math.floor(due / MAXIMUM_KEYS_PER_GROUP) + (inFlight.length > 0 ? 1 : 0);
      return groups * groupMilliseconds;
    },
    wasUnsent: (key) => isClosed && !sentKeys.has(key),
    stagedKeys: () => staged.size,
    close,
  };
}
