import { computeBackoff, sleep } from '@chicorybend/common';
import type { Clock, Counters, StoreClient, StoreEntry } from '@chicorybend/common';

import type { PartitionLease } from '../types/partition.js';
import { createLedger, allotmentOf, setLimits, takeOverAllotment } from './allotmentLedger.js';
import type { AllotmentLedger, LimitUnits } from './allotmentLedger.js';

/** Prefix of the ledgers' keys. */
export const ALLOTMENT_KEY_PREFIX = 'allotments/';
/** Every partition of the cell may write the same ledger when the cell starts. */
const MAXIMUM_UPDATE_ATTEMPTS = 20;
const CONFLICT_BACKOFF = { firstMilliseconds: 2, maximumMilliseconds: 40 };

/** Limits of a team in the configuration in effect. */
export interface ConfiguredLimits {
  readonly limits: LimitUnits;
  readonly revision: number;
}

/** Computes the next ledger, or null if nothing is to be changed. */
export type LedgerChange = (ledger: AllotmentLedger) => AllotmentLedger | null;

/** Outcome of a change. */
export interface LedgerUpdateResult {
  readonly isWritten: boolean;
  /** Ledger to go by from now on; null if the part belongs to another owner, absent if nothing was learnt. */
  readonly ledger?: AllotmentLedger | null;
}

/** What the writer needs. */
export interface LedgerWriterOptions {
  readonly store: StoreClient;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly random: () => number;
  readonly partitionCount: number;
  /** Gives the limits of a team, or null if there is no such team. */
  readonly configuredLimitsOf: (team: string) => ConfiguredLimits | null;
}

/** Changes the teams' ledgers in the store. */
export interface LedgerWriter {
  /**
   * Applies a change to a team's ledger by compare-and-swap. It is computed again after a conflict.
   *
   * @param lease lease of the partition whose part is changed
   * @param team team
   * @param change computes the next ledger
   * @returns whether it was written, and the ledger to go by
   */
  update(lease: PartitionLease, team: string, change: LedgerChange): Promise<LedgerUpdateResult>;
  /** Runs work on one team after the other, so that this daemon's partitions do not race each other. */
  runExclusively<Value>(team: string, work: () => Promise<Value>): Promise<Value>;
  /**
   * Reads a team's ledger, to learn whether the store answers.
   *
   * @param team name of the team
   * @returns whether it does
   */
  isStoreReachable(team: string): Promise<boolean>;
}

interface StoredLedger {
  readonly ledger: AllotmentLedger | null;
  readonly version: number;
}

/** Either the ledger to write, or why there is none. */
type UpdatePlan =
  | { readonly kind: 'write'; readonly ledger: AllotmentLedger }
  | { readonly kind: 'leave'; readonly update: LedgerUpdateResult };

const NO_UPDATE: LedgerUpdateResult = { isWritten: false };

/**
 * Creates the writer of the ledgers.
 *
 * @param options store, limits and collaborators
 * @returns the writer
 */
export function createLedgerWriter(options: LedgerWriterOptions): LedgerWriter {
  const { store, clock, counters } = options;
  /** Ledgers as last seen in the store, by team; a conflict shows the present one. */
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
    // This daemon has not learnt of the limits that another one has written already.
    const isStoredRevisionNewer = (stored.ledger?.revision ?? 0) > revision;
    if (isStoredRevisionNewer) return { kind: 'leave', update: NO_UPDATE };
    const ledger = stored.ledger
      ? setLimits(stored.ledger, limits, revision)
      : createLedger(limits, revision, options.partitionCount);
    const part = allotmentOf(ledger, partition);
    // The successor uses the part; nothing of it may be used here.
    if (part.epoch > epoch) return { kind: 'leave', update: { isWritten: false, ledger: null } };
    const changed = change(takeOverAllotment(ledger, partition, epoch));
    if (changed) return { kind: 'write', ledger: changed };
    // Limits that are not in the store yet do not keep other partitions from growing.
    const isStored = ledger === stored.ledger && part.epoch === epoch;
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
        // Another partition may have returned units since the ledger was seen.
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
    runExclusively(team, work) {
      const next = (lastOperations.get(team) ?? Promise.resolve()).then(work);
      lastOperations.set(team, next);
      return next;
    },
  };
}
