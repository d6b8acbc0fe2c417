import { RESOURCE_DIMENSIONS } from '@chicorybend/common';
import type { Resources } from '@chicorybend/common';
import type { RunEntry, TaskStartedEntry } from '@chicorybend/standins';

import type { Violation } from '../types/violation.js';
import { executionKeyOf, sortByTime } from '../utils/timeline.js';

/** Floating-point sums of fractional processors differ from the exact sum by less than this. */
const ROUNDING_TOLERANCE = 1e-6;

interface WorkerLoad {
  readonly capacity: Resources;
  readonly executions: Map<string, Resources>;
}

function findOvercommitment(load: WorkerLoad, start: TaskStartedEntry): Violation[] {
  return RESOURCE_DIMENSIONS.flatMap((dimension): Violation[] => {
    const used = [...load.executions.values()].reduce((sum, each) => sum + each[dimension], 0);
    const capacity = load.capacity[dimension];
    if (used <= capacity + ROUNDING_TOLERANCE) return [];
    const { workerId, at } = start;
    return [{ kind: 'worker-overcommitted', workerId, at, dimension, used, capacity }];
  });
}

/**
 * Checks that the sum of the declared resources of a worker's running tasks never exceeds its capacity.
 *
 * @param entries record of the stand-ins
 */
export function checkCapacity(entries: readonly RunEntry[]): Violation[] {
  const loads = new Map<string, WorkerLoad>();
  const violations: Violation[] = [];
  sortByTime(entries).forEach((entry) => {
    if (entry.type === 'worker-up') {
      loads.set(entry.workerId, { capacity: entry.capacity, executions: new Map() });
    } else if (entry.type === 'task-ended') {
      loads.get(entry.workerId)?.executions.delete(executionKeyOf(entry));
    } else if (entry.type === 'task-started') {
      const load = loads.get(entry.workerId);
      if (!load) return;
      load.executions.set(executionKeyOf(entry), entry.resources);
      violations.push(...findOvercommitment(load, entry));
    }
  });
  return violations;
}
