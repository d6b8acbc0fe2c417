import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { z } from 'zod';

import type {
  CellSection,
  Configuration,
  ConfigurationDocument,
  KeysSection,
  OperatorsSection,
  PolicySection,
  QueuesSection,
  TeamsSection,
} from '../types/configuration.js';
import type { FailureDetail } from '../types/failure.js';
import { canonicalJson } from '../utils/canonicalJson.js';
import { checkCrossSectionRules } from './configurationChecks.js';
import type { ParsedSections } from './configurationChecks.js';
import {
  REQUIRED_SECTIONS,
  SECTION_LIMIT_BYTES,
  SECTION_SCHEMAS,
  sectionKindOf,
} from './configurationSections.js';

/** Sections as parsed, and the faults that were found. */
interface SectionParseResult {
  readonly sections: Map<string, unknown>;
  readonly problems: FailureDetail[];
}

function describeIssue(section: string, issue: z.core.$ZodIssue): FailureDetail[] {
  const path = [section, ...issue.path].map(String).join('.');
  if (issue.code !== 'unrecognized_keys') return [{ path, reason: issue.message }];
  return issue.keys.map((key) => ({ path: `${path}.${key}`, reason: 'unknown field' }));
}

function parseSection(name: string, content: unknown, parsing: SectionParseResult): void {
  const kind = sectionKindOf(name);
  if (kind === null) {
    parsing.problems.push({ path: name, reason: 'unknown section' });
    return;
  }
  const size = Buffer.byteLength(canonicalJson(content));
  if (size > SECTION_LIMIT_BYTES) {
    parsing.problems.push({
      path: name,
      reason: `has ${size} bytes, more than ${SECTION_LIMIT_BYTES}; split it into groups`,
    });
    return;
  }
  const parsed = SECTION_SCHEMAS[kind].safeParse(content);
  if (parsed.success) parsing.sections.set(name, parsed.data);
  else parsing.problems.push(...parsed.error.issues.flatMap((issue) => describeIssue(name, issue)));
}

function parseSections(document: ConfigurationDocument): SectionParseResult {
  const parsing: SectionParseResult = { sections: new Map(), problems: [] };
  Object.entries(document).forEach(([name, content]) => parseSection(name, content, parsing));
  REQUIRED_SECTIONS.filter((name) => !Object.hasOwn(document, name)).forEach((name) => {
    parsing.problems.push({ path: name, reason: 'the section is missing' });
  });
  return parsing;
}

function selectSectionsOfKind<Content>(
  sections: ReadonlyMap<string, unknown>,
  kind: 'queues' | 'keys',
): ReadonlyMap<string, Content> {
  const selected = [...sections].filter(([name]) => sectionKindOf(name) === kind);
  return new Map(selected as [string, Content][]);
}

/** Merges into an object without a prototype, so that no name finds an inherited property. */
function mergeRecords<Value>(
  records: Iterable<Readonly<Record<string, Value>>>,
): Record<string, Value> {
  return Object.assign(Object.create(null) as Record<string, Value>, ...records);
}

function mergeSections(
  revision: number,
  sections: ReadonlyMap<string, unknown>,
  parsed: ParsedSections,
): Configuration {
  return {
    revision,
    cell: sections.get('cell') as CellSection,
    policy: sections.get('policy') as PolicySection,
    operators: mergeRecords([parsed.operators]),
    teams: mergeRecords([parsed.teams]),
    queues: mergeRecords(parsed.queues.values()),
    keys: mergeRecords(parsed.keys.values()),
  };
}

/**
 * Parses a whole configuration document. All faults are reported; a document with a fault is refused as a whole.
 *
 * @param document sections by name
 * @param revision revision to give the result
 * @returns merged configuration, or the place and reason of each fault
 */
export function parseConfiguration(
  document: ConfigurationDocument,
  revision: number,
): Result<Configuration, readonly FailureDetail[]> {
  const { sections, problems: faults } = parseSections(document);
  const parsed: ParsedSections = {
    operators: (sections.get('operators') ?? {}) as OperatorsSection,
    teams: (sections.get('teams') ?? {}) as TeamsSection,
    queues: selectSectionsOfKind<QueuesSection>(sections, 'queues'),
    keys: selectSectionsOfKind<KeysSection>(sections, 'keys'),
  };
  // References to teams that did not parse would only repeat the fault in section teams.
  const areTeamsKnown = sections.has('teams') || !Object.hasOwn(document, 'teams');
  const allProblems = areTeamsKnown ? [...faults, ...checkCrossSectionRules(parsed)] : faults;
  if (allProblems.length > 0) return Err(allProblems);
  return Ok(mergeSections(revision, sections, parsed));
}
