import type { StepRecord, TaskRecord } from '../types/jobRecord.js';
import type { TermContext } from '../types/termContext.js';
import type { MoveRoom } from './dispatcher.js';
import { isSuspect } from './jobRecords.js';

/** Interval of the checks; short against an evacuation, long against a round. */
const INTERVAL_MILLISECONDS = 500;
/** Number of tasks on the move at once; a larger gang moves alone. */
const MAXIMUM_MOVING_TASKS = 4;
/** A task that is expected to end within this time is not moved. */
const SHORT_MILLISECONDS = 2_000;
/** Long-running tasks of a step without a stated budget that may be disrupted at once. */
const DEFAULT_LONG_RUNNING_BUDGET = 1;

/** Moves long-running tasks and tasks with checkpoints out of data centres that are out of service. */
export interface EvacuationMoves {
  /** Stops runs that may move now; they start again where there is room. */
  check(): void;
}

export interface EvacuationMovesOptions {
  readonly context: TermContext;
  /** @returns room on the endpoints that accept runs now */
  readonly findMoveRoom: () => MoveRoom;
  readonly stopRun: (task: TaskRecord) => void;
}

/** Creates the moves of one term. */
export function createEvacuationMoves(options: EvacuationMovesOptions): EvacuationMoves {
  const { context, stopRun } = options;
  const { clock, evacuations, log, metrics, outstandingStarts, table } = context;
  /** Tasks on the move, with the run that was stopped. */
  const moving = new Map<TaskRecord, number>();
  let checkedAt = -Infinity;

  function isUp({ phase, endpointId }: TaskRecord): boolean {
    if (phase !== 'running' || endpointId === null) return false;
    return table.get(endpointId)?.unansweredCalls === 0;
  }

  function isEndingSoon(task: TaskRecord): boolean {
    if (task.step.specification.isLongRunning) return false;
    const age = clock.monotonicMilliseconds() - task.startedAt;
    return context.estimates.expectedMilliseconds(task.step) - age < SHORT_MILLISECONDS;
  }

  function mayMove(task: TaskRecord): boolean {
    const { isGang, isLongRunning, hasCheckpoints } = task.step.specification;
    const isMovable = hasCheckpoints || (isLongRunning && !isGang);
    return (
      isMovable &&
      isUp(task) &&
      !isSuspect(task) &&
      !isEndingSoon(task) &&
      // It could only start again on the same endpoint.
      outstandingStarts.requiredEndpoint(task) === null
    );
  }

  /** @returns tasks that move together: the members of a gang there, or a single task */
  function collectGroups(): TaskRecord[][] {
    const gangs = new Map<StepRecord, TaskRecord[]>();
    const groups: TaskRecord[][] = [];
    for (const { entry, runs } of table.all()) {
      if (!evacuations.isInService(entry.dataCentre)) {
        runs.forEach((task) => {
          const gang = gangs.get(task.step);
          if (!mayMove(task)) return;
          if (gang) gang.push(task);
          else {
            const group = [task];
            groups.push(group);
            if (task.step.specification.isGang) gangs.set(task.step, group);
          }
        });
      }
    }
    return groups;
  }

  /** Tasks that have not started, or whose endpoint is silent, use the budget too. A gang is disrupted as a whole. */
  function isWithinBudget(step: StepRecord): boolean {
    const { isGang, isLongRunning, disruptionBudget } = step.specification;
    const budget = disruptionBudget ?? (isLongRunning ? DEFAULT_LONG_RUNNING_BUDGET : Infinity);
    const open = step.tasks.filter(({ phase }) => phase !== 'done');
    const disrupted = isGang ? open.length : open.filter((task) => !isUp(task)).length + 1;
    return disrupted <= budget;
  }

  function forgetMoved(): void {
    moving.forEach((run, task) => {
      const isOver = task.phase === 'done' || task.step.job.phase !== 'open';
      if (isOver || (task.run > run && task.phase === 'running')) moving.delete(task);
    });
  }

  function move(task: TaskRecord): void {
    moving.set(task, task.run);
    metrics.count('runs_evacuated');
    log.info('run moved out of data centre', {
      task: task.taskId,
      run: task.run,
      endpoint: task.endpointId,
      budget: task.step.specification.disruptionBudget,
    });
    stopRun(task);
  }

  /** One task of a step without room speaks for the others, which have the same requirements. */
  function moveGroups(): void {
    const room = options.findMoveRoom();
    moving.forEach((_, task) => {
      if (task.phase === 'pending' || task.phase === 'stopping') room.take(task);
    });
    const stepsWithoutRoom = new Set<StepRecord>();
    collectGroups().forEach((group) => {
      const { step } = group[0]!;
      const isTurn = moving.size === 0 || moving.size + group.length <= MAXIMUM_MOVING_TASKS;
      if (!isTurn || stepsWithoutRoom.has(step) || !isWithinBudget(step)) return;
      if (group.every((task) => room.take(task))) group.forEach(move);
      else stepsWithoutRoom.add(step);
    });
  }

  return {
    check() {
      const now = clock.monotonicMilliseconds();
      if (evacuations.outOfService().length === 0 || now - checkedAt < INTERVAL_MILLISECONDS) {
        return;
      }
      checkedAt = now;
      forgetMoved();
      moveGroups();
    },
  };
}
