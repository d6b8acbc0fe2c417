import { randomUUID } from 'node:crypto';

import { Err, Ok } from '@chicorybend/common';
import type {
  CancelTimer,
  Clock,
  FinishedTask,
  RenewRequest,
  Resources,
  Result,
  RunningTask,
  SealRequest,
  SealResponse,
  StartRequest,
  StartResponse,
  StartResult,
  TaskAttempt,
  TaskCommand,
  TaskCommandResponse,
  TaskEnd,
  TaskStart,
  WorkerCommand,
  WorkerRefusal,
} from '@chicorybend/common';

import type { TaskPayload } from '../types/payload.js';
import type { RunRecord } from './runRecord.js';

/** Faults that concern the tasks of a worker; all may be changed while it runs. */
export interface WorkerTaskFaults {
  /** Every task that is started from now on fails at its end. */
  failsEveryTask: boolean;
  /** Time between a task's start and the first report of its usage, in milliseconds. */
  usageLagMilliseconds: number;
}

/** What the state of a worker needs. */
export interface WorkerStateOptions {
  readonly workerId: string;
  readonly capacity: Resources;
  readonly clock: Clock;
  readonly record: RunRecord;
  readonly faults: WorkerTaskFaults;
}

/** Tasks and commands of one incarnation of a worker. */
export interface WorkerState {
  readonly incarnation: string;
  seal(command: SealRequest): Result<SealResponse, WorkerRefusal>;
  start(command: StartRequest): Result<StartResponse, WorkerRefusal>;
  renew(command: RenewRequest): Result<SealResponse, WorkerRefusal>;
  stop(command: TaskCommand): Result<TaskCommandResponse, WorkerRefusal>;
  checkpoint(command: TaskCommand): Result<TaskCommandResponse, WorkerRefusal>;
  throttle(command: TaskCommand): Result<TaskCommandResponse, WorkerRefusal>;
  running(): readonly RunningTask[];
  finished(): readonly FinishedTask[];
  /** Stops the execution of everything, as a paused VM does. Leases go on lapsing. */
  pause(): void;
  /** Goes on after a pause; tasks whose lease has lapsed end first. */
  resume(): void;
  /** Ends all tasks without a report. */
  crash(): void;
}

interface Execution {
  readonly task: TaskStart;
  readonly payload: TaskPayload;
  readonly fails: boolean;
  readonly startedAt: number;
  readonly startedAtMonotonic: number;
  leaseEndsAt: number;
  remainingMilliseconds: number | null;
  resumedAt: number;
  isThrottled: boolean;
  cancelCompletion: CancelTimer;
  cancelLeaseExpiry: CancelTimer;
}

/** Results that a worker keeps; the oldest is dropped beyond this. */
const MAXIMUM_FINISHED_TASKS = 10_000;
/** A throttled task needs this many times its remaining run time. */
const THROTTLE_FACTOR = 2;
/** Each incarnation's clock starts elsewhere, so that a time of another clock is noticed. */
const CLOCK_ORIGIN_SPREAD_MILLISECONDS = 1_000_000;
const NO_RESOURCES: Resources = { processors: 0, memoryBytes: 0, accelerators: 0 };

function noOperation(): void {}

function attemptKey(attempt: TaskAttempt): string {
  return `${attempt.taskId}#${attempt.attempt}`;
}

function readPayload(payload: unknown): TaskPayload {
  const fields = (payload ?? {}) as Partial<TaskPayload>;
  return { ...fields, runMilliseconds: fields.runMilliseconds ?? null };
}

/**
 * Creates the state of one incarnation of a worker. Capacity is not enforced, so that an overcommitment shows
 * in the record.
 *
 * @param options identity, capacity, clock, record and faults
 * @returns the state
 */
