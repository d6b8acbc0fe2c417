import { sha256 } from '@chicorybend/common';

function sortFields(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(sortFields);
  if (typeof value !== 'object' || value === null) return value;
  const entries = Object.entries(value as Record<string, unknown>);
  return Object.fromEntries(
    entries
      .sort(([left], [right]) => (left < right ? -1 : 1))
      .map(([name, field]) => [name, sortFields(field)]),
  );
}

/**
 * Hashes a JSON body independently of the order of its fields.
 *
 * @param body parsed JSON body
 * @returns SHA-256 in hexadecimal
 */
export function hashBody(body: unknown): string {
  return sha256(JSON.stringify(sortFields(body)));
}
