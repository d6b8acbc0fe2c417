/**
 * Starts reserved tasks: writes the intents, sends the starts and settles what became of each.
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

/** Longer than the owner of the worker waits for the worker. */
const START_DEADLINE_MILLISECONDS = 3_000;
/** Time that a start command may take on its way within the life of a gang's reservations. */
const GANG_START_MARGIN_MILLISECONDS = 500;

/** What the starts need. */
export interface TaskStarterOptions {
  readonly context: JobPartitionContext;
  readonly reservationClient: ReservationClient;
  /** Tells the owner of the worker whether the tasks of a job may have to give way. */
  readonly reclaimTermsOf: (job: Job) => ReclaimTerms;
  /** The worker runs the execution. */
  readonly onRunning: (task: Task) => void;
  /** Nobody knows whether the worker runs the execution. */
  readonly onOutcomeUnknown: (task: Task) => void;
  /** The intent of an execution is durable. */
  readonly onIntentDurable: (task: Task) => void;
  /** The task was not intended and is pending again, or has been cancelled. */
  readonly onIntentDropped: (job: Job, task: Task) => void;
}

/** Starts reserved tasks. */
export interface TaskStarter {
  /**
   * @param job job of the tasks
   * @param reservations one for each task
   * @param reservedAt monotonic time at which they were asked for, in milliseconds
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

/**
 * Creates the starts of one job partition.
 *
 * @param options parts of the partition
 * @returns the starts
 */
export function createTaskStarter(options: TaskStarterOptions): TaskStarter {
  const {
    context,
    reservationClient: reserver,
    onRunning,
    onOutcomeUnknown: onDoubt,
    onIntentDurable: onIntended,
    onIntentDropped: onNotIntended,
  } = options;
  const { partition, callPartition, clock, counters } = context;

  async function recordNotStarted({ taskId, attempt }: TaskAttempt): Promise<void> {
    counters.increment('tasks.not-started');
    const decidedAt = clock.wallMilliseconds();
    await partition.appendUntilDurable({ type: 'task-not-started', taskId, attempt, decidedAt });
  }

  function takeReserved(job: Job, reservation: Reservation): IntendedStart | null {
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

  function giveBack(job: Job, reserved: IntendedStart): void {
    reserver.release([reserved.reservation]);
    if (reserved.task.state === 'reserved') advanceTask(job, reserved.task, 'RESERVATION_ENDED');
    onNotIntended(job, reserved.task);
  }

  async function intend(job: Job, reserved: IntendedStart): Promise<IntendedStart | null> {
    const outcome = await partition.append(describeIntent(reserved));
    if (partition.isClosed()) return null;
    if (outcome.isOk()) {
      onIntended(reserved.task);
      return reserved;
    }
    giveBack(job, reserved);
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

  async function settle(intended: IntendedStart, result: StartResult | undefined): Promise<void> {
    const { task, attempt } = intended;
    // The end may have been recorded before the answer to the start arrived.
    if (task.attempt !== attempt || task.state !== 'intended') return;
    if (result?.outcome === 'started') onRunning(task);
    else if (result?.outcome === 'refused') await recordNotStarted(toAttempt(task));
    else onDoubt(task);
  }

  function isWithoutEffect(error: PeerError): boolean {
    if (error.kind === 'refused') return error.failure.run === 'not-run';
    return error.kind === 'not-sent';
  }

  async function settleAll(
    intended: readonly IntendedStart[],
    outcome: Result<readonly StartResult[], PeerError>,
  ): Promise<void> {
    if (outcome.isErr()) {
      if (isWithoutEffect(outcome.error)) await abandon(intended);
      else intended.forEach(({ task }) => onDoubt(task));
      return;
    }
    const results = new Map(outcome.value.map((result) => [executionKey(result), result]));
    await Promise.all(
      intended.map((one) =>
        settle(one, results.get(executionKey({ taskId: one.task.taskId, attempt: one.attempt }))),
      ),
    );
  }

  /** Undoes intents whose starts were certainly not sent. */
  async function abandon(intended: readonly IntendedStart[]): Promise<void> {
    reserver.release(intended.map(({ reservation }) => reservation));
    await Promise.all(intended.map(({ task }) => recordNotStarted(toAttempt(task))));
  }

  async function send(
    job: Job,
    workerPartition: number,
    intended: readonly IntendedStart[],
  ): Promise<void> {
    if (!maySend(context) || isTerminating(job)) {
      await abandon(intended);
      return;
    }
    const starts = intended.map((one) => createStart(job, one));
    const params = { workerPartition, starts };
    const outcome = await callPartition(
      workerPartition,
      'worker.start',
      params,
      START_DEADLINE_MILLISECONDS,
    );
    if (!partition.isClosed()) await settleAll(intended, outcome);
  }

  function groupByPartition(
    intended: readonly IntendedStart[],
  ): ReadonlyMap<number, IntendedStart[]> {
    const groups = new Map<number, IntendedStart[]>();
    intended.forEach((one) => {
      const group = groups.get(one.reservation.workerPartition) ?? [];
      group.push(one);
      groups.set(one.reservation.workerPartition, group);
    });
    return groups;
  }

  /** A gang with late or missing intents is not started in part. */
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
    const taken = reservations.map((reservation) => takeReserved(job, reservation));
    reserver.release(reservations.filter((_, index) => taken[index] === null));
    const reserved = taken.filter((one) => one !== null);
    const settled = await Promise.all(reserved.map((one) => intend(job, one)));
    if (partition.isClosed()) return;
    const intended = settled.filter((one) => one !== null);
    if (isGangLate(job, intended.length === reservations.length, reservedAt)) {
      await abandon(intended);
      return;
    }
    await Promise.all(
      [...groupByPartition(intended)].map(([number, group]) => send(job, number, group)),
    );
  }

  return { start, recordNotStarted };
}