export function createWorkerState(options: WorkerStateOptions): WorkerState {
  const { workerId, capacity, clock, record, faults } = options;
  const incarnation = randomUUID();
  const clockOrigin =
    clock.monotonicMilliseconds() - Math.random() * CLOCK_ORIGIN_SPREAD_MILLISECONDS;
  const highestEpochs = new Map<number, number>();
  const executions = new Map<string, Execution>();
  const startedAttempts = new Set<string>();
  let finished: FinishedTask[] = [];
  let isPaused = false;

  record.append({ type: 'worker-up', at: record.now(), workerId, incarnation, capacity });

  function workerMilliseconds(): number {
    return clock.monotonicMilliseconds() - clockOrigin;
  }

  function refuse(
    command: WorkerCommand,
    refused: WorkerRefusal['refused'],
  ): Result<never, WorkerRefusal> {
    return Err({ refused, highestEpoch: highestEpochs.get(command.partition) ?? command.epoch });
  }

  /** Lets a command pass unless a later epoch of its partition has been seen. */
  function admit(command: WorkerCommand): boolean {
    expireLeases();
    const highest = highestEpochs.get(command.partition) ?? 0;
    if (command.epoch < highest) return false;
    highestEpochs.set(command.partition, command.epoch);
    return true;
  }

  function cancelTimers(execution: Execution): void {
    execution.cancelCompletion();
    execution.cancelLeaseExpiry();
  }

  /** Ends an execution; `lateBy` is how long ago it really ended, in milliseconds. */
  function endExecution(execution: Execution, end: TaskEnd, endedMillisecondsAgo = 0): void {
    const { task, payload } = execution;
    const identity = { taskId: task.taskId, attempt: task.attempt };
    cancelTimers(execution);
    executions.delete(attemptKey(task));
    record.append({
      type: 'task-ended',
      at: record.now() - endedMillisecondsAgo,
      workerId,
      incarnation,
      ...identity,
      end,
    });
    finished.push({
      ...identity,
      team: task.team,
      jobPartition: task.jobPartition,
      end,
      resources: task.resources,
      peak: payload.uses ?? task.resources,
      result: end === 'succeeded' || end === 'failed' ? (payload.result ?? null) : null,
      startedAt: execution.startedAt,
      endedAt: clock.wallMilliseconds(),
    });
    if (finished.length > MAXIMUM_FINISHED_TASKS)
      finished = finished.slice(-MAXIMUM_FINISHED_TASKS);
  }

  /** A task stops itself at the end of its lease, even if the timer of this process fires late. */
  function expireLeases(): void {
    const now = clock.monotonicMilliseconds();
    [...executions.values()]
      .filter((execution) => execution.leaseEndsAt <= now)
      .forEach((execution) => endExecution(execution, 'lease-lapsed', now - execution.leaseEndsAt));
  }

  function completeExecution(execution: Execution): void {
    expireLeases();
    if (!executions.has(attemptKey(execution.task))) return;
    endExecution(execution, execution.fails ? 'failed' : 'succeeded');
  }

  function scheduleCompletion(execution: Execution): void {
    if (execution.remainingMilliseconds === null) return;
    Object.assign(execution, {
      resumedAt: clock.monotonicMilliseconds(),
      cancelCompletion: clock.setTimer(
        () => completeExecution(execution),
        execution.remainingMilliseconds,
      ),
    });
  }

  function scheduleLeaseExpiry(execution: Execution, leaseMilliseconds: number): void {
    execution.cancelLeaseExpiry();
    Object.assign(execution, {
      leaseEndsAt: clock.monotonicMilliseconds() + leaseMilliseconds,
      cancelLeaseExpiry: clock.setTimer(expireLeasesUnlessPaused, leaseMilliseconds),
    });
  }

  function expireLeasesUnlessPaused(): void {
    if (!isPaused) expireLeases();
  }

  /** Takes the time that has passed off the remaining run time. */
  function deductElapsedTime(execution: Execution): void {
    if (execution.remainingMilliseconds === null) return;
    const now = clock.monotonicMilliseconds();
    const elapsed = now - execution.resumedAt;
    Object.assign(execution, {
      resumedAt: now,
      remainingMilliseconds: Math.max(0, execution.remainingMilliseconds - elapsed),
    });
  }

  function beginExecution(command: StartRequest, task: TaskStart): void {
    const payload = readPayload(task.payload);
    const now = clock.monotonicMilliseconds();
    const execution: Execution = {
      task,
      payload,
      fails: faults.failsEveryTask || payload.fails === true,
      startedAt: clock.wallMilliseconds(),
      startedAtMonotonic: now,
      leaseEndsAt: now,
      remainingMilliseconds: payload.runMilliseconds,
      resumedAt: now,
      isThrottled: false,
      cancelCompletion: noOperation,
      cancelLeaseExpiry: noOperation,
    };
    executions.set(attemptKey(task), execution);
    record.append({
      type: 'task-started',
      at: record.now(),
      workerId,
      incarnation,
      taskId: task.taskId,
      attempt: task.attempt,
      team: task.team,
      resources: task.resources,
      jobPartition: task.jobPartition,
      jobEpoch: task.jobEpoch,
      workerPartition: command.partition,
      workerEpoch: command.epoch,
      marker: payload.marker ?? null,
    });
    scheduleLeaseExpiry(execution, command.leaseMilliseconds);
    scheduleCompletion(execution);
  }

  function startTask(command: StartRequest, task: TaskStart): StartResult {
    const identity = { taskId: task.taskId, attempt: task.attempt };
    if (startedAttempts.has(attemptKey(task))) return { ...identity, outcome: 'duplicate' };
    startedAttempts.add(attemptKey(task));
    beginExecution(command, task);
    return { ...identity, outcome: 'started' };
  }

  function toRunningTask(execution: Execution): RunningTask {
    const { task, payload } = execution;
    const now = clock.monotonicMilliseconds();
    const isReported = now - execution.startedAtMonotonic >= faults.usageLagMilliseconds;
    return {
      taskId: task.taskId,
      attempt: task.attempt,
      team: task.team,
      jobPartition: task.jobPartition,
      resources: task.resources,
      used: isReported ? (payload.uses ?? task.resources) : NO_RESOURCES,
      leaseRemainingMilliseconds: Math.max(0, execution.leaseEndsAt - now),
      startedAt: execution.startedAt,
      throttled: execution.isThrottled,
    };
  }

  function describeWorker(): SealResponse {
    return {
      workerId,
      incarnation,
      workerMilliseconds: workerMilliseconds(),
      capacity,
      running: [...executions.values()].map(toRunningTask),
      finished: [...finished],
    };
  }

  /** Applies a command to those of its tasks that run. */
  function applyToRunning(
    request: TaskCommand,
    apply: (execution: Execution) => void,
  ): Result<TaskCommandResponse, WorkerRefusal> {
    if (!admit(request)) return refuse(request, 'stale-epoch');
    const affected = request.tasks.flatMap((attempt) => executions.get(attemptKey(attempt)) ?? []);
    affected.forEach(apply);
    return Ok({
      affected: affected.map(({ task }) => ({ taskId: task.taskId, attempt: task.attempt })),
    });
  }

  function throttleExecution(execution: Execution): void {
    if (execution.isThrottled) return;
    Object.assign(execution, { isThrottled: true });
    if (execution.remainingMilliseconds === null) return;
    execution.cancelCompletion();
    deductElapsedTime(execution);
    Object.assign(execution, {
      remainingMilliseconds: execution.remainingMilliseconds * THROTTLE_FACTOR,
    });
    scheduleCompletion(execution);
  }

  return {
    incarnation,
    seal(request) {
      return admit(request) ? Ok(describeWorker()) : refuse(request, 'stale-epoch');
    },
    start(request) {
      if (!admit(request)) return refuse(request, 'stale-epoch');
      if (request.incarnation !== incarnation) return refuse(request, 'other-incarnation');
      if (workerMilliseconds() > request.notAfterWorkerMilliseconds) {
        return refuse(request, 'past-not-after');
      }
      const results = request.tasks.map((task) => startTask(request, task));
      return Ok({ workerMilliseconds: workerMilliseconds(), results });
    },
    renew(request) {
      if (!admit(request)) return refuse(request, 'stale-epoch');
      const acknowledged = new Set(request.acknowledged.map(attemptKey));
      finished = finished.filter((task) => !acknowledged.has(attemptKey(task)));
      executions.forEach((execution) => scheduleLeaseExpiry(execution, request.leaseMilliseconds));
      return Ok(describeWorker());
    },
    stop: (request) => applyToRunning(request, (execution) => endExecution(execution, 'stopped')),
    checkpoint: (request) =>
      applyToRunning(request, (execution) => endExecution(execution, 'checkpointed')),
    throttle: (request) => applyToRunning(request, throttleExecution),
    running: () => [...executions.values()].map(toRunningTask),
    finished: () => finished,
    pause() {
      if (isPaused) return;
      isPaused = true;
      executions.forEach((execution) => {
        execution.cancelCompletion();
        deductElapsedTime(execution);
      });
    },
    resume() {
      if (!isPaused) return;
      isPaused = false;
      expireLeases();
      executions.forEach(scheduleCompletion);
    },
    crash() {
      const at = record.now();
      executions.forEach((execution) => {
        const { taskId, attempt } = execution.task;
        cancelTimers(execution);
        record.append({
          type: 'task-ended',
          at,
          workerId,
          incarnation,
          taskId,
          attempt,
          end: 'crashed',
        });
      });
      executions.clear();
      record.append({ type: 'worker-down', at, workerId, incarnation });
    },
  };
}
