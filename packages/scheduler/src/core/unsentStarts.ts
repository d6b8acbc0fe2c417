import { selectFittingStarts } from '@chicorybend/decisions';

import type { TaskRecord } from '../types/jobRecord.js';
import type { TermContext } from '../types/termContext.js';
import { isCapacityRecent } from './capacityAge.js';
import { chargedResources } from './endpointTable.js';
import type { EndpointState } from './endpointTable.js';

/** Starts whose placement is recorded, and which are not sent before it is durable. */
export interface UnsentStarts {
  /** Adds the start of a task right after its placement. */
  add(task: TaskRecord): void;
  /**
   * Takes out starts that are about to be sent or withdrawn. The capacity of an endpoint may have changed since the
   * placement, or its data centre may be out of service, because a write to the store can take seconds.
   *
   * @returns tasks whose start still fits on its endpoint
   */
  take(tasks: readonly TaskRecord[]): ReadonlySet<TaskRecord>;
}

/** Creates the set for one term. */
export function createUnsentStarts({
  clock,
  log,
  metrics,
  table,
  evacuations,
}: TermContext): UnsentStarts {
  const unsent = new WeakSet<TaskRecord>();

  function selectFitting(state: EndpointState): TaskRecord[] {
    if (!isCapacityRecent(state, clock.monotonicMilliseconds())) return [];
    const { entry, runs } = state;
    if (!evacuations.mayStart(entry.dataCentre)) return [];
    const charged = [...runs.values()].map((task) => ({
      task,
      resources: chargedResources(task.step.specification),
      isUnsent: unsent.has(task),
    }));
    return [...selectFittingStarts(entry.capacity, charged)].map(({ task }) => task);
  }

  function logWithdrawn(state: EndpointState, tasks: readonly TaskRecord[]): void {
    if (tasks.length === 0) return;
    const { entry, entryReadAt, used } = state;
    metrics.count('starts_withdrawn', tasks.length);
    log.info('starts withdrawn', {
      endpoint: entry.endpointId,
      tasks: tasks.map(({ taskId }) => taskId),
      capacity: entry.capacity,
      age: Math.round(clock.monotonicMilliseconds() - entryReadAt),
      used,
      isInService: evacuations.isInService(entry.dataCentre),
    });
  }

  return {
    add(task) {
      unsent.add(task);
    },
    take(tasks) {
      const tasksByEndpoint = new Map<EndpointState, TaskRecord[]>();
      tasks.forEach((task) => {
        const state = task.endpointId === null ? undefined : table.get(task.endpointId);
        if (state) tasksByEndpoint.set(state, [...(tasksByEndpoint.get(state) ?? []), task]);
      });
      const fitting = new Set<TaskRecord>();
      tasksByEndpoint.forEach((taken, state) => {
        selectFitting(state).forEach((task) => fitting.add(task));
        logWithdrawn(
          state,
          taken.filter((task) => !fitting.has(task)),
        );
      });
      tasks.forEach((task) => unsent.delete(task));
      return fitting;
    },
  };
}
