import type { z } from 'zod';

import {
  cellSectionSchema,
  keysSectionSchema,
  nameSchema,
  operatorsSectionSchema,
  policySectionSchema,
  queuesSectionSchema,
  teamsSectionSchema,
} from '../types/configuration.js';
import { STORE_VALUE_LIMIT_BYTES } from '../types/store.js';

/** Schema of each kind of section. */
export const SECTION_SCHEMAS = {
  cell: cellSectionSchema,
  policy: policySectionSchema,
  operators: operatorsSectionSchema,
  teams: teamsSectionSchema,
  queues: queuesSectionSchema,
  keys: keysSectionSchema,
} as const satisfies Record<string, z.ZodType>;

/** Kind of a section: the part of its name before a slash. */
export type SectionKind = keyof typeof SECTION_SCHEMAS;

/** Sections without which there is no configuration. */
export const REQUIRED_SECTIONS = ['cell', 'policy'] as const satisfies readonly SectionKind[];

/** Kinds that may be split into groups, as `queues/<group>`. */
const GROUPED_KINDS: ReadonlySet<string> = new Set(['queues', 'keys']);

/** Bytes reserved in a store value for the write id and the revision that are stored with a section. */
const STORE_ENVELOPE_BYTES = 1_024;

/** Maximum size of a section's JSON text, in bytes. Each section is stored as one value. */
export const SECTION_LIMIT_BYTES = STORE_VALUE_LIMIT_BYTES - STORE_ENVELOPE_BYTES;

/**
 * Returns the kind of a section.
 *
 * @param name name of the section, for example `queues/harbour`
 * @returns kind, or null if the name is not a valid section name
 */
export function sectionKindOf(name: string): SectionKind | null {
  const [kind = '', group, ...rest] = name.split('/');
  if (!Object.hasOwn(SECTION_SCHEMAS, kind) || rest.length > 0) return null;
  const isAllowed =
    group === undefined || (GROUPED_KINDS.has(kind) && nameSchema.safeParse(group).success);
  return isAllowed ? (kind as SectionKind) : null;
}
