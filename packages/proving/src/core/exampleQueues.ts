import { queuesSectionSchema, teamsSectionSchema } from '@chicorybend/common';
import type { JobKind, TeamsSection } from '@chicorybend/common';

import type { Example } from '../types/cellPlan.js';
import type { TeamLimit } from '../types/observation.js';
import type { Submission } from '../types/workPlan.js';

/** Submissions that an example's configuration allows, by kind of queue. */
export interface ExampleQueues {
  /** @returns submissions to keyed interactive queues, one per allowed team */
  interactive(): readonly Submission[];
  /** @returns submissions to open queues, which need no key */
  open(): readonly Submission[];
  /** @returns submissions of jobs of a kind, one per queue and allowed team */
  durable(kind: JobKind): readonly Submission[];
  /** @returns upper limits of all teams, in effect from the given time on (milliseconds since the Unix epoch) */
  limitsFrom(from: number): readonly TeamLimit[];
}

/**
 * Parses the queues and teams of an example's configuration.
 *
 * @throws if the queues or teams section is invalid
 */
export function createExampleQueues(example: Example): ExampleQueues {
  const queues = queuesSectionSchema.parse(example.configuration.queues);
  const teams: TeamsSection = teamsSectionSchema.parse(example.configuration.teams);

  function listKeyedSubmissions(kind: string): Submission[] {
    return Object.entries(queues)
      .filter(([, settings]) => settings.kind === kind && settings.access === 'keyed')
      .flatMap(([queue, settings]) =>
        (settings.teams ?? Object.keys(teams)).map((team) => ({
          queue,
          team,
          keyText: example.keys.teams[team] ?? null,
        })),
      );
  }

  return {
    interactive: () => listKeyedSubmissions('interactive'),
    open: () =>
      Object.entries(queues)
        .filter(([, settings]) => settings.access === 'open')
        .map(([queue, settings]) => ({ queue, team: settings.team ?? '', keyText: null })),
    durable: listKeyedSubmissions,
    limitsFrom: (from) =>
      Object.entries(teams).map(([team, settings]) => ({ team, from, ...settings.limits })),
  };
}
