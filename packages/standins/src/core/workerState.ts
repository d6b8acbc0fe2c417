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

/** Faults of the tasks of a worker; all may be changed while it runs. */
export interface WorkerTaskFaults {
  /** Tasks that start from now on fail at the end of their run time. */
  failsEveryTask: boolean;
  /** Time between a task's start and the first report of its usage, in milliseconds. */
  usageLagMilliseconds: number;
}

export interface WorkerStateOptions {
  readonly workerId: string;
  readonly capacity: Resources;
  readonly clock: Clock;
  readonly record: RunRecord;
  readonly faults: WorkerTaskFaults;
}

/** State of one incarnation of a worker: executes commands and runs tasks under their leases. */
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
  /** Suspends the execution of all tasks, as a paused VM does. Leases still expire. */
  pause(): void;
  /** Continues after a pause; tasks whose lease has expired end before the others continue. */
  resume(): void;
  /** Ends all tasks without reporting them as finished. */
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

/** Finished tasks that a worker keeps until they are acknowledged; beyond this the oldest are dropped. */
const FINISHED_TASK_LIMIT = 10_000;
/** Throttling multiplies the remaining run time of a task by this factor. */
const THROTTLE_FACTOR = 2;
/** Range of the random origin of each incarnation's clock, so that a time taken from another clock is detected. */
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
 * Creates the state of one incarnation of a worker. Capacity is not enforced, so that a daemon that overcommits the
 * worker shows in the record.
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

  /** Returns false if a command of a later epoch of the partition was admitted; otherwise records its epoch. */
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

  /** Ends an execution; the record dates its end `endedMillisecondsAgo` back. */
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
    if (finished.length > FINISHED_TASK_LIMIT) finished = finished.slice(-FINISHED_TASK_LIMIT);
  }

  /** Ends tasks whose lease has expired, dated to the expiry, even if the timer of this process fires late. */
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

  /** Deducts the time since the last start or resumption from the remaining run time. */
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

  /** Applies a command to those of its tasks that are running. */
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
