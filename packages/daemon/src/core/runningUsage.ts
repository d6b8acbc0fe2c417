/**
 * Computes the usage of one job partition, including running executions up to the last reports of their workers.
 * The owners of the worker partitions know what an execution has used, and only this partition knows how much of it is
 * counted. Both are joined here in one synchronous step, so that the counted time cannot change in between.
 */
import type { MeasuredRun, MeasuredRuns, PartitionUsage } from '../types/peerMethods.js';
import type { CallPartition } from '../utils/partitionCalls.js';

import type { JobPartition } from './jobPartition.js';
import { findUncountedInterval } from './countedUsage.js';
import { findTask, isExecuting } from './jobState.js';
import type { LocatedTask, Task } from './jobState.js';
import { createUsageLedger } from './usage.js';
import { executionKey } from './workerEntry.js';

/** Shorter than the time that a usage report allows for each partition. */
const WORKER_RUNS_DEADLINE_MILLISECONDS = 1_000;

/** An execution as its worker reported it, with its task and job in this partition. */
export interface LocatedRun {
  readonly located: LocatedTask;
  readonly run: MeasuredRun;
}

/** Executions that the owners of the worker partitions reported. */
export interface CollectedRuns {
  readonly runs: readonly LocatedRun[];
  /** Number of executions that may run, but are missing from an incomplete answer of a worker partition. */
  readonly unmeasured: number;
}

/** Reads the usage of one job partition, including running executions. */
export interface RunningUsageReader {
  /** Fetches the executions whose ends are not durable yet from the owners of the worker partitions. */
  collectRuns(): Promise<CollectedRuns>;
  /** Reads counted usage and the uncounted usage up to the workers' last reports. */
  readUsage(): Promise<PartitionUsage>;
}

/**
 * Creates the reader for one job partition.
 *
 * @param callPartition calls the owner of a worker partition
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

  /** An ended run counts even if its task has meanwhile been declared lost; a running one only if it is current. */
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
