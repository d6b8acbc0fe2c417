/**
 * Tracks the racks of service replicas, so that new replicas go to the racks with the fewest replicas of their job.
 */
import type { VmDirectory } from '../types/vmDirectory.js';

import type { Job, Task } from './jobState.js';

/** Racks of the service replicas of one job partition. */
export interface ServiceRacks {
  /** Records the rack for which a replica has a reservation. */
  recordReplica(job: Job, task: Task, rack: string): void;
  /** Records the rack of a replica that was already running when the partition was opened. */
  adoptReplica(job: Job, task: Task): void;
  /** Removes a replica that ended or was not started. */
  removeReplica(job: Job, task: Task): void;
  /** @returns racks with more replicas of the job than the rack with the fewest */
  crowdedRacks(job: Job): readonly string[];
}

export function createServiceRacks(vmDirectory: VmDirectory): ServiceRacks {
  const rackOfTask = new Map<string, string>();
  const countsOfJob = new Map<string, Map<string, number>>();
  let rackOfWorker = new Map<string, string>();

  function updateWorkerRacks(): void {
    rackOfWorker = new Map(vmDirectory.workers().map(({ id, rack }) => [id, rack]));
  }

  function changeCount(jobId: string, rack: string, change: number): void {
    const counts = countsOfJob.get(jobId) ?? new Map<string, number>();
    const count = (counts.get(rack) ?? 0) + change;
    if (count > 0) counts.set(rack, count);
    else counts.delete(rack);
    if (counts.size > 0) countsOfJob.set(jobId, counts);
    else countsOfJob.delete(jobId);
  }

  function removeReplica(job: Job, task: Task): void {
    const rack = rackOfTask.get(task.taskId);
    if (rack === undefined) return;
    rackOfTask.delete(task.taskId);
    changeCount(job.jobId, rack, -1);
  }

  function recordReplica(job: Job, task: Task, rack: string): void {
    removeReplica(job, task);
    rackOfTask.set(task.taskId, rack);
    changeCount(job.jobId, rack, 1);
  }

  updateWorkerRacks();
  vmDirectory.onChange(updateWorkerRacks);
  return {
    recordReplica,
    adoptReplica(job, task) {
      const rack = rackOfWorker.get(task.workerId ?? '');
      if (rack !== undefined) recordReplica(job, task, rack);
    },
    removeReplica,
    crowdedRacks(job) {
      const counts = countsOfJob.get(job.jobId);
      if (!counts) return [];
      const racks = new Set(rackOfWorker.values());
      const fewest = Math.min(...[...racks].map((rack) => counts.get(rack) ?? 0));
      return [...counts].filter(([, count]) => count > fewest).map(([rack]) => rack);
    },
  };
}
