import type { SectionDifference, ValueDifference } from '@chicorybend/common';

/** Changed values per audit entry; keeps an entry at a few kilobytes. */
const MAXIMUM_CHANGED_VALUES = 40;
const MAXIMUM_VALUE_LENGTH = 160;
const SHORT_HASH_LENGTH = 8;

/** Differences of a change, truncated to fit into an audit entry. */
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

function truncateChange(change: ValueDifference): ValueDifference {
  return {
    path: change.path.slice(0, MAXIMUM_VALUE_LENGTH),
    ...(change.before === undefined ? {} : { before: truncateValue(change.path, change.before) }),
    ...(change.after === undefined ? {} : { after: truncateValue(change.path, change.after) }),
  };
}

/**
 * Truncates the differences of a change for the audit trail and shortens hashes of secrets.
 *
 * @returns the first changed values, and the number of changed values left out
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
