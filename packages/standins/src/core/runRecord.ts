import type { RunEntry, RunEntryOf, RunEntryType } from '../types/runEntry.js';

/** Append-only record of what actually ran, and of VM changes, at the stand-ins of one process; for checkers. */
export interface RunRecord {
  /** @returns current time for entries, in fractional milliseconds since the Unix epoch */
  now(): number;
  append(entry: RunEntry): void;
  /** @returns all entries in the order of appending */
  entries(): readonly RunEntry[];
  /** @returns entries of one type in the order of appending */
  entriesOf<Type extends RunEntryType>(type: Type): readonly RunEntryOf<Type>[];
}

/** Wall time that is not affected by clock steps, because checkers compare the times of all stand-ins. */
function readMonotonicWallTime(): number {
  return performance.timeOrigin + performance.now();
}

/**
 * Creates an empty record.
 *
 * @param now time of the entries in milliseconds since the Unix epoch; must be monotonic
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
