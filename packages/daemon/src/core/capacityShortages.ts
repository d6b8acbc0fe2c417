/**
 * Remembers for a moment which tasks found no capacity, so that the owners of workers are not asked again for each
 * of many equal tasks in the queue (a negative cache).
 */
import type { Clock, Resources } from '@chicorybend/common';
import { coversResources } from '@chicorybend/decisions';

import type { Job } from './jobState.js';

/** Validity of an answer, on average. This is also the only delay before tasks without capacity are tried again. */
const SHORTAGE_VALIDITY_MILLISECONDS = 100;
/** Bounds the search when tasks of many sizes wait. */
const MAXIMUM_SHORTAGES = 64;

/** Recent reservations that failed for lack of capacity. */
export interface CapacityShortages {
  /**
   * Records that tasks of a job found no capacity.
   *
   * @returns monotonic time before which they are not tried again, in milliseconds
   */
  record(job: Job, count: number): number;
  /** @returns monotonic time before which placing such tasks is futile, in milliseconds; 0 if none is known */
  notBefore(job: Job, count: number): number;
}

interface Shortage {
  readonly resources: Resources;
  readonly count: number;
  readonly isUrgent: boolean;
  readonly expiresAt: number;
}

/** The tasks of a gang are placed together, others one by one. */
function countPlacedTogether(job: Job, count: number): number {
  return job.request.kind === 'gang' ? count : 1;
}

/**
 * @param random source of random numbers in [0, 1), to spread the expiry times
 */
export function createCapacityShortages(clock: Clock, random: () => number): CapacityShortages {
  let shortages: readonly Shortage[] = [];

  /** Urgent tasks may use held capacity, so that they may fit where other tasks of their size do not. */
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
      const expiresAt = now + SHORTAGE_VALIDITY_MILLISECONDS * (0.5 + random());
      // The job avoids workers on which it failed, so that its result says nothing about other jobs.
      if (job.failedWorkers.length > 0) return expiresAt;
      const { resources, urgent: isUrgent } = job.request;
      const valid = shortages
        .filter((shortage) => shortage.expiresAt > now)
        .slice(1 - MAXIMUM_SHORTAGES);
      shortages = [
        ...valid,
        { resources, count: countPlacedTogether(job, count), isUrgent, expiresAt },
      ];
      return expiresAt;
    },
    notBefore(job, count) {
      const now = clock.monotonicMilliseconds();
      const found = shortages.find(
        (shortage) =>
          shortage.expiresAt > now && covers(shortage, job, countPlacedTogether(job, count)),
      );
      return found?.expiresAt ?? 0;
    },
  };
}
