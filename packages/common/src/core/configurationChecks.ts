import type {
  KeysSection,
  OperatorsSection,
  QueueSettings,
  QueuesSection,
  TeamsSection,
} from '../types/configuration.js';
import type { FailureDetail } from '../types/failure.js';
import { sectionKindOf } from './configurationSections.js';

/** Sections that parsed, by name. */
export interface ParsedSections {
  readonly operators: OperatorsSection;
  readonly teams: TeamsSection;
  readonly queues: ReadonlyMap<string, QueuesSection>;
  readonly keys: ReadonlyMap<string, KeysSection>;
}

function unknownTeamProblem(path: string, team: string): FailureDetail {
  return { path, reason: `names team ${team}, which section teams does not have` };
}

function checkOpenQueue(path: string, queue: QueueSettings, teams: TeamsSection): FailureDetail[] {
  const problems: FailureDetail[] = [];
  if (queue.team === undefined) {
    problems.push({ path: `${path}.team`, reason: 'an open queue must name the team it charges' });
  } else if (!Object.hasOwn(teams, queue.team)) {
    problems.push(unknownTeamProblem(`${path}.team`, queue.team));
  }
  if (queue.teams !== undefined) {
    problems.push({ path: `${path}.teams`, reason: 'an open queue takes work from everyone' });
  }
  return problems;
}

function checkKeyedQueue(path: string, queue: QueueSettings, teams: TeamsSection): FailureDetail[] {
  const problems = (queue.teams ?? [])
    .map((team, index) => ({ team, path: `${path}.teams.${index}` }))
    .filter(({ team }) => !Object.hasOwn(teams, team))
    .map((reference) => unknownTeamProblem(reference.path, reference.team));
  if (queue.team !== undefined) {
    problems.push({ path: `${path}.team`, reason: 'only an open queue names the team it charges' });
  }
  return problems;
}

function checkQueues(sections: ParsedSections): FailureDetail[] {
  return [...sections.queues].flatMap(([section, queues]) =>
    Object.entries(queues).flatMap(([name, queue]) => {
      const check = queue.access === 'open' ? checkOpenQueue : checkKeyedQueue;
      return check(`${section}.${name}`, queue, sections.teams);
    }),
  );
}

function checkKeys(sections: ParsedSections): FailureDetail[] {
  return [...sections.keys].flatMap(([section, keys]) =>
    Object.entries(keys)
      .filter(([, key]) => !Object.hasOwn(sections.teams, key.team))
      .map(([keyId, key]) => unknownTeamProblem(`${section}.${keyId}.team`, key.team)),
  );
}

function checkDuplicates(groups: ReadonlyMap<string, object>): FailureDetail[] {
  const firstSections = new Map<string, string>();
  return [...groups].flatMap(([section, content]) =>
    Object.keys(content).flatMap((name) => {
      const first = firstSections.get(name);
      if (first === undefined) {
        firstSections.set(name, section);
        return [];
      }
      return [{ path: `${section}.${name}`, reason: `section ${first} has this name already` }];
    }),
  );
}

function checkOperators(operators: OperatorsSection): FailureDetail[] {
  return Object.entries(operators).flatMap(([name, operator]) =>
    operator.sections
      .map((section, index) => ({ section, path: `operators.${name}.sections.${index}` }))
      .filter(({ section }) => section !== '*' && sectionKindOf(section) === null)
      .map(({ section, path }) => ({ path, reason: `there can be no section ${section}` })),
  );
}

/**
 * Checks what the sections say about each other.
 *
 * @param sections sections that match their schemas
 * @returns faults, empty if there are none
 */
export function checkCrossSectionRules(sections: ParsedSections): readonly FailureDetail[] {
  return [
    ...checkOperators(sections.operators),
    ...checkQueues(sections),
    ...checkKeys(sections),
    ...checkDuplicates(sections.queues),
    ...checkDuplicates(sections.keys),
  ];
}
