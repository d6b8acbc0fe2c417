/**
 * Starts reserved tasks: makes an intent durable for each, sends the starts and handles their results. An intent
 * precedes its start, so that the next owner knows of every execution that may exist.
 */
import { assertInvariant } from '@chicorybend/common';
import type { Result, StartResult, TaskAttempt } from '@chicorybend/common';

import type { TaskIntentRecord } from '../types/journalRecord.js';
import type { PeerError } from '../types/peer.js';
import type { ReclaimTerms, Reservation, ReservedStart } from '../types/peerMethods.js';

import { maySend } from './jobPartitionContext.js';
import type { JobPartitionContext } from './jobPartitionContext.js';
import { advanceTask, findTask } from './jobState.js';
import type { Job, Task } from './jobState.js';
import { GANG_RESERVATION_TTL_MILLISECONDS } from './reservationClient.js';
import type { ReservationClient } from './reservationClient.js';
import { isTerminating } from './taskRules.js';
import { executionKey, toAttempt } from './workerEntry.js';

/** Longer than the owner of the worker waits for an answer of the worker. */
const START_DEADLINE_MILLISECONDS = 3_000;
/** Time for the start commands of a gang to arrive before its reservations expire. */
const GANG_START_MARGIN_MILLISECONDS = 500;

export interface TaskStarterOptions {
  readonly context: JobPartitionContext;
  readonly reservationClient: ReservationClient;
  /** Terms on which the owner of the worker may reclaim the capacity of tasks of a job. */
  readonly reclaimTermsOf: (job: Job) => ReclaimTerms;
  /** The worker runs the execution. */
  readonly onRunning: (task: Task) => void;
  /** The start was not answered, so that it is not known whether the worker runs the execution. */
  readonly onOutcomeUnknown: (task: Task) => void;
  readonly onIntentDurable: (task: Task) => void;
  /** The intent is not durable; the task is pending again or was cancelled. */
  readonly onIntentDropped: (job: Job, task: Task) => void;
}

/** Starts reserved tasks. */
export interface TaskStarter {
  /**
   * @param reservations one for each task
   * @param reservedAt monotonic time at which the reservations were requested, in milliseconds
   */
  start(job: Job, reservations: readonly Reservation[], reservedAt: number): Promise<void>;
  /** Records that a start certainly had no effect. */
  recordNotStarted(attempt: TaskAttempt): Promise<void>;
}

interface IntendedStart {
  readonly reservation: Reservation;
  readonly task: Task;
  readonly attempt: number;
}

