/**
 * What was found to have no room a moment ago, so that the owners of workers are not asked the same for each of
 * many tasks that wait.
 */
import type { Clock, Resources } from '@chicorybend/common';
import { coversResources } from '@chicorybend/decisions';

import type { Job } from './jobState.js';

/** How long an answer counts; work that does not fit has no other delay. */
const SHORTAGE_MILLISECONDS = 100;
/** Bounds the comparison when work of many sizes waits. */
const MOST_SHORTAGES = 64;

/** Recent answers without room. */
export interface CapacityShortages {
  /**
   * Notes that a job's tasks found no room.
   *
   * @returns monotonic time before which they are not tried again, in milliseconds
   */
  record(job: Job, count: number): number;
  /** @returns monotonic time before which such tasks are not tried, in milliseconds; 0 if they may be tried */
  notBefore(job: Job, count: number): number;
}

interface Shortage {
  readonly resources: Resources;
  readonly count: number;
  readonly isUrgent: boolean;
  readonly until: number;
}

/** Tasks of a gang need room together. */
function countOf(job: Job, count: number): number {
  return job.request.kind === 'gang' ? count : 1;
}

/**
 * Creates the record, without shortages.
 *
 * @param clock clock of the daemon
 * @param random source of random numbers in [0, 1)
 * @returns the record
 */
export function createCapacityShortages(clock: Clock, random: () => number): CapacityShortages {
  let shortages: readonly Shortage[] = [];

  /** Urgent work may use held room, so that it may fit where other work of its size does not. */
  function covers(shortage: Shortage, job: Job, count: number): boolean {
    const { resources, urgent } = job.request;
    return (
      (shortage.isUrgent || !urgent) &&
      count >= shortage.count &&
      coversResources(resources, shortage.resources)
    );
  }

  return {
    record(job, count) {
      const now = clock.monotonicMilliseconds();
      const until = now + SHORTAGE_MILLISECONDS * (0.5 + random());
      // Where the job has failed says nothing about room for others.
      if (job.failedWorkers.length > 0) return until;
      const { resources, urgent: isUrgent } = job.request;
      const valid = shortages.filter((shortage) => shortage.until > now).slice(1 - MOST_SHORTAGES);
      shortages = [...valid, { resources, count: countOf(job, count), isUrgent, until }];
      return until;
    },
    notBefore(job, count) {
      const now = clock.monotonicMilliseconds();
      const found = shortages.find(
        (shortage) => shortage.until > now && covers(shortage, job, countOf(job, count)),
      );
      return found?.until ?? 0;
    },
  };
}
