/**
 * Turns the pending tasks of one job partition into executions, a bounded number per turn of the event loop.
 */
import type { CancelTimer, Resources } from '@chicorybend/common';
import type { Quarantine, QueuedWork, TaskQueue } from '@chicorybend/decisions';

import type { Allotments } from '../types/allotment.js';
import type { ConfigurationView } from '../types/configurationView.js';
import type { TaskEndedRecord } from '../types/journalRecord.js';
import type { Reservation } from '../types/peerMethods.js';
import { createTurnQueue } from '../utils/turnQueue.js';

import { createFaultHandler } from '../utils/faults.js';
import { createAllotmentCharges } from './allotmentCharges.js';
import { maySend } from './jobContext.js';
import type { JobContext } from './jobContext.js';
import type { JobPartitionListener } from './jobPartition.js';
import { advanceTask, findTask, isExecuting } from './jobState.js';
import type { Job, Task } from './jobState.js';
import { createReserver } from './reserver.js';
import type { ReservationWish } from './reserver.js';
import { createServiceRacks } from './serviceRacks.js';
import { createTaskLookups } from './taskLookups.js';
import { isEnding, mustStop } from './taskRules.js';
import { createTaskStarter } from './taskStarter.js';
import { createTaskStops } from './taskStops.js';
import { createWorkBacklog } from './workBacklog.js';
import { createWorkerEpochWatch } from './workerEpochWatch.js';

const WORK_PER_TURN = 128;
const MAXIMUM_IN_FLIGHT = 1_024;
/** Work that was put back falls due between turns. */
const TURN_INTERVAL_MILLISECONDS = 25;
const SHARES_INTERVAL_MILLISECONDS = 500;
const LIMIT_RETRY_MILLISECONDS = 250;
const NO_ROOM_MILLISECONDS = 100;
/** Tasks handled together in one piece of a wave. */
const TASKS_PER_PIECE = 100;
const PIECES_PER_TURN = 500;
/** A small cell may have no worker left on which the job has not failed. */
const TRIES_WITH_AVOIDED_WORKERS = 5;

/** What the loop needs. */
export interface PlacementLoopOptions {
  readonly context: JobContext;
  readonly queue: TaskQueue;
  readonly quarantine: Quarantine;
  readonly allotments: Allotments;
  readonly configuration: ConfigurationView;
}

/** Placement of the tasks of one job partition. */
export interface PlacementLoop extends JobPartitionListener {
  /** Takes up the replayed jobs. */
  start(): void;
  explainWait(taskId: string): string | undefined;
  close(): void;
}

/** Tasks of one job that are placed together. */
interface Placement {
  readonly job: Job;
  readonly tasks: readonly Task[];
  readonly tries: number;
}

/**
 * Creates the placement of one job partition.
 *
 * @param options partition and dependencies
 * @returns the loop, not started
 */
