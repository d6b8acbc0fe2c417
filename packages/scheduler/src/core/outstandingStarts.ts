import type { Clock, Log } from '@chicorybend/common';

import type { JobRecord, OutstandingStart, TaskRecord } from '../types/jobRecord.js';
import type { EndpointTimeLimits } from '../types/termContext.js';
import { leaseDurations } from '../utils/leaseTimes.js';
import { lastLeaseExpiry } from './endpointTable.js';
import type { EndpointState, EndpointTable } from './endpointTable.js';
import { forEachTask } from './jobRecords.js';
import type { BoundTasks } from './heldBackWork.js';
import type { SchedulerMetrics } from './schedulerMetrics.js';

/** How long an endpoint that was replaced under its id is expected to be replaced again, in milliseconds. */
const REPLACEMENT_MEMORY_MILLISECONDS = 60_000;
/** Interval of looking for starts that are over; hundreds may be outstanding while many endpoints are in trouble. */
const FORGETTING_INTERVAL_MILLISECONDS = 1_000;

/**
 * Starts that were given up without an answer, and that their endpoint may still execute. A stop or a list rules a
 * start out for one incarnation only. If the endpoint may be replaced under its id, all runs of the task therefore stay
 * there until the start can no longer arrive: the present incarnation refuses the start, and the run of a former one
 * has ended with it. Otherwise the task may start elsewhere, because the endpoint may leave its starts unanswered.
 */
export interface OutstandingStarts {
  /**
   * Notes the start of the current run of a task, right before the run is dropped.
   *
   * @param state endpoint of the run
   * @param ruledOutAt until when the start has certainly not been executed, in monotonic milliseconds
   */
  record(state: EndpointState, task: TaskRecord, ruledOutAt: number): void;
  /**
   * Applies a list of an endpoint.
   *
   * @param executing tasks of which the endpoint executes a run that is not their current one
   * @param requestedAt when the list was requested, in monotonic milliseconds; -Infinity if it may omit ends
   */
  applyList(state: EndpointState, executing: ReadonlySet<TaskRecord>, requestedAt: number): void;
  /** @returns whether no run of the task may start, because an earlier one is executing */
  isHeld(task: TaskRecord): boolean;
  /** @returns whether an endpoint may execute a start that binds its task, and has ends that must not be discarded */
  mayExecute(endpointId: string): boolean;
  /** @returns tasks that may start on one endpoint only, or not at all */
  boundTasks(): BoundTasks;
  /** @returns the only endpoint on which the task may start; null if there is no such restriction */
  requiredEndpoint(task: TaskRecord): string | null;
}

export interface OutstandingStartsOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: SchedulerMetrics;
  readonly timeLimits: EndpointTimeLimits;
  readonly table: EndpointTable;
  readonly jobs: ReadonlyMap<string, JobRecord>;
}

