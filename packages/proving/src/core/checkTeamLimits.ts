import type { RunEntry } from '@chicorybend/standins';

import type { TeamLimit } from '../types/observation.js';
import type { Violation } from '../types/violation.js';
import { executionKeyOf, sortByTime } from '../utils/timeline.js';

type Dimension = 'tasks' | 'requests';

/** An applied configuration is in effect on all daemons within this time. */
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

/** Largest limit that may be in effect on some daemon at that time; null if the team has no limit. */
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
 * Checks that no task or request starts while its team is at or above its upper limit. After a limit was lowered,
 * tasks and requests that are already running may continue.
 *
 * @param entries record of the stand-ins
 * @param limits limits in the order in which they came into effect
 */
export function checkTeamLimits(
  entries: readonly RunEntry[],
  limits: readonly TeamLimit[],
): Violation[] {
  const runningExecutions = new Map<string, TeamExecution>();
  const counts = new Map<string, number>();
  const violations: Violation[] = [];

  function changeRunningCount(teamExecution: TeamExecution, amount: number): number {
    const key = `${teamExecution.team}/${teamExecution.dimension}`;
    const running = (counts.get(key) ?? 0) + amount;
    counts.set(key, running);
    return running;
  }

  function recordStart(teamExecution: TeamExecution, at: number): void {
    const { team, dimension } = teamExecution;
    runningExecutions.set(teamExecution.execution, teamExecution);
    const running = changeRunningCount(teamExecution, 1);
    const limit = findLargestEffectiveLimit(limits, team, dimension, at);
    if (limit === null || running <= limit) return;
    violations.push({ kind: 'team-over-limit', team, dimension, at, running, limit });
  }

  function recordEnd(execution: string): void {
    const teamExecution = runningExecutions.get(execution);
    if (!teamExecution) return;
    runningExecutions.delete(execution);
    changeRunningCount(teamExecution, -1);
  }

  sortByTime(entries).forEach((entry) => {
    const start = readStart(entry);
    const ended = readEndedExecution(entry);
    if (start) recordStart(start, entry.at);
    else if (ended) recordEnd(ended);
  });
  return violations;
}
