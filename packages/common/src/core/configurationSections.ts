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

/** Kinds of sections and their schemas. */
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

/** Bytes of a stored section that are not its content: identity of the write and revision. */
const STORE_ENVELOPE_BYTES = 1_024;

/** Largest section, in bytes of its JSON text; a section is one value of the store. */
export const SECTION_LIMIT_BYTES = STORE_VALUE_LIMIT_BYTES - STORE_ENVELOPE_BYTES;

/**
 * Finds the kind of a section.
 *
 * @param name name of the section, for example `queues/harbour`
 * @returns kind, or null if no section may have this name
 */
export function sectionKindOf(name: string): SectionKind | null {
  const [kind = '', group, ...rest] = name.split('/');
  if (!Object.hasOwn(SECTION_SCHEMAS, kind) || rest.length > 0) return null;
  const isAllowed =
    group === undefined || (GROUPED_KINDS.has(kind) && nameSchema.safeParse(group).success);
  return isAllowed ? (kind as SectionKind) : null;
}
