/**
 * Pending work of one job partition: which tasks wait, since when, and why.
 */
import { computeBackoff } from '@chicorybend/common';
import type { Clock } from '@chicorybend/common';
import type { WorkItem, TaskQueue } from '@chicorybend/decisions';

import type { ConfigurationView } from '../types/configurationView.js';

import type { JobPartition } from './jobPartition.js';
import type { Job, Task } from './jobState.js';
import { priorityOf } from './queuePolicy.js';

const RETRY_BACKOFF = { firstMilliseconds: 50, maximumMilliseconds: 1_000 };

/** Pending work of one job partition. */
export interface TaskBacklog {
  /**
   * Queues a task, or the whole gang if all its tasks are pending.
   *
   * @param job job of the task
   * @param task task to queue
   * @param waitsFor what it waits for, for its caller
   * @param notBefore monotonic time of the next try, in milliseconds; without it, a try after a start that
   *   failed is delayed by a backoff
   */
  enqueue(job: Job, task: Task, waitsFor?: string, notBefore?: number): void;
  /** Queues work that was taken and could not be started. */
  requeue(work: WorkItem, notBefore: number, waitsFor: string): void;
  take(isEligible: (team: string) => boolean): WorkItem | null;
  /** Takes a task out, because it was cancelled or started. */
  remove(taskId: string): void;
  /** Takes a gang's common entry out. */
  removeGang(job: Job): void;
  isQueued(workId: string): boolean;
  /** @returns failed placements of the work since its last start */
  failedPlacementsOf(workId: string): number;
  explainWait(taskId: string): string | undefined;
  size(): number;
}

/** What the backlog needs. */
export interface TaskBacklogOptions {
  readonly partition: JobPartition;
  readonly queue: TaskQueue;
  readonly configuration: ConfigurationView;
  readonly clock: Clock;
  readonly random: () => number;
  /** Whether a placement of the task is going on. */
  readonly isBeingPlaced: (taskId: string) => boolean;
}

interface Waiting {
  tries: number;
  /** Returns to the queue for another reason than a lack of room. */
  failedStarts: number;
  since: number;
  waitsFor: string | undefined;
}

/**
 * Creates the backlog.
 *
 * @param options dependencies
 * @returns the backlog
 */
export function createTaskBacklog(options: TaskBacklogOptions): TaskBacklog {
  const { partition, queue, configuration, clock, random, isBeingPlaced: isInHand } = options;
  const waiting = new Map<string, Waiting>();
  const queued = new Set<string>();

  function add(work: WorkItem): void {
    queued.add(work.workId);
    queue.add(work);
  }

  function drop(workId: string): void {
    waiting.delete(workId);
    if (queued.delete(workId)) queue.remove(workId);
  }

  function isWholeGang(job: Job): boolean {
    if (job.request.kind !== 'gang' || job.counts.pending !== job.tasks.length) return false;
    return !job.tasks.some(({ taskId }) => isInHand(taskId));
  }

  function noteTry(workId: string, waitsFor: string | undefined, hasFailed: boolean): Waiting {
    const now = clock.monotonicMilliseconds();
    const entry = waiting.get(workId) ?? { tries: -1, failedStarts: -1, since: now, waitsFor };
    entry.tries += 1;
    // The first entry counts as well, so that both numbers begin at 0.
    if (hasFailed || entry.failedStarts < 0) entry.failedStarts += 1;
    entry.waitsFor = waitsFor;
    waiting.set(workId, entry);
    return entry;
  }

  function delayOf(tries: number): number {
    return tries === 0 ? 0 : computeBackoff(RETRY_BACKOFF, tries - 1, random);
  }

  function enqueue(job: Job, task: Task, waitsFor?: string, notBefore?: number): void {
    if (job.isHeld || job.isCancelled || task.state !== 'pending') return;
    const isGang = isWholeGang(job);
    if (isGang) job.tasks.forEach(({ taskId }) => drop(taskId));
    const workId = isGang ? job.jobId : task.taskId;
    const { failedStarts, since } = noteTry(workId, waitsFor, notBefore === undefined);
    const delay = delayOf(Math.max(failedStarts, task.failures));
    add({
      workId,
      jobId: job.jobId,
      team: job.team,
      priority: priorityOf(job, configuration),
      resources: job.request.resources,
      taskCount: isGang ? job.tasks.length : 1,
      enqueuedAt: since,
      notBefore: notBefore ?? clock.monotonicMilliseconds() + delay,
    });
  }

  return {
    enqueue,
    requeue(work, notBefore, waitsFor) {
      const entry = waiting.get(work.workId);
      if (entry) entry.waitsFor = waitsFor;
      add({ ...work, notBefore });
    },
    take(isEligible) {
      const work = queue.take(clock.monotonicMilliseconds(), isEligible);
      if (work) queued.delete(work.workId);
      return work;
    },
    remove: drop,
    removeGang: (job) => drop(job.jobId),
    isQueued: (workId) => queued.has(workId),
    failedPlacementsOf: (workId) => waiting.get(workId)?.tries ?? 0,
    explainWait(taskId) {
      const jobId = taskId.slice(0, taskId.lastIndexOf('/'));
      if (partition.state.jobs.get(jobId)?.isHeld) {
        return 'an operator, after failures on distinct workers';
      }
      return (waiting.get(taskId) ?? waiting.get(jobId))?.waitsFor;
    },
    size: () => queued.size,
  };
}
