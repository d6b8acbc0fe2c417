/**
 * Describes what the workers of one partition have run and whose end is not durable yet.
 */
import type { MeasuredRun, MeasuredRuns } from '../types/peerMethods.js';

import { toAttempt } from './workerEntry.js';
import type { Execution, WorkerEntry } from './workerEntry.js';

/**
 * @param execution execution that occupies its worker
 * @returns time in which it is known to have run, or null if the worker has not reported it
 */
export function toMeasuredRun(execution: Execution): MeasuredRun | null {
  const { report, reportedAt } = execution;
  if (!report || reportedAt === undefined) return null;
  const { startedAt } = report;
  return { ...toAttempt(execution), startedAt, until: reportedAt, isRunning: true };
}

function listEndedRuns(worker: WorkerEntry, jobPartition: number): MeasuredRun[] {
  return [...worker.unconfirmedEnds.values()].flatMap(({ event }) => {
    if (event.kind !== 'finished' || event.finished.jobPartition !== jobPartition) return [];
    const { finished } = event;
    const { startedAt, endedAt } = finished;
    return [{ ...toAttempt(finished), startedAt, until: endedAt, isRunning: false }];
  });
}

function listOngoingRuns(worker: WorkerEntry, jobPartition: number): MeasuredRun[] {
  return [...worker.executions.values()]
    .filter((execution) => execution.jobPartition === jobPartition)
    .map(toMeasuredRun)
    .filter((run) => run !== null);
}

/**
 * Lists the executions of one job partition.
 *
 * @param workers workers of the partition
 * @param jobPartition partition of the jobs
 * @returns executions, and whether all workers have been heard
 */
export function listMeasuredRuns(
  workers: readonly WorkerEntry[],
  jobPartition: number,
): MeasuredRuns {
  return {
    runs: workers.flatMap((worker) => [
      ...listOngoingRuns(worker, jobPartition),
      ...listEndedRuns(worker, jobPartition),
    ]),
    isComplete: workers.every(({ liveness: contact }) => contact !== 'unsealed'),
  };
}
