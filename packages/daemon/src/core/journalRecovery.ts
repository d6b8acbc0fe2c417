import { randomUUID } from 'node:crypto';

import { assertInvariant, Err, Ok } from '@chicorybend/common';
import type { Result, StoreClient, StoreEntry } from '@chicorybend/common';

import type { JournalRecord } from '../types/journalRecord.js';
import {
  chunkKey,
  JOURNAL_SLOTS,
  journalPrefix,
  slotKey,
  snapshotHeadKey,
} from './journalLayout.js';
import type { JournalSegment, SnapshotChunk, SnapshotHead } from './journalLayout.js';

const READ_DEADLINE_MILLISECONDS = 3_000;
const MAXIMUM_RECOVERY_ATTEMPTS = 8;

/** What recovery found, and where the next segment goes. */
export interface RecoveredJournal {
  /** Records of the snapshot, then of the segments after it. */
  readonly records: readonly JournalRecord[];
  readonly nextSegment: number;
  /** Last segment covered by the snapshot. */
  readonly lastSnapshotSegment: number;
  readonly snapshotHeadVersion: number;
  readonly snapshotHead: SnapshotHead | null;
  /** Version of each slot key; 0 if absent. */
  readonly slotVersions: readonly number[];
}

interface JournalContents {
  readonly head: StoreEntry<SnapshotHead> | null;
  readonly chunks: ReadonlyMap<string, SnapshotChunk>;
  readonly slots: readonly (StoreEntry<JournalSegment> | null)[];
}

function groupEntries(partition: number, entries: readonly StoreEntry[]): JournalContents {
  const byKey = new Map(entries.map((entry) => [entry.key, entry]));
  const head = byKey.get(snapshotHeadKey(partition)) as StoreEntry<SnapshotHead> | undefined;
  const chunks = new Map(
    entries
      .filter((entry) => entry.key.startsWith(`${journalPrefix(partition)}chunk/`))
      .map((entry) => [entry.key, entry.data as SnapshotChunk]),
  );
  const slots = Array.from(
    { length: JOURNAL_SLOTS },
    (_, slot) =>
      (byKey.get(slotKey(partition, slot)) as StoreEntry<JournalSegment> | undefined) ?? null,
  );
  return { head: head ?? null, chunks, slots };
}

function readSnapshot(partition: number, contents: JournalContents): JournalRecord[] | null {
  const head = contents.head?.data;
  if (!head) return [];
  const records: JournalRecord[] = [];
  for (let index = 0; index < head.chunks; index += 1) {
    const chunk = contents.chunks.get(chunkKey(partition, head.snapshotId, index));
    if (!chunk) return null;
    records.push(...chunk.records);
  }
  return records;
}

function reconstructJournal(partition: number, contents: JournalContents): RecoveredJournal | null {
  const snapshot = readSnapshot(partition, contents);
  if (!snapshot) return null;
  const lastSnapshotSegment = contents.head?.data.through ?? 0;
  const segments = contents.slots
    .flatMap((slot) => (slot && slot.data.segment > lastSnapshotSegment ? [slot.data] : []))
    .sort((left, right) => left.segment - right.segment);
  assertInvariant(
    segments.every((segment, index) => segment.segment === lastSnapshotSegment + 1 + index),
    'journal-contiguous',
    () =>
      `partition ${partition}: segments ${segments.map((s) => s.segment).join()} after ${lastSnapshotSegment}`,
  );
  return {
    records: [...snapshot, ...segments.flatMap((segment) => segment.records)],
    nextSegment: lastSnapshotSegment + segments.length + 1,
    lastSnapshotSegment: lastSnapshotSegment,
    snapshotHeadVersion: contents.head?.version ?? 0,
    snapshotHead: contents.head?.data ?? null,
    slotVersions: contents.slots.map((slot) => slot?.version ?? 0),
  };
}

/**
 * Reads the journal of a partition and writes the first record of the new epoch, which fences the former owner:
 * its next commit goes to the same slot and fails.
 *
 * @param store client of the platform's store
 * @param partition partition number
 * @param epoch epoch of the new owner
 * @param ownerId identity of the new owner
 * @returns recovered journal, or a text saying why it could not be recovered
 */
export async function recoverJournal(
  store: StoreClient,
  partition: number,
  epoch: number,
  ownerId: string,
): Promise<Result<RecoveredJournal, string>> {
  for (let attempt = 0; attempt < MAXIMUM_RECOVERY_ATTEMPTS; attempt += 1) {
    const listed = await store.list(journalPrefix(partition), {
      deadlineMilliseconds: READ_DEADLINE_MILLISECONDS,
    });
    if (listed.isErr()) return Err(`journal could not be read: ${listed.error.message}`);
    const recovered = reconstructJournal(partition, groupEntries(partition, listed.value));
    // A snapshot that was replaced while it was read is read again.
    if (!recovered) continue;
    const segment: JournalSegment = {
      segment: recovered.nextSegment,
      epoch,
      commitId: randomUUID(),
      records: [{ type: 'epoch-began', epoch, ownerId }],
    };
    const slot = recovered.nextSegment % JOURNAL_SLOTS;
    const written = await store.put({
      key: slotKey(partition, recovered.nextSegment),
      data: segment,
      expectedVersion: recovered.slotVersions[slot] ?? 0,
    });
    if (written.isErr()) return Err(`first record was not written: ${written.error.message}`);
    if (written.value.kind === 'conflict') continue;
    const slotVersions = [...recovered.slotVersions];
    slotVersions[slot] = written.value.version;
    return Ok({
      ...recovered,
      records: [...recovered.records, ...segment.records],
      nextSegment: recovered.nextSegment + 1,
      slotVersions,
    });
  }
  return Err('journal kept changing while it was read');
}