export function createTaskStarter(options: TaskStarterOptions): TaskStarter {
  const {
    context,
    reservationClient,
    onRunning,
    onOutcomeUnknown,
    onIntentDurable,
    onIntentDropped,
  } = options;
  const { partition, callPartition, clock, counters } = context;

  async function recordNotStarted({ taskId, attempt }: TaskAttempt): Promise<void> {
    counters.increment('tasks.not-started');
    const decidedAt = clock.wallMilliseconds();
    await partition.appendUntilDurable({ type: 'task-not-started', taskId, attempt, decidedAt });
  }

  function markReserved(job: Job, reservation: Reservation): IntendedStart | null {
    const task = findTask(partition.state, reservation.taskId)?.task;
    if (task?.state !== 'pending' || job.isHeld || partition.isCancelling(job)) return null;
    advanceTask(job, task, 'RESERVED');
    return { reservation, task, attempt: task.attempt + 1 };
  }

  function describeIntent({ reservation, task, attempt }: IntendedStart): TaskIntentRecord {
    const { workerId, workerPartition, incarnation } = reservation;
    return {
      type: 'task-intent',
      taskId: task.taskId,
      attempt,
      workerId,
      workerPartition,
      ...(incarnation === undefined ? {} : { incarnation }),
    };
  }

  function releaseReserved(job: Job, reserved: IntendedStart): void {
    reservationClient.release([reserved.reservation]);
    if (reserved.task.state === 'reserved') advanceTask(job, reserved.task, 'RESERVATION_ENDED');
    onIntentDropped(job, reserved.task);
  }

  async function writeIntent(job: Job, reserved: IntendedStart): Promise<IntendedStart | null> {
    const outcome = await partition.append(describeIntent(reserved));
    if (partition.isClosed()) return null;
    if (outcome.isOk()) {
      onIntentDurable(reserved.task);
      return reserved;
    }
    releaseReserved(job, reserved);
    return null;
  }

  function createStart(job: Job, { reservation, task, attempt }: IntendedStart): ReservedStart {
    const { lease } = partition;
    assertInvariant(
      task.state === 'intended' && task.attempt === attempt,
      'intent-before-start',
      () => `${task.taskId} attempt ${attempt} is ${task.state} with attempt ${task.attempt}`,
    );
    return {
      reservationId: reservation.reservationId,
      workerId: reservation.workerId,
      terms: options.reclaimTermsOf(job),
      start: {
        taskId: task.taskId,
        attempt,
        team: job.team,
        jobPartition: lease.partition,
        jobEpoch: lease.epoch,
        resources: job.request.resources,
        payload: job.request.payload,
      },
    };
  }

  async function applyStartResult(
    intended: IntendedStart,
    result: StartResult | undefined,
  ): Promise<void> {
    const { task, attempt } = intended;
    // The worker may have reported the end before the answer to the start arrived.
    if (task.attempt !== attempt || task.state !== 'intended') return;
    if (result?.outcome === 'started') onRunning(task);
    else if (result?.outcome === 'refused') await recordNotStarted(toAttempt(task));
    else onOutcomeUnknown(task);
  }

  function hasNoEffect(error: PeerError): boolean {
    if (error.kind === 'refused') return error.failure.run === 'not-run';
    return error.kind === 'not-sent';
  }

  async function applyStartResults(
    intended: readonly IntendedStart[],
    outcome: Result<readonly StartResult[], PeerError>,
  ): Promise<void> {
    if (outcome.isErr()) {
      if (hasNoEffect(outcome.error)) await undoIntents(intended);
      else intended.forEach(({ task }) => onOutcomeUnknown(task));
      return;
    }
    const results = new Map(outcome.value.map((result) => [executionKey(result), result]));
    await Promise.all(
      intended.map((intendedStart) =>
        applyStartResult(
          intendedStart,
          results.get(
            executionKey({ taskId: intendedStart.task.taskId, attempt: intendedStart.attempt }),
          ),
        ),
      ),
    );
  }

  /** Releases the reservations of starts that certainly had no effect, and records that. */
  async function undoIntents(intended: readonly IntendedStart[]): Promise<void> {
    reservationClient.release(intended.map(({ reservation }) => reservation));
    await Promise.all(intended.map(({ task }) => recordNotStarted(toAttempt(task))));
  }

  async function send(
    job: Job,
    workerPartition: number,
    intended: readonly IntendedStart[],
  ): Promise<void> {
    if (!maySend(context) || isTerminating(job)) {
      await undoIntents(intended);
      return;
    }
    const starts = intended.map((intendedStart) => createStart(job, intendedStart));
    const params = { workerPartition, starts };
    const outcome = await callPartition(
      workerPartition,
      'worker.start',
      params,
      START_DEADLINE_MILLISECONDS,
    );
    if (!partition.isClosed()) await applyStartResults(intended, outcome);
  }

  function groupByPartition(
    intended: readonly IntendedStart[],
  ): ReadonlyMap<number, IntendedStart[]> {
    const groups = new Map<number, IntendedStart[]>();
    intended.forEach((intendedStart) => {
      const group = groups.get(intendedStart.reservation.workerPartition) ?? [];
      group.push(intendedStart);
      groups.set(intendedStart.reservation.workerPartition, group);
    });
    return groups;
  }

  /** If intents of a gang are late or missing, no task of it is started, so that it never runs in part. */
  function isGangLate(job: Job, isComplete: boolean, reservedAt: number): boolean {
    if (job.request.kind !== 'gang') return false;
    const limit = GANG_RESERVATION_TTL_MILLISECONDS - GANG_START_MARGIN_MILLISECONDS;
    return !isComplete || clock.monotonicMilliseconds() - reservedAt > limit;
  }

  async function start(
    job: Job,
    reservations: readonly Reservation[],
    reservedAt: number,
  ): Promise<void> {
    const marked = reservations.map((reservation) => markReserved(job, reservation));
    reservationClient.release(reservations.filter((_, index) => marked[index] === null));
    const reserved = marked.filter((intendedStart) => intendedStart !== null);
    const outcomes = await Promise.all(
      reserved.map((intendedStart) => writeIntent(job, intendedStart)),
    );
    if (partition.isClosed()) return;
    const intended = outcomes.filter((intendedStart) => intendedStart !== null);
    if (isGangLate(job, intended.length === reservations.length, reservedAt)) {
      await undoIntents(intended);
      return;
    }
    await Promise.all(
      [...groupByPartition(intended)].map(([workerPartition, group]) =>
        send(job, workerPartition, group),
      ),
    );
  }

  return { start, recordNotStarted };
}
