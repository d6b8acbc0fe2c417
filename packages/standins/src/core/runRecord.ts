import type { RunEntry, RunEntryOf, RunEntryType } from '../types/runEntry.js';

/** Append-only record of what really ran, shared by the stand-ins of one process. */
export interface RunRecord {
  /** @returns present time of the record in fractional milliseconds since the Unix epoch */
  now(): number;
  /** Adds an entry. */
  append(entry: RunEntry): void;
  /** @returns all entries in the order in which they were added */
  entries(): readonly RunEntry[];
  /** @returns entries of one kind in the order in which they were added */
  entriesOf<Type extends RunEntryType>(type: Type): readonly RunEntryOf<Type>[];
}

/** Wall time that does not jump, because the checkers compare times of all stand-ins. */
function readMonotonicWallTime(): number {
  return performance.timeOrigin + performance.now();
}

/**
 * Creates an empty record.
 *
 * @param now time of the entries in milliseconds since the Unix epoch; must never go back
 * @returns the record
 */
export function createRunRecord(now: () => number = readMonotonicWallTime): RunRecord {
  const entries: RunEntry[] = [];
  return {
    now,
    append(entry) {
      entries.push(Object.freeze(entry));
    },
    entries: () => entries,
    entriesOf: <Type extends RunEntryType>(type: Type) =>
      entries.filter((entry): entry is RunEntryOf<Type> => entry.type === type),
  };
}
