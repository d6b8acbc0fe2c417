/**
 * Takes room back from running tasks on the workers of one partition, for urgent work and for teams below their
 * share. Tasks are stopped only if they may run again; those that may run only once never give way.
 */
import { RESOURCE_DIMENSIONS } from '@chicorybend/common';
import type { Clock, Counters, Log, Resources } from '@chicorybend/common';
import { chooseReclaim } from '@chicorybend/decisions';
import type {
  ReclaimAction,
  ReclaimDemand,
  ReclaimableTask,
  WorkerPool,
} from '@chicorybend/decisions';

import type { HoldRequest, ReclaimRequest } from '../types/peerMethods.js';
import { createFaultHandler } from '../utils/faults.js';

import { executionKey, toAttempt } from './workerEntry.js';
import type { Execution, WorkerEntry } from './workerEntry.js';
import type { WorkerCommands } from './workerCommands.js';

/**
 * Bounds how fast work is lost: usage is heard with a delay, so that several askers may choose the same team
 * before any of them hears that it has given room.
 */
const MAXIMUM_STOPS_PER_WINDOW = 8;
const STOP_WINDOW_MILLISECONDS = 1_000;

/** What the reclaim needs. */
export interface WorkerReclaimOptions {
  readonly pool: WorkerPool;
  readonly workers: ReadonlyMap<string, WorkerEntry>;
  readonly commands: WorkerCommands;
  readonly isSchedulable: (worker: WorkerEntry) => boolean;
  /** Keeps room for the work. @returns tasks that room is held for */
  readonly hold: (request: HoldRequest) => number;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly log: Log;
}

/** Reclaim on the workers of one partition. */
export interface WorkerReclaim {
  /** @returns tasks of the work that room will become free for */
  reclaim(request: ReclaimRequest): number;
}

interface StoppableTask {
  readonly worker: WorkerEntry;
  readonly execution: Execution;
}

/**
 * Creates the reclaim of one partition.
 *
 * @param options workers and their commands
 * @returns the reclaim
 */
