/**
 * Places and starts the pending tasks of one job partition, a bounded number per turn of the event loop.
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

const MAXIMUM_ENTRIES_PER_TURN = 128;
const MAXIMUM_TASKS_BEING_PLACED = 1_024;
/** Queue entries that wait for their next try become due between turns, so that the queue is polled. */
const TURN_INTERVAL_MILLISECONDS = 25;
/** Tasks that are handled in one step when a whole job is enqueued, stopped or released. */
const TASKS_PER_CHUNK = 100;
const CHUNKS_PER_TURN = 500;

export interface PlacementLoopOptions {
  readonly context: JobPartitionContext;
  readonly queue: TaskQueue;
  readonly quarantine: Quarantine;
  readonly allotments: Allotments;
  readonly configuration: ConfigurationView;
}

/** Places the tasks of one job partition and stops those of cancelled jobs and failed gangs. */
export interface PlacementLoop extends JobPartitionListener {
  /** Resumes the replayed jobs after the partition was opened. */
  start(): void;
  /** @returns what a pending task waits for, in words for its caller */
  explainWait(taskId: string): string | undefined;
  close(): void;
}

/**
 * Creates the loop; it places nothing before `start`.
 */
export function createPlacementLoop(options: PlacementLoopOptions): PlacementLoop {
  const { context, queue, quarantine, allotments, configuration } = options;
  const { partition, clock, random, counters, log, vmDirectory } = context;
  const { state } = partition;
  const charges = createAllotmentCharges(allotments, partition.lease.partition);
  /** Placements in progress, by task id. */
  const placementsByTask = new Map<string, Placement>();
  const serviceRacks = createServiceRacks(vmDirectory);
  const chunkQueue = createTurnQueue(clock, CHUNKS_PER_TURN);
  const isBeingPlaced = (taskId: string) => placementsByTask.has(taskId);
  const backlog = createTaskBacklog({
    partition,
    queue,
    configuration,
    clock,
    random,
    isBeingPlaced,
  });
  const targets = createTargetPartitions(context);
  const reservationClient = createReservationClient(context, targets);
  const capacityHolds = createCapacityHolds(context, targets);
  const capacityShortages = createCapacityShortages(clock, random);
  const teamShares = createTeamShares(context, configuration);
  const reclaimRequests = createReclaimRequests({
    context,
    targets,
    capacityHolds,
    teamShares,
    configuration,
  });
  const termsOfJob = (job: Job) => reclaimTermsOf(job, configuration);
  const admission = createPlacementAdmission({
    state,
    queue,
    backlog,
    charges,
    capacityShortages,
    capacityHolds,
    clock,
  });
  const stops = createTaskStops(context);
  const lookups = createTaskLookups(context, {
    reclaimTermsOf: termsOfJob,
    onRunning: confirmStarted,
    onNotStarted: (attempt) => starter.recordNotStarted(attempt),
  });
  const epochWatch = createWorkerEpochWatch(context, (task) => lookups.add(task));
  const starter = createTaskStarter({
    context,
    reservationClient,
    reclaimTermsOf: termsOfJob,
    onRunning: confirmStarted,
    onOutcomeUnknown: (task) => lookups.add(task),
    onIntentDurable: (task) => epochWatch.add(task),
    onIntentDropped: () => {},
  });
  const placer = createTaskPlacer({
    context,
    configuration,
    reservationClient,
    starter,
    capacityHolds,
    reclaimRequests,
    capacityShortages,
    serviceRacks,
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
      teamShares.updateQueue(queue);
      placeAll(
        admission.take(
          placementsByTask.size < MAXIMUM_TASKS_BEING_PLACED ? MAXIMUM_ENTRIES_PER_TURN : 0,
        ),
      );
    }
    if (backlog.size() > 0) schedule(TURN_INTERVAL_MILLISECONDS);
  }

  function placeAll(placements: readonly Placement[]): void {
    const placementsByService = new Map<Job, Placement[]>();
    placements.forEach((placement) => {
      placement.tasks.forEach(({ taskId }) => placementsByTask.set(taskId, placement));
      if (placement.job.request.kind !== 'service') placeInBackground([placement]);
      else {
        const replicas = placementsByService.get(placement.job) ?? [];
        replicas.push(placement);
        placementsByService.set(placement.job, replicas);
      }
    });
    placementsByService.forEach((replicas) => placeInBackground(replicas));
  }

  /** Replicas of a service are placed one after the other, because each avoids the racks of the ones before it. */
  async function placeInOrder(placements: readonly Placement[]): Promise<void> {
    for (const placement of placements) {
      finishPlacement(placement, await placer.place(placement));
    }
  }

  function placeInBackground(placements: readonly Placement[]): void {
    placeInOrder(placements).catch(createFaultHandler(log, 'placement of tasks failed'));
  }

  /** Returns tasks that were not started to the backlog. */
  function finishPlacement(placement: Placement, retryAt?: number): void {
    if (partition.isClosed()) return;
    const { job, tasks } = placement;
    const ownTasks = tasks.filter(({ taskId }) => placementsByTask.get(taskId) === placement);
    ownTasks.forEach(({ taskId }) => placementsByTask.delete(taskId));
    ownTasks.forEach((task) => {
      if (isExecuting(task)) return;
      charges.release(job.team, task.taskId);
      serviceRacks.removeReplica(job, task);
    });
    enqueuePending(job, ownTasks, 'room on a worker', retryAt);
  }

  function enqueuePending(
    job: Job,
    tasks: readonly Task[],
    waitsFor: string,
    retryAt?: number,
  ): void {
    const pending = tasks.filter(({ state: taskState }) => taskState === 'pending');
    for (const task of pending) {
      if (backlog.isQueued(job.jobId)) break;
      if (!backlog.isQueued(task.taskId)) backlog.enqueue(job, task, waitsFor, retryAt);
    }
    if (pending.length > 0) schedule(TURN_INTERVAL_MILLISECONDS);
  }

  function handleInChunks(job: Job, handle: (tasks: readonly Task[]) => void): void {
    for (let from = 0; from < job.tasks.length; from += TASKS_PER_CHUNK) {
      chunkQueue.push(() => {
        if (!partition.isClosed()) handle(job.tasks.slice(from, from + TASKS_PER_CHUNK));
      });
    }
  }

  function jobAccepted(job: Job): void {
    const isSmall = job.request.kind === 'gang' || job.tasks.length <= TASKS_PER_CHUNK;
    if (isSmall) enqueuePending(job, job.tasks, 'room on a worker');
    else handleInChunks(job, (tasks) => enqueuePending(job, tasks, 'room on a worker'));
    schedule(0);
  }

  function stopOrDequeue(tasks: readonly Task[]): void {
    tasks.forEach((task) => {
      if (isExecuting(task)) stops.add(task);
      else backlog.remove(task.taskId);
    });
  }

  function stopJob(job: Job): void {
    capacityHolds.drop(job);
    backlog.removeGang(job);
    handleInChunks(job, (tasks) => stopOrDequeue(tasks));
  }

  function jobReleased(job: Job): void {
    quarantine.release(job.jobId);
    handleInChunks(job, (tasks) => {
      const idle = tasks.filter(({ taskId }) => !isBeingPlaced(taskId));
      enqueuePending(job, idle, 'room on a worker');
    });
  }

  function holdJob(job: Job): void {
    if (job.isHeld || job.endedAt !== null) return;
    log.info('job held after failures on distinct workers', { jobId: job.jobId });
    partition
      .appendUntilDurable({ type: 'job-held', jobId: job.jobId, held: true })
      .catch(createFaultHandler(log, 'recording the hold of a job failed'));
  }

  function updateQuarantine(job: Job, record: TaskEndedRecord): void {
    if (record.end !== 'succeeded' && record.end !== 'failed') return;
    const now = clock.monotonicMilliseconds();
    const hasSucceeded = record.end === 'succeeded';
    const verdict = quarantine.recordEnd(record.workerId, job.jobId, hasSucceeded, now);
    if (verdict === 'hold-job') holdJob(job);
  }

  function executionEnded(job: Job, task: Task, record: TaskEndedRecord | null): void {
    placementsByTask.delete(task.taskId);
    serviceRacks.removeReplica(job, task);
    epochWatch.remove(task);
    charges.release(job.team, task.taskId);
    if (record) {
      counters.increment('tasks.ended', 1, { end: record.end });
      updateQuarantine(job, record);
    }
    if (job.counts.failed > 0 && job.endedAt === null) stopFailedJob(job);
    enqueuePending(job, [task], record ? 'another execution' : 'room on a worker');
  }

  function stopFailedJob(job: Job): void {
    if (mustStopRunningTasks(job)) stopJob(job);
  }

  function resumeJob(job: Job): void {
    if (job.endedAt !== null) return;
    job.tasks.filter(isExecuting).forEach((task) => {
      charges.adopt(job.team, task.taskId);
      if (job.request.kind === 'service') serviceRacks.adoptReplica(job, task);
      epochWatch.add(task);
      lookups.add(task);
      if (mustStopRunningTasks(job)) stops.add(task);
    });
    if (job.counts.pending > 0) jobAccepted(job);
  }

  return {
    start: () => state.jobs.forEach(resumeJob),
    explainWait: (taskId) => backlog.explainWait(taskId),
    jobAccepted,
    executionEnded,
    jobCancelled: stopJob,
    jobReleased,
    close() {
      cancelTimer?.();
      chunkQueue.clear();
      stops.close();
      lookups.close();
      epochWatch.close();
    },
  };
}
