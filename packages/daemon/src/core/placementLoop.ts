/**
 * Turns the pending tasks of one job partition into executions, a bounded number per turn of the event loop.
 */
import type { CancelTimer } from '@chicorybend/common';
import type { Quarantine, TaskQueue } from '@chicorybend/decisions';

import type { Allotments } from '../types/allotment.js';
import type { ConfigurationView } from '../types/configurationView.js';
import type { TaskEndedRecord } from '../types/journalRecord.js';
import { createTurnQueue } from '../utils/turnQueue.js';

import { createFaultHandler } from '../utils/faults.js';
import { createAllotmentCharges } from './allotmentCharges.js';
import { maySend } from './jobPartitionContext.js';
import type { JobPartitionContext } from './jobPartitionContext.js';
import type { JobPartitionListener } from './jobPartition.js';
import { advanceTask, findTask, isExecuting } from './jobState.js';
import type { Job, Task } from './jobState.js';
import { createPlacementAdmission } from './placementAdmission.js';
import type { Placement } from './placementAdmission.js';
import { createTeamShares } from './teamShares.js';
import { reclaimTermsOf } from './queuePolicy.js';
import { createReclaimRequests } from './reclaimRequests.js';
import { createReservationClient } from './reservationClient.js';
import { createCapacityHolds } from './capacityHolds.js';
import { createCapacityShortages } from './capacityShortages.js';
import { createServiceRacks } from './serviceRacks.js';
import { createTaskLookups } from './taskLookups.js';
import { mustStopRunningTasks } from './taskRules.js';
import { createTaskPlacer } from './taskPlacer.js';
import { createTaskStarter } from './taskStarter.js';
import { createTaskStops } from './taskStops.js';
import { createTaskBacklog } from './taskBacklog.js';
import { createWorkerEpochWatch } from './workerEpochWatch.js';
import { createTargetPartitions } from './targetPartitions.js';

const WORK_PER_TURN = 128;
const MAXIMUM_IN_FLIGHT = 1_024;
/** Work that was put back falls due between turns. */
const TURN_INTERVAL_MILLISECONDS = 25;
/** Tasks handled together in one piece of a wave. */
const TASKS_PER_PIECE = 100;
const PIECES_PER_TURN = 500;

/** What the loop needs. */
export interface PlacementLoopOptions {
  readonly context: JobPartitionContext;
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

/**
 * Creates the placement of one job partition.
 *
 * @param options partition and dependencies
 * @returns the loop, not started
 */
export function createPlacementLoop(options: PlacementLoopOptions): PlacementLoop {
  const { context, queue, quarantine, allotments, configuration } = options;
  const { partition, clock, random, counters, log, vmDirectory } = context;
  const { state } = partition;
  const charges = createAllotmentCharges(allotments, partition.lease.partition);
  /** Placement that each task is part of. */
  const inHand = new Map<string, Placement>();
  const racks = createServiceRacks(vmDirectory);
  const wave = createTurnQueue(clock, PIECES_PER_TURN);
  const isInHand = (taskId: string) => inHand.has(taskId);
  const backlog = createTaskBacklog({
    partition,
    queue,
    configuration,
    clock,
    random,
    isBeingPlaced: isInHand,
  });
  const targets = createTargetPartitions(context);
  const reserver = createReservationClient(context, targets);
  const holds = createCapacityHolds(context, targets);
  const shortages = createCapacityShortages(clock, random);
  const shares = createTeamShares(context, configuration);
  const reclaims = createReclaimRequests({
    context,
    targets,
    capacityHolds: holds,
    teamShares: shares,
    configuration,
  });
  const describeTerms = (job: Job) => reclaimTermsOf(job, configuration);
  const admission = createPlacementAdmission({
    state,
    queue,
    backlog,
    charges,
    capacityShortages: shortages,
    capacityHolds: holds,
    clock,
  });
  const stops = createTaskStops(context);
  const lookups = createTaskLookups(context, {
    reclaimTermsOf: describeTerms,
    onRunning: confirmStarted,
    onNotStarted: (attempt) => starter.recordNotStarted(attempt),
  });
  const epochWatch = createWorkerEpochWatch(context, (task) => lookups.add(task));
  const starter = createTaskStarter({
    context,
    reservationClient: reserver,
    reclaimTermsOf: describeTerms,
    onRunning: confirmStarted,
    onOutcomeUnknown: (task) => lookups.add(task),
    onIntentDurable: (task) => epochWatch.add(task),
    onIntentDropped: () => {},
  });
  const placer = createTaskPlacer({
    context,
    configuration,
    reservationClient: reserver,
    starter,
    capacityHolds: holds,
    reclaimRequests: reclaims,
    capacityShortages: shortages,
    serviceRacks: racks,
  });
  let cancelTimer: CancelTimer | null = null;

  function schedule(delayMilliseconds: number): void {
    if (!partition.isClosed()) cancelTimer ??= clock.setTimer(runTurn, delayMilliseconds);
  }

  function confirmStarted(task: Task): void {
    const located = findTask(state, task.taskId);
    if (!located || task.state !== 'intended') {
      if (task.state === 'running' && located && mustStopRunningTasks(located.job)) stops.add(task);
      return;
    }
    advanceTask(located.job, task, 'STARTED');
    counters.increment('tasks.started');
    backlog.remove(task.taskId);
    backlog.removeGang(located.job);
    if (mustStopRunningTasks(located.job)) stops.add(task);
  }

  function runTurn(): void {
    cancelTimer = null;
    if (maySend(context)) {
      shares.updateQueue(queue);
      place(admission.take(inHand.size < MAXIMUM_IN_FLIGHT ? WORK_PER_TURN : 0));
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
      finish(placement, await placer.place(placement));
    }
  }

  function run(placements: readonly Placement[]): void {
    runInOrder(placements).catch(createFaultHandler(log, 'a placement failed'));
  }

  /** Tasks that were not started wait for another turn. */
  function finish(placement: Placement, retryAt?: number): void {
    if (partition.isClosed()) return;
    const { job, tasks } = placement;
    const own = tasks.filter(({ taskId }) => inHand.get(taskId) === placement);
    own.forEach(({ taskId }) => inHand.delete(taskId));
    own.forEach((task) => {
      if (isExecuting(task)) return;
      charges.release(job.team, task.taskId);
      racks.removeReplica(job, task);
    });
    requeue(job, own, 'room on a worker', retryAt);
  }

  function requeue(job: Job, tasks: readonly Task[], waitsFor: string, retryAt?: number): void {
    const pending = tasks.filter(({ state: taskState }) => taskState === 'pending');
    for (const task of pending) {
      if (backlog.isQueued(job.jobId)) break;
      if (!backlog.isQueued(task.taskId)) backlog.enqueue(job, task, waitsFor, retryAt);
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
      else backlog.remove(task.taskId);
    });
  }

  function stopJob(job: Job): void {
    holds.drop(job);
    backlog.removeGang(job);
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
      .appendUntilDurable({ type: 'job-held', jobId: job.jobId, held: true })
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
    racks.removeReplica(job, task);
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
    if (mustStopRunningTasks(job)) stopJob(job);
  }

  function resume(job: Job): void {
    if (job.endedAt !== null) return;
    job.tasks.filter(isExecuting).forEach((task) => {
      charges.adopt(job.team, task.taskId);
      if (job.request.kind === 'service') racks.adoptReplica(job, task);
      epochWatch.add(task);
      lookups.add(task);
      if (mustStopRunningTasks(job)) stops.add(task);
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
