/**
 * Usage of the executions of one job partition up to the last reports of their workers. What an execution has
 * used is known at the owners of the workers' partitions; what of it is counted, only here, so that the two are
 * joined here, without an await in between.
 */
import type { MeasuredRun, MeasuredRuns, PartitionUsage } from '../types/peerMethods.js';
import type { CallPartition } from '../utils/partitionCalls.js';

import type { JobPartition } from './jobPartition.js';
import { findUncountedInterval } from './countedUsage.js';
import { findTask, isExecuting } from './jobState.js';
import type { LocatedTask, Task } from './jobState.js';
import { createUsageLedger } from './usage.js';
import { executionKey } from './workerEntry.js';

/** Within the time that a report gives to each partition. */
const WORKER_RUNS_DEADLINE_MILLISECONDS = 1_000;

/** An execution of this partition with what its worker reported. */
export interface LocatedRun {
  readonly located: LocatedTask;
  readonly run: MeasuredRun;
}

/** Runs as collected, and the worker partitions of which all were heard. */
export interface CollectedRuns {
  readonly runs: readonly LocatedRun[];
  /** Executions that may run and were not reported. */
  readonly unmeasured: number;
}

/** Usage that goes on. */
export interface RunningUsageReader {
  /** Asks the owners of the workers for the executions whose ends are not durable. */
  collectRuns(): Promise<CollectedRuns>;
  /** @returns usage up to the last reports of the workers */
  readUsage(): Promise<PartitionUsage>;
}

/**
 * Creates the reading of one job partition's usage.
 *
 * @param partition jobs
 * @param callPartition calls to owners of worker partitions
 * @returns the reading
 */
export function createRunningUsageReader(
  partition: JobPartition,
  callPartition: CallPartition,
): RunningUsageReader {
  const { state, lease } = partition;

  function listExecuting(): Task[] {
    return [...state.jobs.values()]
      .filter((job) => job.endedAt === null)
      .flatMap((job) => job.tasks.filter(isExecuting));
  }

  /** A run that the worker has ended counts although its task may have been taken for lost. */
  function locateRun(run: MeasuredRun): LocatedRun[] {
    const located = findTask(state, run.taskId);
    if (!located) return [];
    const isPresent = located.task.attempt === run.attempt && isExecuting(located.task);
    return isPresent || !run.isRunning ? [{ located, run }] : [];
  }

  async function fetchRuns(workerPartition: number): Promise<readonly [number, MeasuredRuns]> {
    const params = { workerPartition, jobPartition: lease.partition };
    const answer = await callPartition(
      workerPartition,
      'worker.runs',
      params,
      WORKER_RUNS_DEADLINE_MILLISECONDS,
    );
    return [workerPartition, answer.unwrapOr({ runs: [], isComplete: false })];
  }

  function joinRuns(answers: ReadonlyMap<number, MeasuredRuns>): CollectedRuns {
    const runs = [...answers.values()].flatMap((answer) => answer.runs).flatMap(locateRun);
    const measured = new Set(runs.map(({ run }) => executionKey(run)));
    const unmeasured = listExecuting().filter(
      (task) =>
        !measured.has(executionKey(task)) &&
        answers.get(task.workerPartition ?? -1)?.isComplete === false,
    );
    return { runs, unmeasured: unmeasured.length };
  }

  async function collectRuns(): Promise<CollectedRuns> {
    const workerPartitions = new Set(
      listExecuting().flatMap(({ workerPartition }) => workerPartition ?? []),
    );
    return joinRuns(new Map(await Promise.all([...workerPartitions].map(fetchRuns))));
  }

  return {
    collectRuns,
    async readUsage() {
      const { runs, unmeasured } = await collectRuns();
      const ledger = createUsageLedger();
      state.usage.rows().forEach((row) => ledger.addTotal({ type: 'usage-total', ...row }));
      runs.forEach(({ located, run }) => {
        const uncounted = findUncountedInterval(located, { ...run, endedAt: run.until });
        if (uncounted) ledger.addInterval(uncounted);
      });
      return { rows: ledger.rows(), unmeasured };
    },
  };
}
