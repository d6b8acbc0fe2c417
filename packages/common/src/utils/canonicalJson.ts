type Entry = readonly [string, unknown];

function compareEntries(left: Entry, right: Entry): number {
  if (left[0] === right[0]) return 0;
  return left[0] < right[0] ? -1 : 1;
}

function sortKeys(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(sortKeys);
  if (value === null || typeof value !== 'object') return value;
  const entries = Object.entries(value)
    .filter(([, item]) => item !== undefined)
    .sort(compareEntries)
    .map(([key, item]): Entry => [key, sortKeys(item)]);
  return Object.fromEntries(entries);
}

/** Serialises a JSON value with sorted object keys, so that equal values have equal texts. */
export function canonicalJson(value: unknown): string {
  return JSON.stringify(sortKeys(value)) ?? 'null';
}
