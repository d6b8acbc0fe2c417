import type { SectionDifference, ValueDifference } from '@chicorybend/common';

/** Places per entry; keeps an entry at a few kilobytes. */
const MAXIMUM_PLACES = 40;
const MAXIMUM_VALUE_LENGTH = 160;
const SHOWN_HASH_LENGTH = 8;

/** Differences that fit into an audit entry. */
export interface BoundedDifferences {
  readonly differences: readonly SectionDifference[];
  readonly omittedDifferences: number;
}

function shortenHash(key: string, value: unknown): unknown {
  const isHash = key === 'secretHash' || key === 'tokenHash';
  return isHash && typeof value === 'string' ? `${value.slice(0, SHOWN_HASH_LENGTH)}...` : value;
}

function boundValue(path: string, value: unknown): unknown {
  const key = path.slice(path.lastIndexOf('.') + 1);
  const text = JSON.stringify(shortenHash(key, value), shortenHash);
  if (text.length <= MAXIMUM_VALUE_LENGTH) return JSON.parse(text) as unknown;
  return `${text.slice(0, MAXIMUM_VALUE_LENGTH)}...`;
}

function boundPlace(place: ValueDifference): ValueDifference {
  return {
    path: place.path.slice(0, MAXIMUM_VALUE_LENGTH),
    ...(place.before === undefined ? {} : { before: boundValue(place.path, place.before) }),
    ...(place.after === undefined ? {} : { after: boundValue(place.path, place.after) }),
  };
}

/**
 * Bounds the differences of a change for the audit trail and shortens hashes of secrets.
 *
 * @param differences all differences
 * @returns first places, and the number of places left out
 */
export function boundDifferences(differences: readonly SectionDifference[]): BoundedDifferences {
  let room = MAXIMUM_PLACES;
  let omittedDifferences = 0;
  const bounded = differences.map((difference) => {
    const kept = difference.changes.slice(0, room);
    room -= kept.length;
    omittedDifferences += difference.changes.length - kept.length;
    return { ...difference, changes: kept.map(boundPlace) };
  });
  return { differences: bounded, omittedDifferences };
}
