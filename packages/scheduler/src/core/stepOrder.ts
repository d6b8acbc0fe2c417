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

/** Keeps the share of a team without weight finite. */
const MINIMUM_WEIGHT = 1e-9;

/** @returns capacity of all endpoints that are listed */
export function sumCapacity({ table }: TermContext): Resources {
  let total = NO_RESOURCES;
  for (const { entry, isListed } of table.all()) {
    if (isListed) total = addResources(total, entry.capacity);
  }
  return total;
}

/** Time since a step's occurrence was due or its job was accepted, whichever is later, in milliseconds. */
function stepAgeMilliseconds({ clock }: TermContext, { job, occurrence }: StepRecord): number {
  return clock.wallMilliseconds() - Math.max(job.acceptedAt, dueTime(job, occurrence));
}

/**
 * Describes a step for the order of work.
 *
 * @param context state of the term
 * @param step step whose turn has come
 * @param queue queue of its job
 * @param total capacity of all endpoints
 * @returns what decides its turn
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
    // Callers use long-running tasks from their start on, however late that is.
    punctuality: step.specification.isLongRunning
      ? 'on-time'
      : judgePunctuality({ ageMilliseconds, objectiveMilliseconds, remainingMilliseconds }),
    objectiveAt: clock.monotonicMilliseconds() - ageMilliseconds + objectiveMilliseconds,
    remainingMilliseconds,
    weightedShare: share / Math.max(context.team(job.team)?.weight ?? 1, MINIMUM_WEIGHT),
  };
}