export function createPlacementLoop(options: PlacementLoopOptions): PlacementLoop {
  const { context, queue, quarantine, allotments, configuration } = options;
  const { partition, clock, random, counters, log, loadBoard, vmDirectory } = context;
  const { state } = partition;
  const charges = createAllotmentCharges(allotments, partition.lease.partition);
  /** Placement that each task is part of. */
  const inHand = new Map<string, Placement>();
  const racks = createServiceRacks(vmDirectory);
  const blockedUntil = new Map<string, number>();
  const shapesWithoutRoom = new Map<string, number>();
  const wave = createTurnQueue(clock, PIECES_PER_TURN);
  const isInHand = (taskId: string) => inHand.has(taskId);
  const backlog = createWorkBacklog({ partition, queue, configuration, clock, random, isInHand });
  const reserver = createReserver(context);
  const stops = createTaskStops(context);
  const lookups = createTaskLookups(context, {
    onRunning: confirmStarted,
    onNotStarted: (attempt) => starter.recordNotStarted(attempt),
  });
  const epochWatch = createWorkerEpochWatch(context, (task) => lookups.add(task));
  const starter = createTaskStarter({
    context,
    reserver,
    onRunning: confirmStarted,
    onDoubt: (task) => lookups.add(task),
    onIntended: (task) => epochWatch.add(task),
    onNotIntended: () => {},
  });
  let cancelTimer: CancelTimer | null = null;
  let sharesSetAt = Number.NEGATIVE_INFINITY;

  function schedule(delayMilliseconds: number): void {
    if (!partition.isClosed()) cancelTimer ??= clock.setTimer(runTurn, delayMilliseconds);
  }

  function confirmStarted(task: Task): void {
    const located = findTask(state, task.taskId);
    if (!located || task.state !== 'intended') {
      if (task.state === 'running' && located && mustStop(located.job)) stops.add(task);
      return;
    }
    advanceTask(located.job, task, 'STARTED');
    counters.increment('tasks.started');
    backlog.forget(task.taskId);
    backlog.forgetGang(located.job);
    if (mustStop(located.job)) stops.add(task);
  }

  function shapeOf({ request }: Job): string {
    const { processors, memoryBytes, accelerators } = request.resources;
    return `${processors}/${memoryBytes}/${accelerators}`;
  }

  /** Spares the owners of workers the same question for each of many equal tasks. */
  function noteNoRoom({ job }: Placement): void {
    if (job.request.kind === 'gang' || job.failedWorkers.length > 0) return;
    const until = clock.monotonicMilliseconds() + NO_ROOM_MILLISECONDS * (0.5 + random());
    shapesWithoutRoom.set(shapeOf(job), until);
  }

  function capacityOfCell(): Resources {
    const total = { processors: 0, memoryBytes: 0, accelerators: 0 };
    vmDirectory.workers().forEach(({ capacity }) => {
      total.processors += capacity?.processors ?? 0;
      total.memoryBytes += capacity?.memoryBytes ?? 0;
      total.accelerators += capacity?.accelerators ?? 0;
    });
    return total;
  }

  function usageOfCell(): Readonly<Record<string, Resources>> {
    const total: Record<string, { processors: number; memoryBytes: number; accelerators: number }> =
      {};
    loadBoard.loads().forEach(({ usedByTeam }) => {
      Object.entries(usedByTeam ?? {}).forEach(([team, used]) => {
        const sum = total[team] ?? { processors: 0, memoryBytes: 0, accelerators: 0 };
        sum.processors += used.processors;
        sum.memoryBytes += used.memoryBytes;
        sum.accelerators += used.accelerators;
        total[team] = sum;
      });
    });
    return total;
  }

  function setShares(now: number): void {
    if (now - sharesSetAt < SHARES_INTERVAL_MILLISECONDS) return;
    sharesSetAt = now;
    shapesWithoutRoom.clear();
    const teams = Object.entries(configuration.current()?.teams ?? {});
    queue.setShares(Object.fromEntries(teams.map(([team, { share }]) => [team, share])));
    queue.setCapacity(capacityOfCell());
    queue.setUsage(usageOfCell());
  }

  function tasksOf(work: QueuedWork): Placement | null {
    const job = state.jobs.get(work.jobId);
    if (!job || job.isHeld || isEnding(job)) return null;
    const single = findTask(state, work.workId)?.task;
    const tasks = work.workId === work.jobId ? job.tasks : [single];
    const pending = tasks.filter((task) => task?.state === 'pending') as Task[];
    const tries = backlog.triesOf(work.workId);
    return pending.length === work.tasks ? { job, tasks: pending, tries } : null;
  }

  function admit(work: QueuedWork, now: number): Placement | null {
    const placement = tasksOf(work);
    if (!placement) return null;
    const { job, tasks } = placement;
    const noRoomUntil = shapesWithoutRoom.get(shapeOf(job)) ?? 0;
    if (now < noRoomUntil) {
      backlog.putBack(work, noRoomUntil, 'room on a worker');
      return null;
    }
    const charged = charges.charge(
      job.team,
      tasks.map(({ taskId }) => taskId),
    );
    if (charged.isOk()) {
      queue.recordStart(work);
      return placement;
    }
    const delay = charged.error.retryAfterMilliseconds ?? LIMIT_RETRY_MILLISECONDS;
    blockedUntil.set(job.team, now + delay);
    backlog.putBack(work, now + delay, `the upper limit of team ${job.team}`);
    return null;
  }

  /** Independent tasks of one job ask for room together. */
  function merge(placements: readonly Placement[]): readonly Placement[] {
    const merged = new Map<Job, Placement>();
    const apart: Placement[] = [];
    placements.forEach((placement) => {
      const { job } = placement;
      const known = merged.get(job);
      if (job.request.kind !== 'batch') apart.push(placement);
      else if (!known) merged.set(job, placement);
      else {
        const tries = Math.max(known.tries, placement.tries);
        merged.set(job, { job, tasks: [...known.tasks, ...placement.tasks], tries });
      }
    });
    return [...merged.values(), ...apart];
  }

  function takeWork(now: number): readonly Placement[] {
    const taken: Placement[] = [];
    for (let count = 0; count < WORK_PER_TURN && inHand.size < MAXIMUM_IN_FLIGHT; count += 1) {
      const work = backlog.take((team) => now >= (blockedUntil.get(team) ?? 0));
      if (!work) break;
      const placement = admit(work, now);
      if (placement) taken.push(placement);
    }
    return merge(taken);
  }

  function runTurn(): void {
    cancelTimer = null;
    if (maySend(context)) {
      const now = clock.monotonicMilliseconds();
      setShares(now);
      place(takeWork(now));
    }
    if (backlog.size() > 0) schedule(TURN_INTERVAL_MILLISECONDS);
  }

  function place(placements: readonly Placement[]): void {
    const ofServices = new Map<Job, Placement[]>();
    placements.forEach((placement) => {
      placement.tasks.forEach(({ taskId }) => inHand.set(taskId, placement));
      if (placement.job.request.kind !== 'service') run([placement]);
      else {
        const own = ofServices.get(placement.job) ?? [];
        own.push(placement);
        ofServices.set(placement.job, own);
      }
    });
    ofServices.forEach((own) => run(own));
  }

  /** Replicas of a service are placed one after the other, so that each sees the racks of those before. */
  async function runInOrder(placements: readonly Placement[]): Promise<void> {
    for (const placement of placements) {
      await placeTasks(placement);
      finish(placement);
    }
  }

  function run(placements: readonly Placement[]): void {
    runInOrder(placements).catch(createFaultHandler(log, 'a placement failed'));
  }

  function describeWish({ job, tasks, tries }: Placement): ReservationWish {
    return {
      job,
      taskIds: tasks.map(({ taskId }) => taskId),
      avoidRacks: job.request.kind === 'service' ? racks.crowded(job) : [],
      avoidWorkers: tries < TRIES_WITH_AVOIDED_WORKERS ? job.failedWorkers : [],
    };
  }

  function reserve(placement: Placement): Promise<readonly Reservation[]> {
    const wish = describeWish(placement);
    return placement.job.request.kind === 'gang'
      ? reserver.reserveAll(wish)
      : reserver.reserveSome(wish);
  }

  function noteRacks({ job }: Placement, reservations: readonly Reservation[]): void {
    reservations.forEach(({ taskId, rack }) => {
      const task = findTask(state, taskId)?.task;
      if (task) racks.set(job, task, rack);
    });
  }

  async function placeTasks(placement: Placement): Promise<void> {
    const reservedAt = clock.monotonicMilliseconds();
    const reservations = await reserve(placement);
    if (partition.isClosed()) return;
    if (reservations.length === 0) {
      noteNoRoom(placement);
      return;
    }
    if (placement.job.request.kind === 'service') noteRacks(placement, reservations);
    await starter.start(placement.job, reservations, reservedAt);
  }

  /** Tasks that were not started wait for another turn. */
  function finish(placement: Placement): void {
    if (partition.isClosed()) return;
    const { job, tasks } = placement;
    const own = tasks.filter(({ taskId }) => inHand.get(taskId) === placement);
    own.forEach(({ taskId }) => inHand.delete(taskId));
    own.forEach((task) => {
      if (isExecuting(task)) return;
      charges.release(job.team, task.taskId);
      racks.clear(job, task);
    });
    requeue(job, own, 'room on a worker');
  }

  function requeue(job: Job, tasks: readonly Task[], waitsFor: string): void {
    const pending = tasks.filter(({ state: taskState }) => taskState === 'pending');
    for (const task of pending) {
      if (backlog.isQueued(job.jobId)) break;
      if (!backlog.isQueued(task.taskId)) backlog.enqueue(job, task, waitsFor);
    }
    if (pending.length > 0) schedule(TURN_INTERVAL_MILLISECONDS);
  }

  function inPieces(job: Job, handle: (tasks: readonly Task[]) => void): void {
    for (let from = 0; from < job.tasks.length; from += TASKS_PER_PIECE) {
      wave.push(() => {
        if (!partition.isClosed()) handle(job.tasks.slice(from, from + TASKS_PER_PIECE));
      });
    }
  }

  function jobAccepted(job: Job): void {
    const isSmall = job.request.kind === 'gang' || job.tasks.length <= TASKS_PER_PIECE;
    if (isSmall) requeue(job, job.tasks, 'room on a worker');
    else inPieces(job, (tasks) => requeue(job, tasks, 'room on a worker'));
    schedule(0);
  }

  function dropOrStop(tasks: readonly Task[]): void {
    tasks.forEach((task) => {
      if (isExecuting(task)) stops.add(task);
      else backlog.forget(task.taskId);
    });
  }

  function stopJob(job: Job): void {
    backlog.forgetGang(job);
    inPieces(job, (tasks) => dropOrStop(tasks));
  }

  function jobReleased(job: Job): void {
    quarantine.release(job.jobId);
    inPieces(job, (tasks) => {
      const idle = tasks.filter(({ taskId }) => !isInHand(taskId));
      requeue(job, idle, 'room on a worker');
    });
  }

  function holdJob(job: Job): void {
    if (job.isHeld || job.endedAt !== null) return;
    log.info('job held after failures on distinct workers', { jobId: job.jobId });
    partition
      .appendSurely({ type: 'job-held', jobId: job.jobId, held: true })
      .catch(createFaultHandler(log, 'the hold of a job failed'));
  }

  function learn(job: Job, record: TaskEndedRecord): void {
    if (record.end !== 'succeeded' && record.end !== 'failed') return;
    const now = clock.monotonicMilliseconds();
    const hasSucceeded = record.end === 'succeeded';
    const verdict = quarantine.recordEnd(record.workerId, job.jobId, hasSucceeded, now);
    if (verdict === 'hold-job') holdJob(job);
  }

  function executionEnded(job: Job, task: Task, record: TaskEndedRecord | null): void {
    inHand.delete(task.taskId);
    racks.clear(job, task);
    epochWatch.remove(task);
    charges.release(job.team, task.taskId);
    if (record) {
      counters.increment('tasks.ended', 1, { end: record.end });
      learn(job, record);
    }
    if (job.counts.failed > 0 && job.endedAt === null) stopFailed(job);
    requeue(job, [task], record ? 'another execution' : 'room on a worker');
  }

  function stopFailed(job: Job): void {
    if (mustStop(job)) stopJob(job);
  }

  function resume(job: Job): void {
    if (job.endedAt !== null) return;
    job.tasks.filter(isExecuting).forEach((task) => {
      charges.adopt(job.team, task.taskId);
      if (job.request.kind === 'service') racks.adopt(job, task);
      epochWatch.add(task);
      lookups.add(task);
      if (mustStop(job)) stops.add(task);
    });
    if (job.counts.pending > 0) jobAccepted(job);
  }

  return {
    start: () => state.jobs.forEach(resume),
    explainWait: (taskId) => backlog.explainWait(taskId),
    jobAccepted,
    executionEnded,
    jobCancelled: stopJob,
    jobReleased,
    close() {
      cancelTimer?.();
      wave.clear();
      stops.close();
      lookups.close();
      epochWatch.close();
    },
  };
}
