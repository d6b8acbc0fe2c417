import type { SectionDifference, ValueDifference } from '@chicorybend/common';

/** Places per entry; keeps an entry at a few kilobytes. */
const MAXIMUM_CHANGED_VALUES = 40;
const MAXIMUM_VALUE_LENGTH = 160;
const SHORT_HASH_LENGTH = 8;

/** Differences that fit into an audit entry. */
export interface TruncatedDifferences {
  readonly differences: readonly SectionDifference[];
  readonly omittedDifferences: number;
}

function shortenHash(key: string, value: unknown): unknown {
  const isHash = key === 'secretHash' || key === 'tokenHash';
  return isHash && typeof value === 'string' ? `${value.slice(0, SHORT_HASH_LENGTH)}...` : value;
}

function truncateValue(path: string, value: unknown): unknown {
  const key = path.slice(path.lastIndexOf('.') + 1);
  const text = JSON.stringify(shortenHash(key, value), shortenHash);
  if (text.length <= MAXIMUM_VALUE_LENGTH) return JSON.parse(text) as unknown;
  return `${text.slice(0, MAXIMUM_VALUE_LENGTH)}...`;
}

function truncateChange(place: ValueDifference): ValueDifference {
  return {
    path: place.path.slice(0, MAXIMUM_VALUE_LENGTH),
    ...(place.before === undefined ? {} : { before: truncateValue(place.path, place.before) }),
    ...(place.after === undefined ? {} : { after: truncateValue(place.path, place.after) }),
  };
}

/**
 * Bounds the differences of a change for the audit trail and shortens hashes of secrets.
 *
 * @param differences all differences
 * @returns first places, and the number of places left out
 */
export function truncateDifferences(
  differences: readonly SectionDifference[],
): TruncatedDifferences {
  let remainingChanges = MAXIMUM_CHANGED_VALUES;
  let omittedDifferences = 0;
  const truncated = differences.map((difference) => {
    const includedChanges = difference.changes.slice(0, remainingChanges);
    remainingChanges -= includedChanges.length;
    omittedDifferences += difference.changes.length - includedChanges.length;
    return { ...difference, changes: includedChanges.map(truncateChange) };
  });
  return { differences: truncated, omittedDifferences };
}
