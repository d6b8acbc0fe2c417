import type { Resources } from '@chicorybend/common';

import { addResources, hasRoomBeside, NO_RESOURCES } from '../utils/resourceAmounts.js';

/** A run that is charged to an endpoint. */
export interface ChargedRun {
  /** Resources that the run is charged. */
  readonly resources: Resources;
  /** Whether its start has not been sent, so that it can be withdrawn without an order. */
  readonly isUnsent: boolean;
}

/**
 * Selects the starts that may be sent to an endpoint whose capacity may have changed since the runs were placed.
 * Runs whose start has been sent count first, whether they run, are being stopped or may still begin; the starts
 * that have not been sent follow in the order of their placement, so that the newest are withdrawn first.
 *
 * @param capacity current capacity of the endpoint
 * @param runs all runs that are charged to the endpoint, in the order of their placement
 * @returns unsent starts that fit
 */
export function selectFittingStarts<Run extends ChargedRun>(
  capacity: Resources,
  runs: readonly Run[],
): Set<Run> {
  let used = runs
    .filter(({ isUnsent }) => !isUnsent)
    .reduce((sum, { resources }) => addResources(sum, resources), NO_RESOURCES);
  const fitting = new Set<Run>();
  runs.forEach((run) => {
    if (!run.isUnsent || !hasRoomBeside(capacity, used, run.resources)) return;
    used = addResources(used, run.resources);
    fitting.add(run);
  });
  return fitting;
}
