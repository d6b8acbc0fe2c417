import type { RequestStartedEntry, RunEntry } from '@chicorybend/standins';

import type { RequestObservation } from '../types/observation.js';
import type { Violation } from '../types/violation.js';
import { groupBy } from '../utils/groupBy.js';

function groupExecutions(entries: readonly RunEntry[]): Map<string | null, RequestStartedEntry[]> {
  const starts = entries.filter(
    (entry): entry is RequestStartedEntry => entry.type === 'request-started',
  );
  return groupBy(starts, (start) => start.marker);
}

/**
 * Checks that no non-idempotent request is executed more than once.
 *
 * @param entries record of the stand-ins
 * @param requests requests as their callers saw them
 */
export function checkRequestRepetition(
  entries: readonly RunEntry[],
  requests: readonly RequestObservation[],
): Violation[] {
  const byMarker = groupExecutions(entries);
  return requests.flatMap((request): Violation[] => {
    const executions = byMarker.get(request.marker)?.length ?? 0;
    if (request.isIdempotent || executions <= 1) return [];
    return [{ kind: 'non-idempotent-request-repeated', marker: request.marker, executions }];
  });
}
