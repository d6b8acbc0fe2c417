import {
  addResources,
  computeDominantShare,
  judgePunctuality,
  NO_RESOURCES,
} from '@chicorybend/decisions';
import type { OrderingKey } from '@chicorybend/decisions';
import type { Resources } from '@chicorybend/common';

import type { JobQueueSettings } from '../types/configuration.js';
import type { StepRecord } from '../types/jobRecord.js';
import type { TermContext } from '../types/termContext.js';
import { dueTime } from './jobRecords.js';

/** Keeps the weighted share finite for a team of weight 0. */
const MINIMUM_WEIGHT = 1e-9;

/** @returns total capacity of the listed endpoints in service */
export function sumCapacity({ table, evacuations }: TermContext): Resources {
  let total = NO_RESOURCES;
  for (const { entry, isListed } of table.all()) {
    if (isListed && evacuations.isInService(entry.dataCentre)) {
      total = addResources(total, entry.capacity);
    }
  }
  return total;
}

/** @returns time since the occurrence was due or the job was accepted, whichever is later, in milliseconds */
function stepAgeMilliseconds({ clock }: TermContext, { job, occurrence }: StepRecord): number {
  return clock.wallMilliseconds() - Math.max(job.acceptedAt, dueTime(job, occurrence));
}

/**
 * Computes the key that orders a released step within a round.
 *
 * @param queue queue of its job
 * @param total capacity of all endpoints
 */
export function computeStepOrder(
  context: TermContext,
  step: StepRecord,
  queue: JobQueueSettings,
  total: Resources,
): OrderingKey {
  const { clock, table, estimates } = context;
  const { job } = step;
  const ageMilliseconds = stepAgeMilliseconds(context, step);
  const criticalPath = estimates.criticalPathOf(job, queue);
  const objectiveMilliseconds =
    queue.stretch * criticalPath.longest + queue.targetCompletionMilliseconds;
  const remainingMilliseconds = criticalPath.remaining[step.index] ?? 0;
  const share = computeDominantShare(table.usedByTeam(job.team), total);
  return {
    groupId: `${job.team}/${queue.name}`,
    priority: queue.priority,
    // A long-running task is useful from its start on, however late, so it has no objective to miss.
    punctuality: step.specification.isLongRunning
      ? 'on-time'
      : judgePunctuality({ ageMilliseconds, objectiveMilliseconds, remainingMilliseconds }),
    objectiveAt: clock.monotonicMilliseconds() - ageMilliseconds + objectiveMilliseconds,
    remainingMilliseconds,
    weightedShare: share / Math.max(context.settings.weightOf(job), MINIMUM_WEIGHT),
  };
}
