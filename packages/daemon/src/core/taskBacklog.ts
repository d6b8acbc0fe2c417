/**
 * Pending tasks and gangs of one job partition: their entries in the queue, since when they wait, and for what.
 */
import { computeBackoff } from '@chicorybend/common';
import type { Clock } from '@chicorybend/common';
import type { WorkItem, TaskQueue } from '@chicorybend/decisions';

import type { ConfigurationView } from '../types/configurationView.js';

import type { JobPartition } from './jobPartition.js';
import type { Job, Task } from './jobState.js';
import { priorityOf } from './queuePolicy.js';

const RETRY_BACKOFF = { firstMilliseconds: 50, maximumMilliseconds: 1_000 };

/** Pending tasks and gangs of one job partition; a gang whose tasks are all pending has one entry. */
export interface TaskBacklog {
  /**
   * Adds a task to the queue, or the whole gang if all its tasks are pending.
   *
   * @param waitsFor what the task waits for, in words for its caller
   * @param notBefore monotonic time of the next placement, in milliseconds; if undefined, a placement after a
   *   failed start is delayed by a backoff
   */
  enqueue(job: Job, task: Task, waitsFor?: string, notBefore?: number): void;
  /** Returns an entry to the queue that was taken and could not be placed. */
  requeue(item: WorkItem, notBefore: number, waitsFor: string): void;
  /** @returns the first entry that is due and of an eligible team, or null */
  take(isEligible: (team: string) => boolean): WorkItem | null;
  /** Removes a task that was cancelled or started. */
  remove(taskId: string): void;
  /** Removes the common entry of a gang. */
  removeGang(job: Job): void;
  /** @param workId id of a task, or of the job for a whole gang */
  isQueued(workId: string): boolean;
  /** @returns number of failed placements since the last start */
  failedPlacementsOf(workId: string): number;
  explainWait(taskId: string): string | undefined;
  size(): number;
}

export interface TaskBacklogOptions {
  readonly partition: JobPartition;
  readonly queue: TaskQueue;
  readonly configuration: ConfigurationView;
  readonly clock: Clock;
  readonly random: () => number;
  /** Whether a placement of the task is in progress. */
  readonly isBeingPlaced: (taskId: string) => boolean;
}

interface BacklogEntry {
  failedPlacements: number;
  /** Times that the entry came back for another reason than a lack of capacity. */
  failedStarts: number;
  waitingSince: number;
  waitsFor: string | undefined;
}

export function createTaskBacklog(options: TaskBacklogOptions): TaskBacklog {
  const { partition, queue, configuration, clock, random, isBeingPlaced } = options;
  const entries = new Map<string, BacklogEntry>();
  const queuedIds = new Set<string>();

  function add(item: WorkItem): void {
    queuedIds.add(item.workId);
    queue.add(item);
  }

  function remove(workId: string): void {
    entries.delete(workId);
    if (queuedIds.delete(workId)) queue.remove(workId);
  }

  function isWholeGang(job: Job): boolean {
    if (job.request.kind !== 'gang' || job.counts.pending !== job.tasks.length) return false;
    return !job.tasks.some(({ taskId }) => isBeingPlaced(taskId));
  }

  function recordEnqueue(
    workId: string,
    waitsFor: string | undefined,
    hasFailed: boolean,
  ): BacklogEntry {
    const now = clock.monotonicMilliseconds();
    const entry = entries.get(workId) ?? {
      failedPlacements: -1,
      failedStarts: -1,
      waitingSince: now,
      waitsFor,
    };
    entry.failedPlacements += 1;
    // Both numbers begin at -1, because the first addition to the queue is counted as well.
    if (hasFailed || entry.failedStarts < 0) entry.failedStarts += 1;
    entry.waitsFor = waitsFor;
    entries.set(workId, entry);
    return entry;
  }

  function delayOf(failureCount: number): number {
    return failureCount === 0 ? 0 : computeBackoff(RETRY_BACKOFF, failureCount - 1, random);
  }

  function enqueue(job: Job, task: Task, waitsFor?: string, notBefore?: number): void {
    if (job.isHeld || job.isCancelled || task.state !== 'pending') return;
    const isGang = isWholeGang(job);
    if (isGang) job.tasks.forEach(({ taskId }) => remove(taskId));
    const workId = isGang ? job.jobId : task.taskId;
    const { failedStarts, waitingSince } = recordEnqueue(workId, waitsFor, notBefore === undefined);
    const delay = delayOf(Math.max(failedStarts, task.failures));
    add({
      workId,
      jobId: job.jobId,
      team: job.team,
      priority: priorityOf(job, configuration),
      resources: job.request.resources,
      taskCount: isGang ? job.tasks.length : 1,
      enqueuedAt: waitingSince,
      notBefore: notBefore ?? clock.monotonicMilliseconds() + delay,
    });
  }

  return {
    enqueue,
    requeue(item, notBefore, waitsFor) {
      const entry = entries.get(item.workId);
      if (entry) entry.waitsFor = waitsFor;
      add({ ...item, notBefore });
    },
    take(isEligible) {
      const item = queue.take(clock.monotonicMilliseconds(), isEligible);
      if (item) queuedIds.delete(item.workId);
      return item;
    },
    remove,
    removeGang: (job) => remove(job.jobId),
    isQueued: (workId) => queuedIds.has(workId),
    failedPlacementsOf: (workId) => entries.get(workId)?.failedPlacements ?? 0,
    explainWait(taskId) {
      const jobId = taskId.slice(0, taskId.lastIndexOf('/'));
      if (partition.state.jobs.get(jobId)?.isHeld) {
        return 'an operator, after failures on distinct workers';
      }
      return (entries.get(taskId) ?? entries.get(jobId))?.waitsFor;
    },
    size: () => queuedIds.size,
  };
}
