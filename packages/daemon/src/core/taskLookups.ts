/**
 * Finds out what became of executions whose start was not answered, or whose owners have changed.
 */

import { computeBackoff } from '@chicorybend/common';
import type { CancelTimer, TaskAttempt } from '@chicorybend/common';

import type { ExecutionState, ReclaimTerms, TaskEvent } from '../types/peerMethods.js';

import { createFaultHandler } from '../utils/faults.js';
import { maySend } from './jobPartitionContext.js';
import type { JobPartitionContext } from './jobPartitionContext.js';
import { findTask, isExecuting } from './jobState.js';
import type { Job, LocatedTask, Task } from './jobState.js';
import { executionKey, toAttempt } from './workerEntry.js';

const LOOKUP_DEADLINE_MILLISECONDS = 1_000;
const LOOKUP_BACKOFF = { firstMilliseconds: 100, maximumMilliseconds: 1_000 };
const MAXIMUM_IN_FLIGHT = 256;

/** Looks executions up until their fate is known. */
export interface TaskLookups {
  add(task: Task): void;
  /** @returns executions whose fate is being looked up */
  size(): number;
  close(): void;
}

/** What a lookup leads to. */
export interface TaskLookupsListener {
  /** Tells the owner of the worker whether the tasks of a job may have to give way. */
  reclaimTermsOf(job: Job): ReclaimTerms;
  /** The worker runs the execution. */
  onRunning(task: Task): void;
  /** The start certainly had no effect. */
  onNotStarted(attempt: TaskAttempt): Promise<void>;
}

interface PendingLookup extends TaskAttempt {
  tries: number;
}

/**
 * Creates the lookups of one job partition.
 *
 * @param context parts of the partition
 * @param listener told about what was found
 * @returns the lookups
 */
export function createTaskLookups(
  context: JobPartitionContext,
  listener: TaskLookupsListener,
): TaskLookups {
  const { partition, callPartition, clock, random, log } = context;
  const pending = new Map<string, PendingLookup>();
  const waiting: PendingLookup[] = [];
  const timers = new Set<CancelTimer>();
  let inFlight = 0;

  /** @returns the task with its job, if the execution is still its present one */
  function findExecuting({ taskId, attempt }: TaskAttempt): LocatedTask | null {
    const located = findTask(partition.state, taskId);
    const isPresent = located?.task.attempt === attempt && isExecuting(located.task);
    return isPresent ? located : null;
  }

  async function recordEnd(task: Task, event: TaskEvent['event']): Promise<boolean> {
    const jobPartition = partition.lease.partition;
    const workerId = task.workerId ?? '';
    return (await partition.recordTaskEvent({ jobPartition, workerId, event })).isOk();
  }

  async function applyAbsent(task: Task): Promise<boolean> {
    // A start that was confirmed took place, whatever the worker remembers.
    if (task.state === 'running') {
      return recordEnd(task, { kind: 'lapsed', attempt: toAttempt(task) });
    }
    await listener.onNotStarted(toAttempt(task));
    return true;
  }

  /** @returns whether the fate of the execution is known and recorded */
  async function apply(task: Task, found: ExecutionState): Promise<boolean> {
    switch (found.kind) {
      case 'running':
        listener.onRunning(task);
        return true;
      case 'finished':
        return recordEnd(task, found);
      case 'lapsed':
        return recordEnd(task, { kind: 'lapsed', attempt: toAttempt(task) });
      case 'absent':
        return applyAbsent(task);
      default:
        return false;
    }
  }

  async function lookUp(lookup: PendingLookup): Promise<boolean> {
    const located = findExecuting(lookup);
    if (!located) return true;
    const { job, task } = located;
    if (task.workerId === null || task.workerPartition === null) return true;
    if (!maySend(context)) return false;
    const { workerPartition, workerId, incarnation } = task;
    const outcome = await callPartition(
      workerPartition,
      'worker.lookup',
      {
        workerPartition,
        workerId,
        attempt: toAttempt(task),
        ...(incarnation === null ? {} : { incarnation }),
        jobPartition: partition.lease.partition,
        jobEpoch: partition.lease.epoch,
        terms: listener.reclaimTermsOf(job),
      },
      LOOKUP_DEADLINE_MILLISECONDS,
    );
    const current = findExecuting(lookup);
    if (!current) return true;
    return outcome.isOk() ? apply(current.task, outcome.value) : false;
  }

  function retryLater(lookup: PendingLookup): void {
    const delay = computeBackoff(LOOKUP_BACKOFF, lookup.tries, random);
    const cancel = clock.setTimer(() => {
      timers.delete(cancel);
      waiting.push(lookup);
      sendNext();
    }, delay);
    timers.add(cancel);
  }

  async function follow(lookup: PendingLookup): Promise<void> {
    const isDone = await lookUp(lookup);
    if (isDone || partition.isClosed()) {
      pending.delete(executionKey(lookup));
      return;
    }
    lookup.tries += 1;
    retryLater(lookup);
  }

  function run(lookup: PendingLookup): void {
    inFlight += 1;
    follow(lookup)
      .catch(createFaultHandler(log, 'a lookup failed'))
      .finally(() => {
        inFlight -= 1;
        sendNext();
      });
  }

  function sendNext(): void {
    while (inFlight < MAXIMUM_IN_FLIGHT) {
      const lookup = waiting.shift();
      if (!lookup) return;
      run(lookup);
    }
  }

  return {
    add(task) {
      const key = executionKey(task);
      if (pending.has(key)) return;
      const lookup = { ...toAttempt(task), tries: 0 };
      pending.set(key, lookup);
      waiting.push(lookup);
      sendNext();
    },
    size: () => pending.size,
    close() {
      timers.forEach((cancel) => cancel());
      timers.clear();
      waiting.length = 0;
    },
  };
}
