import { RESOURCE_DIMENSIONS } from '@chicorybend/common';
import type { Resources } from '@chicorybend/common';

import type { FleetRun } from '../types/fleet.js';

/** A reduced capacity applies this long after the directory shows it. */
const CAPACITY_NOTICE_MILLISECONDS = 4_500;

/** Capacities of an endpoint over time. */
export interface CapacityRecord {
  change(capacity: Resources, now: number): void;
  /** @returns highest capacity in each dimension that may still apply */
  limit(now: number): Resources;
}

export function createCapacityRecord(first: Resources): CapacityRecord {
  let capacities = [{ capacity: first, until: Infinity }];

  return {
    change(capacity, now) {
      capacities[capacities.length - 1]!.until = now;
      capacities.push({ capacity, until: Infinity });
    },
    limit(now) {
      capacities = capacities.filter(({ until }) => until + CAPACITY_NOTICE_MILLISECONDS >= now);
      const highest = (dimension: (typeof RESOURCE_DIMENSIONS)[number]) =>
        Math.max(...capacities.map(({ capacity }) => capacity[dimension]));
      return {
        processors: highest('processors'),
        memoryBytes: highest('memoryBytes'),
        accelerators: highest('accelerators'),
      };
    },
  };
}

/** @returns sum over runs */
export function sumResources(runs: readonly FleetRun[]): Resources {
  const sum = (dimension: (typeof RESOURCE_DIMENSIONS)[number]) =>
    runs.reduce((total, { resources }) => total + resources[dimension], 0);
  return {
    processors: sum('processors'),
    memoryBytes: sum('memoryBytes'),
    accelerators: sum('accelerators'),
  };
}

/** @returns whether the resources in use exceed a capacity */
export function exceeds(used: Resources, capacity: Resources): boolean {
  return RESOURCE_DIMENSIONS.some((dimension) => used[dimension] > capacity[dimension] + 1e-9);
}

function groupByTask(history: readonly FleetRun[]): FleetRun[][] {
  const runsByTask = new Map<string, FleetRun[]>();
  history.forEach((run) => {
    const runs = runsByTask.get(run.taskId);
    if (runs) runs.push(run);
    else runsByTask.set(run.taskId, [run]);
  });
  return [...runsByTask.values()];
}

function overlaps(left: FleetRun, right: FleetRun): boolean {
  return (
    (left.endedAt ?? Infinity) > right.startedAt && (right.endedAt ?? Infinity) > left.startedAt
  );
}

/** @returns overlapping runs of a task, and runs after its acknowledged success */
export function findRepeatedRuns(history: readonly FleetRun[]): string[] {
  return groupByTask(history).flatMap((runs) =>
    runs.flatMap((left, index) =>
      runs.slice(index + 1).flatMap((right) => {
        if (overlaps(left, right)) return [`overlapping runs of task ${left.taskId}`];
        const wasAcknowledgedSuccess = left.kind === 'done' && left.acknowledgedAt !== null;
        return wasAcknowledgedSuccess && right.startedAt >= left.endedAt!
          ? [`run of task ${left.taskId} after its acknowledged success`]
          : [];
      }),
    ),
  );
}

/** @returns when incarnations crashed while they executed a run of a task, in monotonic milliseconds, ascending */
export function crashTimesUnder(history: readonly FleetRun[], taskId: string): number[] {
  const times = new Map<string, number>();
  history.forEach((run) => {
    if (run.taskId !== taskId || run.kind !== 'crashed') return;
    times.set(`${run.endpointId}/${run.bornAt}`, run.endedAt!);
  });
  return [...times.values()].sort((left, right) => left - right);
}

/** @returns number of starts of a task after that many incarnations had crashed under it */
export function countStartsAfterCrashes(
  history: readonly FleetRun[],
  taskId: string,
  crashes: number,
): number {
  const crashedAt = crashTimesUnder(history, taskId)[crashes - 1];
  if (crashedAt === undefined) return 0;
  return history.filter((run) => run.taskId === taskId && run.startedAt >= crashedAt).length;
}
