/**
 * Applies what a worker reports: its running and finished executions, its clock and its incarnation.
 */

import type { FinishedTask, RunningTask, SealResponse } from '@chicorybend/common';
import type { WorkerPool } from '@chicorybend/decisions';

import type { TaskEvent } from '../types/peerMethods.js';

import { executionKey, toAttempt } from './workerEntry.js';
import type { Execution, WorkerEntry } from './workerEntry.js';
import { toMeasuredRun } from './measuredRuns.js';

/** What the reports of workers change. */
export interface ExecutionTrackerOptions {
  readonly pool: WorkerPool;
  /** Monotonic time in milliseconds. */
  readonly now: () => number;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  readonly wallClockNow: () => number;
  /** An execution ended, or its lease lapsed. */
  readonly onEnd: (worker: WorkerEntry, event: TaskEvent) => void;
  /** The worker runs an execution that was declared lapsed. */
  readonly onLapsedExecutionReported: (worker: WorkerEntry, execution: Execution) => void;
  /** The worker is another process than before, or was not known before. */
  readonly onIncarnationChange: (worker: WorkerEntry) => void;
}

/** Applies the reports of workers. */
export interface ExecutionTracker {
  /**
   * @param worker worker that answered
   * @param report its answer
   * @param sentAt monotonic time at which the call was sent, in milliseconds
   */
  applyReport(worker: WorkerEntry, report: SealResponse, sentAt: number): void;
  /** Declares an execution lapsed. */
  declareLapsed(worker: WorkerEntry, execution: Execution): void;
  /** Declares all executions of a worker lapsed. */
  declareAllLapsed(worker: WorkerEntry): void;
  /** Forgets an execution that does not occupy its worker, and frees its room. */
  removeExecution(worker: WorkerEntry, execution: Execution): void;
}

/**
 * Creates the part of a worker partition that applies reports.
 *
 * @param options what the reports change
 * @returns the part
 */
export function createExecutionTracker(options: ExecutionTrackerOptions): ExecutionTracker {
  const {
    pool,
    now,
    wallClockNow: wallClockNow,
    onEnd,
    onLapsedExecutionReported: onLapsedExecutionReported,
    onIncarnationChange: onIncarnationChange,
  } = options;

  function removeExecution(worker: WorkerEntry, execution: Execution): void {
    if (worker.executions.delete(executionKey(execution))) {
      pool.release(worker.workerId, execution.resources);
    }
  }

  function declareLapsed(worker: WorkerEntry, execution: Execution): void {
    removeExecution(worker, execution);
    worker.lapsedExecutionKeys.add(executionKey(execution));
    const run = toMeasuredRun(execution);
    onEnd(worker, {
      jobPartition: execution.jobPartition,
      workerId: worker.workerId,
      event: {
        kind: 'lapsed',
        attempt: toAttempt(execution),
        ...(run ? { ran: { startedAt: run.startedAt, until: run.until } } : {}),
      },
    });
  }

  function declareAllLapsed(worker: WorkerEntry): void {
    [...worker.executions.values()].forEach((execution) => declareLapsed(worker, execution));
  }

  function applyIncarnation(worker: WorkerEntry, report: SealResponse): void {
    if (worker.incarnation === report.incarnation) return;
    if (worker.incarnation !== null) {
      worker.lapsedExecutionKeys.clear();
      declareAllLapsed(worker);
    }
    worker.incarnation = report.incarnation;
    onIncarnationChange(worker);
  }

  function applyCapacity(worker: WorkerEntry, report: SealResponse): void {
    worker.capacity = report.capacity;
    worker.clockReading = { workerMilliseconds: report.workerMilliseconds, receivedAt: now() };
    const { dataCentre, rack } = worker.vm;
    pool.upsert({ workerId: worker.workerId, dataCentre, rack, capacity: report.capacity });
  }

  function addReportedExecution(worker: WorkerEntry, running: RunningTask): Execution {
    const execution: Execution = {
      ...toAttempt(running),
      team: running.team,
      jobPartition: running.jobPartition,
      resources: running.resources,
      state: 'running',
      confirmedAt: now(),
      notAfter: 0,
      report: running,
      terms: null,
    };
    worker.executions.set(executionKey(running), execution);
    pool.adopt(worker.workerId, running.resources);
    return execution;
  }

  function applyRunning(worker: WorkerEntry, running: RunningTask): void {
    const key = executionKey(running);
    const execution = worker.executions.get(key) ?? addReportedExecution(worker, running);
    if (execution.state !== 'running') execution.confirmedAt = now();
    execution.state = 'running';
    execution.report = running;
    execution.reportedAt = wallClockNow();
    if (worker.lapsedExecutionKeys.has(key)) onLapsedExecutionReported(worker, execution);
  }

  function applyFinished(worker: WorkerEntry, finished: FinishedTask): void {
    const key = executionKey(finished);
    const execution = worker.executions.get(key);
    if (execution) removeExecution(worker, execution);
    if (worker.unconfirmedEnds.has(key) || worker.endsToAcknowledge.has(key)) return;
    onEnd(worker, {
      jobPartition: finished.jobPartition,
      workerId: worker.workerId,
      event: { kind: 'finished', finished },
    });
  }

  /** A start that was not answered has had no effect if the worker is past its not-after time without it. */
  function hasCertainlyNotStarted(execution: Execution, report: SealResponse): boolean {
    return execution.state === 'doubtful' && report.workerMilliseconds > execution.notAfter;
  }

  function applyAbsent(worker: WorkerEntry, report: SealResponse, sentAt: number): void {
    const reportedKeys = new Set(report.running.map(executionKey));
    [...worker.executions.values()].forEach((execution) => {
      if (reportedKeys.has(executionKey(execution))) return;
      if (hasCertainlyNotStarted(execution, report)) removeExecution(worker, execution);
      else if (execution.state === 'running' && execution.confirmedAt < sentAt) {
        declareLapsed(worker, execution);
      }
    });
  }

  return {
    applyReport(worker, report, sentAt) {
      applyIncarnation(worker, report);
      applyCapacity(worker, report);
      report.finished.forEach((finished) => applyFinished(worker, finished));
      report.running.forEach((running) => applyRunning(worker, running));
      applyAbsent(worker, report, sentAt);
    },
    declareLapsed: declareLapsed,
    declareAllLapsed: declareAllLapsed,
    removeExecution: removeExecution,
  };
}
