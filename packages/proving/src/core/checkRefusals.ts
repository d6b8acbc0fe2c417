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

/**
 * Finds the code of the last refusal; null unless every call was refused as not run. A call with any other outcome may
 * have run, and a later refusal says nothing about it.
 */
function findRefusal(outcomes: readonly CallOutcome<unknown>[]): string | null {
  const codes = outcomes.map((outcome) =>
    outcome.kind === 'failed' && outcome.run === 'not-run' ? outcome.code : null,
  );
  return codes.every((code) => code !== null) ? (codes.at(-1) ?? null) : null;
}

/**
 * Checks that no request or job ran whose caller was told only that it was not run.
 *
 * @param entries record of the stand-ins
 * @param work requests and jobs as their callers saw them
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
