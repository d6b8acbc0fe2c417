/**
 * Notices when the owner of a worker partition changes. The new owner may never learn of executions on a
 * worker that died with the former owner, so that the owner of their jobs asks about each of them.
 */
import type { CancelTimer } from '@chicorybend/common';

import type { JobPartitionContext } from './jobPartitionContext.js';
import type { Task } from './jobState.js';

const CHECK_INTERVAL_MILLISECONDS = 1_000;

/** Executions by worker partition. */
export interface WorkerEpochWatch {
  /** Watches a task with an intent. */
  add(task: Task): void;
  remove(task: Task): void;
  close(): void;
}

/**
 * Creates the watch of one job partition.
 *
 * @param context parts of the partition
 * @param onOwnerChange called for each execution whose worker partition has a new owner
 * @returns the watch
 */
export function createWorkerEpochWatch(
  context: JobPartitionContext,
  onOwnerChange: (task: Task) => void,
): WorkerEpochWatch {
  const { directory, clock } = context;
  const byPartition = new Map<number, Set<Task>>();
  const partitionOfTask = new Map<Task, number>();
  const epochs = new Map<number, number>();
  let cancelTimer: CancelTimer = clock.setTimer(checkPartitions, CHECK_INTERVAL_MILLISECONDS);

  function checkPartition(tasks: ReadonlySet<Task>, workerPartition: number): void {
    const epoch = directory.ownerOf(workerPartition)?.epoch;
    if (epoch === undefined || epoch === epochs.get(workerPartition)) return;
    epochs.set(workerPartition, epoch);
    tasks.forEach(onOwnerChange);
  }

  function checkPartitions(): void {
    byPartition.forEach(checkPartition);
    cancelTimer = clock.setTimer(checkPartitions, CHECK_INTERVAL_MILLISECONDS);
  }

  function recordFirstEpoch(workerPartition: number): void {
    const epoch = directory.ownerOf(workerPartition)?.epoch;
    if (epoch !== undefined && !epochs.has(workerPartition)) epochs.set(workerPartition, epoch);
  }

  function remove(task: Task): void {
    const workerPartition = partitionOfTask.get(task);
    if (workerPartition === undefined) return;
    partitionOfTask.delete(task);
    byPartition.get(workerPartition)?.delete(task);
  }

  return {
    add(task) {
      if (task.workerPartition === null) return;
      remove(task);
      recordFirstEpoch(task.workerPartition);
      const tasks = byPartition.get(task.workerPartition) ?? new Set();
      byPartition.set(task.workerPartition, tasks);
      tasks.add(task);
      partitionOfTask.set(task, task.workerPartition);
    },
    remove,
    close: () => cancelTimer(),
  };
}
