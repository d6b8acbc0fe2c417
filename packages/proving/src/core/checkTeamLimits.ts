import type { RunEntry } from '@chicorybend/standins';

import type { TeamLimit } from '../types/observation.js';
import type { Violation } from '../types/violation.js';
import { executionOf, sortByTime } from '../utils/timeline.js';

type Dimension = 'tasks' | 'requests';

/** An accepted configuration is in effect everywhere within this time, in milliseconds. */
const CONFIGURATION_IN_EFFECT_MILLISECONDS = 7_000;

interface Change {
  readonly team: string;
  readonly dimension: Dimension;
  readonly execution: string;
}

function readStart(entry: RunEntry): Change | null {
  if (entry.type === 'task-started') {
    return { team: entry.team, dimension: 'tasks', execution: executionOf(entry) };
  }
  if (entry.type === 'request-started') {
    const execution = `${entry.endpointId}/${entry.executionId}`;
    return { team: entry.team, dimension: 'requests', execution };
  }
  return null;
}

function readEndedExecution(entry: RunEntry): string | null {
  if (entry.type === 'task-ended') return executionOf(entry);
  if (entry.type === 'request-ended') return `${entry.endpointId}/${entry.executionId}`;
  return null;
}

/** Largest limit that may still be in effect somewhere; null if the team has none. */
function limitAt(
  limits: readonly TeamLimit[],
  team: string,
  dimension: Dimension,
  at: number,
): number | null {
  const own = limits.filter((limit) => limit.team === team && limit.from <= at);
  const settledBy = at - CONFIGURATION_IN_EFFECT_MILLISECONDS;
  const settled = own.filter((limit) => limit.from <= settledBy).at(-1);
  const possible = own.filter((limit) => limit === settled || limit.from > settledBy);
  if (possible.length === 0) return null;
  return Math.max(...possible.map((limit) => limit[dimension]));
}

/**
 * Checks that no task or request starts while its team is at or above its upper limit. Tasks that were started
 * under a higher limit may run to their end.
 *
 * @param entries record of what ran
 * @param limits limits in the order in which they came into effect
 * @returns violations
 */
export function checkTeamLimits(
  entries: readonly RunEntry[],
  limits: readonly TeamLimit[],
): Violation[] {
  const changes = new Map<string, Change>();
  const counts = new Map<string, number>();
  const violations: Violation[] = [];

  function count(change: Change, amount: number): number {
    const key = `${change.team}/${change.dimension}`;
    const running = (counts.get(key) ?? 0) + amount;
    counts.set(key, running);
    return running;
  }

  function begin(change: Change, at: number): void {
    const { team, dimension } = change;
    changes.set(change.execution, change);
    const running = count(change, 1);
    const limit = limitAt(limits, team, dimension, at);
    if (limit === null || running <= limit) return;
    violations.push({ kind: 'team-over-limit', team, dimension, at, running, limit });
  }

  function end(execution: string): void {
    const change = changes.get(execution);
    if (!change) return;
    changes.delete(execution);
    count(change, -1);
  }

  sortByTime(entries).forEach((entry) => {
    const start = readStart(entry);
    const ended = readEndedExecution(entry);
    if (start) begin(start, entry.at);
    else if (ended) end(ended);
  });
  return violations;
}
