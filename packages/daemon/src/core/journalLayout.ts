import type { JournalRecord } from '../types/journalRecord.js';

/**
 * Number of store keys (slots) that the segments of a partition use in rotation. Slots are never deleted, so that a
 * late write of a former owner fails on the version of the key.
 */
export const JOURNAL_SLOTS = 64;

/** Records that were committed together; the value of a slot key. */
export interface JournalSegment {
  /** Number of the segment, from 1. */
  readonly segment: number;
  readonly epoch: number;
  /** Unique identity of the commit, by which the owner recognises its own write after a lost answer. */
  readonly commitId: string;
  readonly records: readonly JournalRecord[];
}

/** Value of the key that refers to the current snapshot. */
export interface SnapshotHead {
  /** Last segment that the snapshot covers. */
  readonly through: number;
  readonly snapshotId: string;
  readonly chunks: number;
}

/** Value of a chunk key: part of the records of a snapshot. */
export interface SnapshotChunk {
  readonly records: readonly JournalRecord[];
}

/**
 * @param partition partition number
 * @returns prefix of all journal keys of the partition
 */
export function journalPrefix(partition: number): string {
  return `journal/${partition}/`;
}

/**
 * @param partition partition number
 * @param segment segment number
 * @returns key of the slot in which the segment is stored
 */
export function slotKey(partition: number, segment: number): string {
  return `${journalPrefix(partition)}slot/${segment % JOURNAL_SLOTS}`;
}

/**
 * @param partition partition number
 * @returns key of the {@link SnapshotHead}
 */
export function snapshotHeadKey(partition: number): string {
  return `${journalPrefix(partition)}snapshot-head`;
}

/**
 * @param partition partition number
 * @param snapshotId identity of the snapshot
 * @param index number of the chunk, from 0
 * @returns key of the chunk
 */
export function chunkKey(partition: number, snapshotId: string, index: number): string {
  return `${journalPrefix(partition)}chunk/${snapshotId}/${index}`;
}

/**
 * Splits records into groups whose JSON text does not exceed a size. A larger record forms a group of its own.
 *
 * @param records records to split
 * @param maximumBytes size of a group in bytes
 * @returns groups in order
 */
export function splitBySize(
  records: readonly JournalRecord[],
  maximumBytes: number,
): JournalRecord[][] {
  const groups: JournalRecord[][] = [];
  let bytes = 0;
  records.forEach((record) => {
    const size = Buffer.byteLength(JSON.stringify(record)) + 1;
    const last = groups.at(-1);
    if (!last || bytes + size > maximumBytes) {
      groups.push([record]);
      bytes = size;
    } else {
      last.push(record);
      bytes += size;
    }
  });
  return groups;
}