export function createWorkerReclaim(options: WorkerReclaimOptions): WorkerReclaim {
  const { pool, workers, commands: commands, isSchedulable, hold, clock, counters, log } = options;
  /** Executions that were told to stop, until they have ended. */
  const stopping = new WeakSet<Execution>();
  let windowStartedAt = Number.NEGATIVE_INFINITY;
  let stopsInWindow = 0;

  function countPermittedStops(): number {
    const now = clock.monotonicMilliseconds();
    if (now - windowStartedAt >= STOP_WINDOW_MILLISECONDS) {
      windowStartedAt = now;
      stopsInWindow = 0;
    }
    return MAXIMUM_STOPS_PER_WINDOW - stopsInWindow;
  }

  /** A worker that has room now was passed over because the room is held for other work. */
  function listFullWorkers(resources: Resources): readonly WorkerEntry[] {
    return [...workers.values()].filter((worker) => {
      const free = pool.freeOf(worker.workerId);
      if (!free || !isSchedulable(worker)) return false;
      return RESOURCE_DIMENSIONS.some((dimension) => free[dimension] < resources[dimension]);
    });
  }

  function listStoppableTasks(
    candidates: readonly WorkerEntry[],
  ): ReadonlyMap<string, StoppableTask> {
    const stoppableTasks = candidates.flatMap((worker) =>
      [...worker.executions.values()]
        .filter(
          (execution) =>
            execution.state === 'running' &&
            execution.terms?.isStoppable === true &&
            !stopping.has(execution),
        )
        .map((execution): [string, StoppableTask] => [
          executionKey(execution),
          { worker, execution },
        ]),
    );
    return new Map(stoppableTasks);
  }

  function toReclaimableTask(key: string, { worker, execution }: StoppableTask): ReclaimableTask {
    const startedAt = execution.report?.startedAt ?? clock.wallMilliseconds();
    return {
      taskId: key,
      workerId: worker.workerId,
      team: execution.team,
      priority: execution.terms?.priority ?? 'normal',
      resources: execution.resources,
      // A throttled task stays charged with what it declared, so that throttling makes no room.
      throttleableProcessors: 0,
      unsavedMilliseconds: Math.max(0, clock.wallMilliseconds() - startedAt),
      // The protocol of the workers has no restore; a checkpoint loses as much as a stop.
      checkpointCostMilliseconds: null,
    };
  }

  function createDemands(request: ReclaimRequest): readonly ReclaimDemand[] {
    const { team, priority, resources, waitedMilliseconds } = request;
    const enqueuedAt = clock.monotonicMilliseconds() - waitedMilliseconds;
    return Array.from({ length: request.count }, (_, index) => ({
      workId: String(index),
      team,
      priority,
      resources,
      enqueuedAt,
    }));
  }

  function chooseActions(
    request: ReclaimRequest,
    candidates: readonly WorkerEntry[],
    stoppableTasks: ReadonlyMap<string, StoppableTask>,
  ): readonly ReclaimAction[] {
    const free = candidates.map(({ workerId }) => [workerId, pool.freeOf(workerId)]);
    return chooseReclaim({
      demands: createDemands(request),
      tasks: [...stoppableTasks].map(([key, task]) => toReclaimableTask(key, task)),
      freeByWorker: Object.fromEntries(free) as Record<string, Resources>,
      teams: request.teams,
      capacity: request.capacity,
    });
  }

  /** Whole needs only: part of the stops for one task would lose work for nothing. */
  function limitStops(actions: readonly ReclaimAction[]): readonly ReclaimAction[] {
    const permittedCount = countPermittedStops();
    const firstExcluded = actions[permittedCount];
    if (!firstExcluded) return actions;
    return actions
      .slice(0, permittedCount)
      .filter(({ forWorkId }) => forWorkId !== firstExcluded.forWorkId);
  }

  async function stopOnWorker(
    worker: WorkerEntry,
    executions: readonly Execution[],
  ): Promise<void> {
    const outcome = await commands.sendTaskCommand(worker, 'stop', executions.map(toAttempt));
    // A stop that did not arrive may be chosen again.
    if (outcome.isErr()) executions.forEach((execution) => stopping.delete(execution));
  }

  function stopTasks(stoppableTasks: readonly StoppableTask[]): void {
    const groups = new Map<WorkerEntry, Execution[]>();
    stoppableTasks.forEach(({ worker, execution }) => {
      stopping.add(execution);
      const group = groups.get(worker) ?? [];
      groups.set(worker, group);
      group.push(execution);
    });
    stopsInWindow += stoppableTasks.length;
    counters.increment('tasks.reclaimed', stoppableTasks.length);
    groups.forEach((executions, worker) => {
      stopOnWorker(worker, executions).catch(
        createFaultHandler(log, 'the stop of reclaimed tasks failed'),
      );
    });
  }

  return {
    reclaim(request) {
      if (countPermittedStops() <= 0) return 0;
      const candidates = listFullWorkers(request.resources);
      const stoppableTasks = listStoppableTasks(candidates);
      if (stoppableTasks.size === 0) return 0;
      const actions = limitStops(chooseActions(request, candidates, stoppableTasks));
      if (actions.length === 0) return 0;
      const chosenWorkers = new Set(actions.map(({ workerId }) => workerId));
      const avoidWorkers = [...workers.keys()].filter((workerId) => !chosenWorkers.has(workerId));
      const count = new Set(actions.map(({ forWorkId }) => forWorkId)).size;
      const heldCount = hold({ ...request, count, avoidWorkers: avoidWorkers });
      // Urgent work may use any room; other work would lose it to whoever asks first.
      if (heldCount < count && request.priority !== 'urgent') return 0;
      stopTasks(actions.flatMap(({ taskId }) => stoppableTasks.get(taskId) ?? []));
      return count;
    },
  };
}
