import { queuesSectionSchema, teamsSectionSchema } from '@chicorybend/common';
import type { JobKind, TeamsSection } from '@chicorybend/common';

import type { Example } from '../types/cellPlan.js';
import type { TeamLimit } from '../types/observation.js';
import type { Submission } from '../types/workPlan.js';

/** Ways to submit each kind of work under an example's configuration. */
export interface ExampleQueues {
  /** @returns submissions to keyed interactive queues, one per allowed team */
  interactive(): readonly Submission[];
  /** @returns submissions without a key */
  open(): readonly Submission[];
  /** @returns submissions of durable work, one per queue and allowed team */
  durable(kind: JobKind): readonly Submission[];
  /** @returns upper limits of all teams, in effect from a time on */
  limitsFrom(from: number): readonly TeamLimit[];
}

/**
 * Reads the queues of an example.
 *
 * @param example example to read
 * @returns ways to submit work
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
