/**
 * Racks of the replicas of services, so that new replicas go to the racks with the fewest of their job.
 */
import type { VmDirectory } from '../types/vmDirectory.js';

import type { Job, Task } from './jobState.js';

/** Racks of the replicas of one job partition. */
export interface ServiceRacks {
  /** Notes where a replica goes. */
  recordReplica(job: Job, task: Task, rack: string): void;
  /** Notes where a replica runs that was found after a takeover. */
  adoptReplica(job: Job, task: Task): void;
  /** Forgets a replica that ended or was not started. */
  removeReplica(job: Job, task: Task): void;
  /** @returns racks with more replicas of the job than the emptiest one */
  crowdedRacks(job: Job): readonly string[];
}

/**
 * Creates an empty record of racks.
 *
 * @param vmDirectory workers and their racks
 * @returns the record
 */
export function createServiceRacks(vmDirectory: VmDirectory): ServiceRacks {
  const rackOfTask = new Map<string, string>();
  const countsOfJob = new Map<string, Map<string, number>>();
  let rackOfWorker = new Map<string, string>();

  function readRacks(): void {
    rackOfWorker = new Map(vmDirectory.workers().map(({ id, rack }) => [id, rack]));
  }

  function add(jobId: string, rack: string, change: number): void {
    const counts = countsOfJob.get(jobId) ?? new Map<string, number>();
    const count = (counts.get(rack) ?? 0) + change;
    if (count > 0) counts.set(rack, count);
    else counts.delete(rack);
    if (counts.size > 0) countsOfJob.set(jobId, counts);
    else countsOfJob.delete(jobId);
  }

  function clear(job: Job, task: Task): void {
    const rack = rackOfTask.get(task.taskId);
    if (rack === undefined) return;
    rackOfTask.delete(task.taskId);
    add(job.jobId, rack, -1);
  }

  function set(job: Job, task: Task, rack: string): void {
    clear(job, task);
    rackOfTask.set(task.taskId, rack);
    add(job.jobId, rack, 1);
  }

  readRacks();
  vmDirectory.onChange(readRacks);
  return {
    recordReplica: set,
    adoptReplica(job, task) {
      const rack = rackOfWorker.get(task.workerId ?? '');
      if (rack !== undefined) set(job, task, rack);
    },
    removeReplica: clear,
    crowdedRacks(job) {
      const counts = countsOfJob.get(job.jobId);
      if (!counts) return [];
      const racks = new Set(rackOfWorker.values());
      const fewest = Math.min(...[...racks].map((rack) => counts.get(rack) ?? 0));
      return [...counts].filter(([, count]) => count > fewest).map(([rack]) => rack);
    },
  };
}
