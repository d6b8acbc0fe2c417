import { computeBackoff, sleep } from '@chicorybend/common';
import type { Clock, Counters, StoreClient, StoreEntry } from '@chicorybend/common';

import type { PartitionLease } from '../types/partition.js';
import { createLedger, allotmentOf, setLimits, takeOverAllotment } from './allotmentLedger.js';
import type { AllotmentLedger, LimitUnits } from './allotmentLedger.js';

/** Prefix of the ledgers' keys in the store; the name of the team follows. */
export const ALLOTMENT_KEY_PREFIX = 'allotments/';
/** Leaves room for conflicts when the cell starts and every partition may write the same ledger. */
const MAXIMUM_UPDATE_ATTEMPTS = 20;
const CONFLICT_BACKOFF = { firstMilliseconds: 2, maximumMilliseconds: 40 };

/** Limits of a team, and the revision of the configuration in effect. */
export interface ConfiguredLimits {
  readonly limits: LimitUnits;
  readonly revision: number;
}

/** Computes the changed ledger, or returns null if there is nothing to change. */
export type LedgerChange = (ledger: AllotmentLedger) => AllotmentLedger | null;

export interface LedgerUpdateResult {
  readonly isWritten: boolean;
  /** Ledger to use from now on; null if a newer owner holds the allotment, absent if nothing new is known. */
  readonly ledger?: AllotmentLedger | null;
}

export interface LedgerWriterOptions {
  readonly store: StoreClient;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly random: () => number;
  readonly partitionCount: number;
  /** Returns null if the configuration in effect does not contain the team. */
  readonly configuredLimitsOf: (team: string) => ConfiguredLimits | null;
}

/** Writes the teams' ledgers in the store. */
export interface LedgerWriter {
  /**
   * Applies a change to a team's ledger by compare-and-swap. After a conflict the change is computed again from the
   * current ledger, for a limited number of attempts.
   *
   * @param lease lease of the partition whose allotment is changed
   */
  update(lease: PartitionLease, team: string, change: LedgerChange): Promise<LedgerUpdateResult>;
  /** Runs the operations on one team one at a time, so that this daemon's partitions do not race each other. */
  runExclusively<Value>(team: string, operation: () => Promise<Value>): Promise<Value>;
  /** Checks that the store answers, by reading the team's ledger; the next update starts from that reading. */
  isStoreReachable(team: string): Promise<boolean>;
}

interface StoredLedger {
  readonly ledger: AllotmentLedger | null;
  readonly version: number;
}

/** The ledger to write, or the result to return without a write. */
type UpdatePlan =
  | { readonly kind: 'write'; readonly ledger: AllotmentLedger }
  | { readonly kind: 'leave'; readonly update: LedgerUpdateResult };

const NO_UPDATE: LedgerUpdateResult = { isWritten: false };

export function createLedgerWriter(options: LedgerWriterOptions): LedgerWriter {
  const { store, clock, counters } = options;
  /** Ledgers as last read or written, by team; a conflict on write returns the current one. */
  const cachedLedgers = new Map<string, StoredLedger>();
  const lastOperations = new Map<string, Promise<unknown>>();

  async function read(team: string): Promise<StoredLedger | null> {
    const entry = await store.get<AllotmentLedger>(`${ALLOTMENT_KEY_PREFIX}${team}`);
    if (entry.isErr()) return null;
    return { ledger: entry.value?.data ?? null, version: entry.value?.version ?? 0 };
  }

  function planUpdate(
    lease: PartitionLease,
    team: string,
    stored: StoredLedger,
    change: LedgerChange,
  ): UpdatePlan {
    const { partition, epoch } = lease;
    const current = options.configuredLimitsOf(team);
    if (!current || !lease.mayAct()) return { kind: 'leave', update: NO_UPDATE };
    const { limits, revision } = current;
    // Another daemon has already written limits of a configuration that this daemon has not received.
    const isStoredRevisionNewer = (stored.ledger?.revision ?? 0) > revision;
    if (isStoredRevisionNewer) return { kind: 'leave', update: NO_UPDATE };
    const ledger = stored.ledger
      ? setLimits(stored.ledger, limits, revision)
      : createLedger(limits, revision, options.partitionCount);
    const allotment = allotmentOf(ledger, partition);
    // A newer owner of the partition uses the allotment, so that none of it may be used here.
    if (allotment.epoch > epoch) {
      return { kind: 'leave', update: { isWritten: false, ledger: null } };
    }
    const changed = change(takeOverAllotment(ledger, partition, epoch));
    if (changed) return { kind: 'write', ledger: changed };
    // Until new limits are in the store, other partitions may still grow beyond them: this ledger must not be used.
    const isStored = ledger === stored.ledger && allotment.epoch === epoch;
    return { kind: 'leave', update: isStored ? { isWritten: false, ledger } : NO_UPDATE };
  }

  async function write(
    team: string,
    ledger: AllotmentLedger,
    expectedVersion: number,
  ): Promise<'written' | 'conflict' | 'failed'> {
    counters.increment('allotments.writes');
    cachedLedgers.delete(team);
    const key = `${ALLOTMENT_KEY_PREFIX}${team}`;
    const written = await store.put({ key, data: ledger, expectedVersion });
    if (written.isErr()) return 'failed';
    if (written.value.kind === 'written') {
      cachedLedgers.set(team, { ledger, version: written.value.version });
      return 'written';
    }
    const current = written.value.current as StoreEntry<AllotmentLedger> | null;
    cachedLedgers.set(team, { ledger: current?.data ?? null, version: current?.version ?? 0 });
    counters.increment('allotments.conflicts');
    return 'conflict';
  }

  async function update(
    lease: PartitionLease,
    team: string,
    change: LedgerChange,
  ): Promise<LedgerUpdateResult> {
    for (let attempt = 0; attempt < MAXIMUM_UPDATE_ATTEMPTS; attempt += 1) {
      const cached = cachedLedgers.get(team);
      const stored = cached ?? (await read(team));
      if (!stored) return NO_UPDATE;
      const updatePlan = planUpdate(lease, team, stored, change);
      if (updatePlan.kind === 'leave') {
        cachedLedgers.delete(team);
        // The cached ledger may be outdated: another partition may have returned units since. Retry with a fresh one.
        if (cached) continue;
        return updatePlan.update;
      }
      const outcome = await write(team, updatePlan.ledger, stored.version);
      if (outcome === 'written') return { isWritten: true, ledger: updatePlan.ledger };
      if (outcome === 'failed') return NO_UPDATE;
      await sleep(clock, computeBackoff(CONFLICT_BACKOFF, attempt, options.random));
    }
    return NO_UPDATE;
  }

  return {
    update,
    async isStoreReachable(team) {
      const stored = await read(team);
      if (stored) cachedLedgers.set(team, stored);
      return stored !== null;
    },
    runExclusively(team, operation) {
      const next = (lastOperations.get(team) ?? Promise.resolve()).then(operation);
      lastOperations.set(team, next);
      return next;
    },
  };
}