/** Creates the starts of one term, with those that are stored with the jobs. */
export function createOutstandingStarts(options: OutstandingStartsOptions): OutstandingStarts {
  const { clock, log, metrics, table } = options;
  const { longest } = leaseDurations(options.timeLimits);
  const { maximumOrderDelayMilliseconds } = options.timeLimits;
  /** By endpoint id. */
  const tasksByEndpoint = new Map<string, Set<TaskRecord>>();
  let forgottenAt = -Infinity;

  function isSettled({ phase, step }: TaskRecord): boolean {
    return phase === 'done' || phase === 'failed' || step.job.phase !== 'open';
  }

  function release(task: TaskRecord): void {
    const start = task.outstandingStart;
    if (!start) return;
    task.outstandingStart = null;
    const tasks = tasksByEndpoint.get(start.endpointId);
    tasks?.delete(task);
    if (tasks?.size === 0) tasksByEndpoint.delete(start.endpointId);
  }

  /**
   * An endpoint that is not heard from may have executed the start at the last moment, with the longest lease, and
   * later orders after it.
   */
  function hasExpired({ endpointId, until }: OutstandingStart): boolean {
    const state = table.get(endpointId);
    const expiresAt = Math.max(until + longest, state ? lastLeaseExpiry(state) : -Infinity);
    return clock.monotonicMilliseconds() >= expiresAt;
  }

  function current(task: TaskRecord): OutstandingStart | null {
    if (task.outstandingStart && hasExpired(task.outstandingStart)) release(task);
    return task.outstandingStart;
  }

  /** Tasks that end elsewhere, or whose endpoint is gone, are not in a list of the endpoint any more. */
  function forgetIfOver(task: TaskRecord): void {
    const start = task.outstandingStart;
    if (start && (isSettled(task) || hasExpired(start))) release(task);
  }

  function forgetOldStarts(): void {
    const now = clock.monotonicMilliseconds();
    if (now - forgottenAt < FORGETTING_INTERVAL_MILLISECONDS) return;
    forgottenAt = now;
    tasksByEndpoint.forEach((tasks) => tasks.forEach(forgetIfOver));
  }

  function index(task: TaskRecord, endpointId: string): void {
    forgetOldStarts();
    const tasks = tasksByEndpoint.get(endpointId);
    if (tasks) tasks.add(task);
    else tasksByEndpoint.set(endpointId, new Set([task]));
  }

  function assign(task: TaskRecord, start: OutstandingStart): void {
    release(task);
    task.outstandingStart = start;
    index(task, start.endpointId);
  }

  /**
   * An endpoint that was replaced under its id lately, or did not answer since the start, may be replaced again. One
   * that is missing in the directory counts as gone.
   */
  function isBinding({
    endpointId,
    until,
    isByFormerOwner,
    isExecuting,
  }: OutstandingStart): boolean {
    const state = table.get(endpointId);
    if (isExecuting) return true;
    if (!state?.isListed) return false;
    if (isByFormerOwner) return true;
    const now = clock.monotonicMilliseconds();
    const isReplacedLately = now - state.replacedAt < REPLACEMENT_MEMORY_MILLISECONDS;
    return isReplacedLately || state.lastSilentAt >= until - maximumOrderDelayMilliseconds;
  }

  /**
   * An incarnation that has answered a hold sent after the latest execution of a start was not followed by another one
   * that executed it, so that its ends can be acknowledged, also if its lists are too full to show all of them.
   */
  function mayEndUnread({ endpointId, until, isExecuting }: OutstandingStart): boolean {
    return isExecuting || (table.get(endpointId)?.answeredHoldSentAt ?? -Infinity) <= until;
  }

  options.jobs.forEach((job) =>
    forEachTask(job, (task) => {
      if (task.outstandingStart) index(task, task.outstandingStart.endpointId);
    }),
  );

  return {
    record(state, task, ruledOutAt) {
      const { run, startOutstandingUntil: until, isStartByFormerOwner } = task;
      const { endpointId } = state.entry;
      if (until === null || until <= ruledOutAt || isSettled(task)) return;
      const former = current(task);
      const start = {
        endpointId,
        recordedAt: former?.recordedAt ?? clock.monotonicMilliseconds(),
        until: Math.max(until, former?.until ?? -Infinity),
        isByFormerOwner: isStartByFormerOwner || former?.isByFormerOwner === true,
        isExecuting: former?.isExecuting === true,
      };
      assign(task, start);
      metrics.count('starts_outstanding');
      log.info('start may still be executed', {
        task: task.taskId,
        run,
        endpoint: endpointId,
        isBinding: isBinding(start),
        milliseconds: Math.round(until - clock.monotonicMilliseconds()),
      });
    },
    applyList({ entry: { endpointId } }, executing, requestedAt) {
      executing.forEach((task) => {
        if (isSettled(task)) return;
        const former = current(task);
        assign(task, {
          endpointId,
          recordedAt: former?.recordedAt ?? clock.monotonicMilliseconds(),
          until: former?.until ?? clock.monotonicMilliseconds(),
          isByFormerOwner: former?.isByFormerOwner === true,
          isExecuting: true,
        });
      });
      [...(tasksByEndpoint.get(endpointId) ?? [])].forEach((task) => {
        const start = task.outstandingStart!;
        if (isSettled(task)) release(task);
        else if (!executing.has(task)) {
          if (requestedAt > start.until) release(task);
          else task.outstandingStart = { ...start, isExecuting: false };
        }
      });
    },
    isHeld: (task) => current(task)?.isExecuting === true,
    requiredEndpoint(task) {
      const start = current(task);
      return start && isBinding(start) ? start.endpointId : null;
    },
    boundTasks() {
      const now = clock.monotonicMilliseconds();
      const starts = [...tasksByEndpoint.values()].flatMap((tasks) =>
        [...tasks].flatMap((task) => current(task) ?? []),
      );
      const binding = starts.filter(isBinding);
      const since = binding.map(({ recordedAt }) => recordedAt);
      return { count: binding.length, longestMilliseconds: now - Math.min(now, ...since) };
    },
    mayExecute: (endpointId) =>
      [...(tasksByEndpoint.get(endpointId) ?? [])].some((task) => {
        const start = current(task);
        return start !== null && isBinding(start) && mayEndUnread(start);
      }),
  };
}
