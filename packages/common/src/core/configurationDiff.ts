import type { ConfigurationDocument } from '../types/configuration.js';
import { canonicalJson } from '../utils/canonicalJson.js';

/** One changed place of a section. An absent value means that the place was added or removed. */
export interface ValueDifference {
  /** Place, for example `teams.harbour.limits.tasks`. */
  readonly path: string;
  readonly before?: unknown;
  readonly after?: unknown;
}

/** What changed in one section. */
export interface SectionDifference {
  readonly section: string;
  readonly kind: 'added' | 'removed' | 'changed';
  readonly changes: readonly ValueDifference[];
}

function isRecord(value: unknown): value is Readonly<Record<string, unknown>> {
  return value !== null && typeof value === 'object' && !Array.isArray(value);
}

function readOwnProperty(record: Readonly<Record<string, unknown>>, key: string): unknown {
  return Object.hasOwn(record, key) ? record[key] : undefined;
}

function diffValues(path: string, before: unknown, after: unknown): ValueDifference[] {
  // An absent value and null have the same JSON text.
  const isOnOneSide = (before === undefined) !== (after === undefined);
  if (!isOnOneSide && canonicalJson(before) === canonicalJson(after)) return [];
  if (!isRecord(before) || !isRecord(after)) {
    return [
      {
        path,
        ...(before === undefined ? {} : { before }),
        ...(after === undefined ? {} : { after }),
      },
    ];
  }
  const keys = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort();
  return keys.flatMap((key) =>
    diffValues(`${path}.${key}`, readOwnProperty(before, key), readOwnProperty(after, key)),
  );
}

function kindOfDifference(before: unknown, after: unknown): SectionDifference['kind'] {
  if (before === undefined) return 'added';
  return after === undefined ? 'removed' : 'changed';
}

/**
 * Compares two documents section by section.
 *
 * @param before former document
 * @param after next document
 * @returns sections that differ, in order of their names
 */
export function diffDocuments(
  before: ConfigurationDocument,
  after: ConfigurationDocument,
): readonly SectionDifference[] {
  const names = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort();
  return names.flatMap((section) => {
    const former = readOwnProperty(before, section);
    const next = readOwnProperty(after, section);
    const changes = diffValues(section, former, next);
    if (changes.length === 0) return [];
    return [{ section, kind: kindOfDifference(former, next), changes }];
  });
}
