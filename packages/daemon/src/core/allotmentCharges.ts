/**
 * Tracks which tasks of one job partition are charged to their team's allotment.
 */
import type { Failure, Result } from '@chicorybend/common';

import type { Allotments } from '../types/allotment.js';

/** Charged tasks of one partition. Each task holds at most one unit. */
export interface AllotmentCharges {
  /** Charges one unit for each task, for all tasks or none. */
  charge(team: string, taskIds: readonly string[]): Result<void, Failure>;
  /** Charges a task that may already run, even beyond the allotment; does nothing if it is charged already. */
  adopt(team: string, taskId: string): void;
  /** Releases the unit of a task; does nothing if the task is not charged. */
  release(team: string, taskId: string): void;
}

export function createAllotmentCharges(
  allotments: Allotments,
  partition: number,
): AllotmentCharges {
  const charged = new Set<string>();
  return {
    charge(team, taskIds) {
      const outcome = allotments.charge(partition, team, 'tasks', taskIds.length);
      if (outcome.isOk()) taskIds.forEach((taskId) => charged.add(taskId));
      return outcome;
    },
    adopt(team, taskId) {
      if (charged.has(taskId)) return;
      charged.add(taskId);
      allotments.adopt(partition, team, 'tasks', 1);
    },
    release(team, taskId) {
      if (charged.delete(taskId)) allotments.release(partition, team, 'tasks', 1);
    },
  };
}
