/**
 * Units of the teams' upper limits that the tasks of one job partition hold.
 */
import type { Failure, Result } from '@chicorybend/common';

import type { Allotments } from '../types/allotment.js';

/** Units held by the tasks of one partition; each task holds one at most. */
export interface AllotmentCharges {
  /** Charges all tasks or none. */
  charge(team: string, taskIds: readonly string[]): Result<void, Failure>;
  /** Charges a task that may run already. */
  adopt(team: string, taskId: string): void;
  /** Gives the unit of a task back, if it holds one. */
  release(team: string, taskId: string): void;
}

/**
 * Creates the charges of one partition.
 *
 * @param allotments parts of the upper limits
 * @param partition job partition
 * @returns the charges
 */
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
