/**
 * Stops the executions of cancelled jobs, a bounded number at a time, until each of them has ended.
 */
import { computeBackoff } from '@chicorybend/common';
import type { CancelTimer, TaskAttempt } from '@chicorybend/common';

import { createFaultHandler } from '../utils/faults.js';
import { maySend } from './jobPartitionContext.js';
import type { JobPartitionContext } from './jobPartitionContext.js';
import { findTask, isExecuting } from './jobState.js';
import type { Task } from './jobState.js';
import { executionKey, toAttempt } from './workerEntry.js';

const STOP_DEADLINE_MILLISECONDS = 2_000;
const STOPS_PER_TURN = 256;
const TURN_INTERVAL_MILLISECONDS = 10;
/** A stop that took effect is reported with the next renewal, after at most one second. */
const STOP_BACKOFF = { firstMilliseconds: 2_000, maximumMilliseconds: 10_000 };

/** Executions to stop. */
export interface TaskStops {
  add(task: Task): void;
  size(): number;
  close(): void;
}

interface PendingStop extends TaskAttempt {
  /** Monotonic time in milliseconds. */
  dueAt: number;
  tries: number;
}

/** Tasks of one worker. */
interface StopGroup {
  readonly workerPartition: number;
  readonly workerId: string;
  readonly tasks: TaskAttempt[];
}

/**
 * Creates the stops of one job partition.
 *
 * @param context parts of the partition
 * @returns the stops
 */
export function createTaskStops(context: JobPartitionContext): TaskStops {
  const { partition, callPartition, clock, random, log } = context;
  const pending = new Map<string, PendingStop>();
  let cancelTimer: CancelTimer | null = null;

  function schedule(): void {
    if (pending.size > 0 && !partition.isClosed()) {
      cancelTimer ??= clock.setTimer(runTurn, TURN_INTERVAL_MILLISECONDS);
    }
  }

  function findExecuting({ taskId, attempt }: TaskAttempt): Task | null {
    const task = findTask(partition.state, taskId)?.task;
    return task && task.attempt === attempt && isExecuting(task) ? task : null;
  }

  function groupByWorker(tasks: readonly Task[]): readonly StopGroup[] {
    const groups = new Map<string, StopGroup>();
    tasks.forEach((task) => {
      const { workerId, workerPartition } = task;
      if (workerId === null || workerPartition === null) return;
      const group = groups.get(workerId) ?? { workerPartition, workerId, tasks: [] };
      group.tasks.push(toAttempt(task));
      groups.set(workerId, group);
    });
    return [...groups.values()];
  }

  function send(group: StopGroup): void {
    callPartition(
      group.workerPartition,
      'worker.stop',
      { ...group, mode: 'stop' },
      STOP_DEADLINE_MILLISECONDS,
    ).catch(createFaultHandler(log, 'a stop failed'));
  }

  /** Entries move to the end of the map when they are tried, so that the due ones come first. */
  function takeDue(): readonly Task[] {
    const now = clock.monotonicMilliseconds();
    const due: Task[] = [];
    let looked = 0;
    for (const [key, stop] of pending) {
      if (looked >= STOPS_PER_TURN) break;
      looked += 1;
      const task = findExecuting(stop);
      if (!task) pending.delete(key);
      else {
        pending.delete(key);
        if (stop.dueAt <= now) {
          due.push(task);
          stop.dueAt = now + computeBackoff(STOP_BACKOFF, stop.tries, random);
          stop.tries += 1;
        }
        pending.set(key, stop);
      }
    }
    return due;
  }

  function runTurn(): void {
    cancelTimer = null;
    if (maySend(context)) groupByWorker(takeDue()).forEach(send);
    schedule();
  }

  return {
    add(task) {
      const key = executionKey(task);
      if (pending.has(key)) return;
      pending.set(key, { ...toAttempt(task), dueAt: 0, tries: 0 });
      schedule();
    },
    size: () => pending.size,
    close() {
      cancelTimer?.();
      pending.clear();
    },
  };
}
