import type { RunEntry } from '@chicorybend/standins';

import type { TeamLimit } from '../types/observation.js';
import type { Violation } from '../types/violation.js';
import { executionKeyOf, sortByTime } from '../utils/timeline.js';

type Dimension = 'tasks' | 'requests';

/** An accepted configuration is in effect everywhere within this time, in milliseconds. */
const CONFIGURATION_EFFECTIVE_MILLISECONDS = 7_000;

interface TeamExecution {
  readonly team: string;
  readonly dimension: Dimension;
  readonly execution: string;
}

function readStart(entry: RunEntry): TeamExecution | null {
  if (entry.type === 'task-started') {
    return { team: entry.team, dimension: 'tasks', execution: executionKeyOf(entry) };
  }
  if (entry.type === 'request-started') {
    const execution = `${entry.endpointId}/${entry.executionId}`;
    return { team: entry.team, dimension: 'requests', execution };
  }
  return null;
}

function readEndedExecution(entry: RunEntry): string | null {
  if (entry.type === 'task-ended') return executionKeyOf(entry);
  if (entry.type === 'request-ended') return `${entry.endpointId}/${entry.executionId}`;
  return null;
}

/** Largest limit that may still be in effect somewhere; null if the team has none. */
function findLargestEffectiveLimit(
  limits: readonly TeamLimit[],
  team: string,
  dimension: Dimension,
  at: number,
): number | null {
  const own = limits.filter((limit) => limit.team === team && limit.from <= at);
  const settledBy = at - CONFIGURATION_EFFECTIVE_MILLISECONDS;
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
  const runningExecutions = new Map<string, TeamExecution>();
  const counts = new Map<string, number>();
  const violations: Violation[] = [];

  function changeRunningCount(change: TeamExecution, amount: number): number {
    const key = `${change.team}/${change.dimension}`;
    const running = (counts.get(key) ?? 0) + amount;
    counts.set(key, running);
    return running;
  }

  function recordStart(change: TeamExecution, at: number): void {
    const { team, dimension } = change;
    runningExecutions.set(change.execution, change);
    const running = changeRunningCount(change, 1);
    const limit = findLargestEffectiveLimit(limits, team, dimension, at);
    if (limit === null || running <= limit) return;
    violations.push({ kind: 'team-over-limit', team, dimension, at, running, limit });
  }

  function recordEnd(execution: string): void {
    const change = runningExecutions.get(execution);
    if (!change) return;
    runningExecutions.delete(execution);
    changeRunningCount(change, -1);
  }

  sortByTime(entries).forEach((entry) => {
    const start = readStart(entry);
    const ended = readEndedExecution(entry);
    if (start) recordStart(start, entry.at);
    else if (ended) recordEnd(ended);
  });
  return violations;
}
