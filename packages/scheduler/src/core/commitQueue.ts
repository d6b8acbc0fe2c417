import { assertInvariant, sleep } from '@chicorybend/common';
import type { Clock, Log } from '@chicorybend/common';

import { MAXIMUM_WRITE_ENTRIES } from '../types/clusterStore.js';
import type { ClusterStore, StoredItem, StoreWrite, WriteOutcome } from '../types/clusterStore.js';
import { createLatencyEstimate } from '../utils/latencyEstimate.js';
import { COMMIT_KEY, OWNER_KEY } from '../utils/storeKeys.js';
import { callWithAdaptiveTimeout } from '../utils/adaptiveTimeout.js';
import type { TermIdentity } from './ownerElection.js';

/** Changes within this time share a write, in milliseconds; bounds the writes of one owner. */
const GROUP_DELAY_MILLISECONDS = 8;
/** Pause after a refused write, in milliseconds. */
const RETRY_DELAY_MILLISECONDS = 60;
/** Conditions on the owner and the chain, and the new end of the chain. */
const CHAIN_ENTRIES = 3;
const MAXIMUM_KEYS_PER_GROUP = MAXIMUM_WRITE_ENTRIES - CHAIN_ENTRIES;
/** Bounds of the time-out of a write, in milliseconds. */
const WRITE_TIMEOUTS = { minimumMilliseconds: 150, maximumMilliseconds: 1_500 };

/** Text of a key at the time of the write; null removes the key. */
export type EncodeValue = () => string | null;

/** What the commit queue needs. */
export interface CommitQueueOptions {
  readonly store: ClusterStore;
  readonly clock: Clock;
  readonly log: Log;
  readonly term: TermIdentity;
  /** Revision of the commit key before the first commit; 0 if it is absent. */
  readonly chainRevision: number;
  /** Called once when a write has shown that another process owns the work. */
  readonly onOwnershipLost: (reason: string) => void;
  readonly onCommit: (keys: number, milliseconds: number) => void;
}

/** Durable changes of one term, in groups; each group is conditional on the one before it. */
export interface CommitQueue {
  /**
   * Makes the present state of a key durable.
   *
   * @param key key to write
   * @param encode gives the text when the write is sent
   * @returns whether the state at the time of this call is durable; false if the term ended first
   */
  stage(key: string, encode: EncodeValue): Promise<boolean>;
  /** Takes back a key that no write has carried yet. @returns whether it certainly was not written */
  withdraw(key: string): boolean;
  /** @returns how long the oldest staged key has been waiting, in milliseconds */
  delayMilliseconds(): number;
  close(): void;
}

interface StagedKey {
  encode: EncodeValue;
  readonly stagedAt: number;
  readonly resolvers: ((isDurable: boolean) => void)[];
}

/**
 * Creates the commit queue of a term.
 *
 * @param options collaborators
 * @returns commit queue
 */
export function createCommitQueue(options: CommitQueueOptions): CommitQueue {
  const { store, clock, log, term } = options;
  const latency = createLatencyEstimate(WRITE_TIMEOUTS);
  const staged = new Map<string, StagedKey>();
  let inFlight: [string, StagedKey][] = [];
  let { chainRevision } = options;
  let sequence = 0;
  let isClosed = false;
  let isRunning = false;

  function resolveAll(keys: Iterable<StagedKey>, isDurable: boolean): void {
    for (const { resolvers: settle } of keys) settle.forEach((callback) => callback(isDurable));
  }

  function close(): void {
    if (isClosed) return;
    isClosed = true;
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

  function takeGroup(): StoreWrite {
    inFlight = [...staged].slice(0, MAXIMUM_KEYS_PER_GROUP);
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
        earlier.resolvers.push(...entry.resolvers);
      }
    });
  }

  function finishGroup(revision: number, startedAt: number): void {
    chainRevision = revision;
    const group = inFlight;
    inFlight = [];
    options.onCommit(group.length, clock.monotonicMilliseconds() - startedAt);
    resolveAll(
      group.map(([, entry]) => entry),
      true,
    );
  }

  /** A conflict after a lost answer shows whether the lost write was executed. */
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
    assertInvariant(!own || mayBeExecuted, 'commit-chain', () => `group ${sequence} twice`);
    if (own) finishGroup(own.revision, startedAt);
    else loseOwnership('another process owns the work');
  }

  /** The same group is sent until its outcome is known, because its lost copy may still be executed. */
  async function commitGroup(): Promise<void> {
    const startedAt = clock.monotonicMilliseconds();
    const write = takeGroup();
    let mayBeExecuted = false;
    while (!isClosed) {
      const outcome = await send(write);
      if (isClosed) return;
      if (outcome.kind === 'written') {
        finishGroup(outcome.revision, startedAt);
        return;
      }
      if (outcome.kind === 'conflict') {
        applyConflict(outcome.items, mayBeExecuted, startedAt);
        return;
      }
      if (outcome.kind === 'no-lease') {
        loseOwnership('lease ended');
        return;
      }
      log.debug('commit not confirmed', { outcome: outcome.kind, reason: outcome.reason });
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
    stage(key, encode) {
      if (isClosed) return Promise.resolve(false);
      return new Promise((resolve) => {
        const entry = staged.get(key);
        if (entry) {
          entry.encode = encode;
          entry.resolvers.push(resolve);
        } else {
          staged.set(key, {
            encode,
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
      const oldest = inFlight[0]?.[1] ?? staged.values().next().value;
      return oldest ? clock.monotonicMilliseconds() - oldest.stagedAt : 0;
    },
    close,
  };
}
