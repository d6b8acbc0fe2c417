import type { RunEntry } from '@chicorybend/standins';

import type { CallOutcome, JobObservation, RequestObservation } from '../types/observation.js';
import type { Violation } from '../types/violation.js';

function countByMarker(entries: readonly RunEntry[]): Map<string, number> {
  const counts = new Map<string, number>();
  entries.forEach((entry) => {
    const isStart = entry.type === 'request-started' || entry.type === 'task-started';
    if (!isStart || entry.marker === null) return;
    counts.set(entry.marker, (counts.get(entry.marker) ?? 0) + 1);
  });
  return counts;
}

/** An answer that leaves a run possible makes a later refusal say nothing about the earlier call. */
function findRefusal(outcomes: readonly CallOutcome<unknown>[]): string | null {
  const codes = outcomes.map((outcome) =>
    outcome.kind === 'failed' && outcome.run === 'not-run' ? outcome.code : null,
  );
  return codes.every((code) => code !== null) ? (codes.at(-1) ?? null) : null;
}

/**
 * Checks that work whose caller was told "not run" is not in the record.
 *
 * @param entries record of what ran
 * @param work requests and jobs as their callers saw them
 * @returns violations
 */
export function checkRefusals(
  entries: readonly RunEntry[],
  work: readonly (RequestObservation | JobObservation)[],
): Violation[] {
  const counts = countByMarker(entries);
  return work.flatMap(({ marker, outcomes }): Violation[] => {
    const code = findRefusal(outcomes);
    const executions = counts.get(marker) ?? 0;
    if (code === null || executions === 0) return [];
    return [{ kind: 'ran-despite-refusal', marker, code, executions }];
  });
}
