import {
  chooseReferenceMilliseconds,
  judgeStraggler,
  projectRemainingMilliseconds,
} from '@chicorybend/decisions';
import type { RunProgress } from '@chicorybend/decisions';

import type { StepRecord, TaskRecord } from '../types/jobRecord.js';
import type { TermContext } from '../types/termContext.js';
import type { MoveRoom } from './dispatcher.js';
import type { EndpointSession } from './endpointSession.js';
import { avoidEndpoint } from './jobRecords.js';

/** Maximum number of moves of a task, so that tasks that are slow on every endpoint are left alone. */
const MAXIMUM_MOVES = 2;
/** Maximum projected remaining time, as a multiple of the expected one; for runs that make no progress. */
const STANDSTILL_FACTOR = 8;

/** Detects stragglers, runs that make no progress or take several times the usual time, and moves them. */
export interface StragglerWatch {
  /** Checks all runs once. */
  check(): void;
}

export function createStragglerWatch(
  context: TermContext,
  sessionOf: (endpointId: string) => EndpointSession | undefined,
  findMoveRoom: () => MoveRoom,
): StragglerWatch {
  const { clock, log, metrics, estimates, evacuations, table } = context;
  const moves = new Map<TaskRecord, number>();
  /** Room at the present check, for tasks whose data centre is out of service; null until one needs it. */
  let room: MoveRoom | null = null;

  function isWatched({ phase, step }: TaskRecord): boolean {
    const { isGang, isLongRunning, isFilling } = step.specification;
    return phase === 'running' && !isGang && !isLongRunning && !isFilling;
  }

  function moveRun(task: TaskRecord, run: RunProgress, session: EndpointSession): void {
    const count = moves.get(task) ?? 0;
    if (count >= MAXIMUM_MOVES) return;
    moves.set(task, count + 1);
    const { endpointId } = session.state.entry;
    const remaining = Math.min(
      projectRemainingMilliseconds(run) ?? 0,
      STANDSTILL_FACTOR * run.expectedMilliseconds,
    );
    estimates.recordStraggler(task, (run.ageMilliseconds + remaining) / run.expectedMilliseconds);
    avoidEndpoint(task, clock.monotonicMilliseconds());
    metrics.count('runs_moved');
    log.info('run moved', {
      task: task.taskId,
      run: task.run,
      endpoint: endpointId,
      age: Math.round(run.ageMilliseconds),
      expected: Math.round(run.expectedMilliseconds),
      remaining: Math.round(remaining),
      percent: run.reports.at(-1)?.percent,
    });
    void session.stop(task);
  }

  function describeRun(task: TaskRecord, expectedMilliseconds: number): RunProgress {
    return {
      ageMilliseconds: clock.monotonicMilliseconds() - task.startedAt,
      expectedMilliseconds,
      reports: task.progressReports,
      hasCheckpoint: task.step.specification.hasCheckpoints,
    };
  }

  /** @returns usual duration of the runs of a step, in milliseconds; null while too few are known */
  function referenceTimeOf(
    step: StepRecord,
    runs: readonly RunProgress[],
    expectedMilliseconds: number,
  ): number | null {
    const projected = runs.flatMap((run) => {
      const remaining = projectRemainingMilliseconds(run);
      return remaining === null ? [] : [run.ageMilliseconds + remaining];
    });
    const totals = [...estimates.completedDurations(step), ...projected];
    return chooseReferenceMilliseconds(totals, step.doneCount + runs.length, expectedMilliseconds);
  }

  function checkStep(step: StepRecord, tasks: readonly TaskRecord[]): void {
    const expectedMilliseconds = estimates.expectedMilliseconds(step);
    const runs = tasks.map((task) => describeRun(task, expectedMilliseconds));
    const reference = referenceTimeOf(step, runs, expectedMilliseconds);
    let hasRoom = true;
    tasks.forEach((task, position) => {
      const session = task.endpointId === null ? undefined : sessionOf(task.endpointId);
      if (!session || session.state.unansweredCalls > 0) return;
      // It could only start again on the same endpoint.
      if (context.outstandingStarts.requiredEndpoint(task) !== null) return;
      const run = runs[position]!;
      const verdict = judgeStraggler({
        ...run,
        expectedMilliseconds: reference ?? expectedMilliseconds,
      });
      if (verdict === 'look') session.pollNow();
      if (verdict !== 'move' || reference === null) return;
      // Its own endpoint gets no start, so that it would wait for room instead of ending where it runs.
      if (!evacuations.isInService(session.state.entry.dataCentre)) {
        room ??= findMoveRoom();
        hasRoom &&= room.take(task);
        if (!hasRoom) return;
      }
      moveRun(task, run, session);
    });
  }

  function collectSteps(): Map<StepRecord, TaskRecord[]> {
    const steps = new Map<StepRecord, TaskRecord[]>();
    for (const { runs } of table.all()) {
      runs.forEach((task) => {
        if (!isWatched(task)) return;
        const tasks = steps.get(task.step);
        if (tasks) tasks.push(task);
        else steps.set(task.step, [task]);
      });
    }
    return steps;
  }

  return {
    check() {
      room = null;
      collectSteps().forEach((tasks, step) => checkStep(step, tasks));
      moves.forEach((_, task) => {
        if (task.phase === 'done' || task.step.job.phase !== 'open') moves.delete(task);
      });
    },
  };
}
