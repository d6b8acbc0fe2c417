import type { JournalRecord } from '../types/journalRecord.js';

/** Segment keys of a partition. They are never deleted, so that a write of a former owner cannot succeed. */
export const JOURNAL_SLOTS = 64;

/** Records committed together. */
export interface JournalSegment {
  /** Number of the segment, from 1. */
  readonly segment: number;
  readonly epoch: number;
  /** Identity of the commit, to recognize an own write whose answer was lost. */
  readonly commitId: string;
  readonly records: readonly JournalRecord[];
}

/** Points to the current snapshot. */
export interface SnapshotHead {
  /** Last segment that the snapshot covers. */
  readonly through: number;
  readonly snapshotId: string;
  readonly chunks: number;
}

/** Part of a snapshot. */
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
 * @returns key of the slot that holds the segment
 */
export function slotKey(partition: number, segment: number): string {
  return `${journalPrefix(partition)}slot/${segment % JOURNAL_SLOTS}`;
}

/**
 * @param partition partition number
 * @returns key that points to the current snapshot
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
 * Splits records into groups whose JSON text stays under a size. A record over the size stands alone.
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
