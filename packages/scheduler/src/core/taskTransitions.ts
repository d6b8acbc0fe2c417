import { canOpenOccurrence, createQuarantine, judgeCrashes } from '@chicorybend/decisions';

import type { EndKind } from '../types/endpoint.js';
import type {
  JobPhase,
  JobRecord,
  OccurrenceRecord,
  StepRecord,
  TaskRecord,
} from '../types/jobRecord.js';
import type { TermContext } from '../types/termContext.js';
import { stateKey } from '../utils/storeKeys.js';
import type { CommitUrgency } from './commitQueue.js';
import { countTasksPerOccurrence } from './jobSize.js';
import { createEndpointLosses, describeLoss } from './endpointLosses.js';
import type { EndpointLosses } from './endpointLosses.js';
import { leaseExpiryOf } from './endpointTable.js';
import type { EndpointState } from './endpointTable.js';
import {
  addOccurrence,
  areDependenciesDone,
  avoidEndpoint,
  countOccurrences,
  dueTime,
  encodeState,
  forEachTask,
  hasActiveRun,
  hasBegun,
} from './jobRecords.js';

/** An endpoint is quarantined when tasks of this many different jobs fail there without a success in between. */
const QUARANTINE_JOBS = 3;
/** Time until a quarantined endpoint gets a trial run; doubles with each failed trial. */
const QUARANTINE_MILLISECONDS = 5_000;
const MAXIMUM_QUARANTINE_MILLISECONDS = 30_000;

/** Maximum delay of storing that a run was confirmed, in which the confirmations of other runs share the write. */
const CONFIRMATION_DELAY_MILLISECONDS = 500;

/** State transitions of tasks and jobs. */
export interface TaskTransitions {
  /** Released steps that have pending tasks. */
  readonly releasedSteps: Set<StepRecord>;
  readonly endpointLosses: EndpointLosses;
  /** Commits the state of a job. @returns resolves to whether it is durable; false if the term ended first */
  save(job: JobRecord, urgency?: CommitUrgency): Promise<boolean>;
  /** Commits the confirmation of a run with the next change of its job, or soon together with those of other jobs. */
  saveConfirmation(job: JobRecord): void;
  /** Creates the occurrences of a job that are due, and releases the steps whose dependencies are complete. */
  releaseDueSteps(job: JobRecord): void;
  /** An endpoint has shown that the current run of a task exists, or has existed. */
  noteRun(task: TaskRecord): void;
  /** An incarnation of an endpoint answers, which withdraws its losses and confirms those of former ones. */
  noteAnswer(state: EndpointState): void;
  /** Applies the end of the current run of a task. */
  endRun(task: TaskRecord, kind: EndKind, checkpoint: string): void;
  /** Counts an earlier run than the current one of a waiting task, whose end as failed an endpoint reports. */
  recordLateFailure(task: TaskRecord, run: number, endpointId: string): void;
  /** Ends the current run of a task without a result and commits the job; the task resumes from its checkpoint. */
  dropRun(task: TaskRecord, kind: 'lapsed' | 'stopped'): void;
  /** Drops the runs of an endpoint whose leases have certainly expired. */
  expireRuns(state: EndpointState): void;
  /**
   * Ends a job; the listener of {@link TaskTransitions.onJobClosed} stops its runs. No effect on a job that has ended.
   *
   * @returns resolves to whether the end of the job is durable; false if the term ended first
   */
  closeJob(job: JobRecord, phase: JobPhase): Promise<boolean>;
  /** Sets the listener that stops the runs of a job that has ended. */
  onJobClosed(listener: (job: JobRecord) => void): void;
  /** Sets the listener that forgets the steps of an occurrence that is complete or whose job has ended. */
  onStepsClosed(listener: (steps: readonly StepRecord[]) => void): void;
  /** Sets the listener that stops the other members of a gang after one member has ended early. */
  onGangBroken(listener: (step: StepRecord) => void): void;
  /** @returns whether an endpoint gets no new runs because of failures */
  isQuarantined(endpointId: string): boolean;
  /** Records a start, so that a quarantined endpoint gets only one trial run at a time. */
  recordStart(endpointId: string): void;
}

export function createTaskTransitions(context: TermContext): TaskTransitions {
  const { clock, log, metrics, table, commits } = context;
  const releasedSteps = new Set<StepRecord>();
  const quarantine = createQuarantine({
    distinctJobs: QUARANTINE_JOBS,
    firstBackoffMilliseconds: QUARANTINE_MILLISECONDS,
    maximumBackoffMilliseconds: MAXIMUM_QUARANTINE_MILLISECONDS,
  });
  const endpointLosses = createEndpointLosses(context);
  /** Ids of jobs with due occurrences that are not open yet. */
  const behindSchedule = new Set<string>();
  let notifyJobClosed: (job: JobRecord) => void = () => {};
  let notifyStepsClosed: (steps: readonly StepRecord[]) => void = () => {};
  let notifyGangBroken: (step: StepRecord) => void = () => {};

  /** Jobs with confirmed runs whose confirmation is neither durable nor staged. */
  const confirmedJobs = new Set<JobRecord>();
  let isConfirmationDue = false;

  function save(job: JobRecord, urgency?: CommitUrgency): Promise<boolean> {
    confirmedJobs.delete(job);
    const encode = () => {
      const now = clock.monotonicMilliseconds();
      return encodeState(job, clock.wallMilliseconds() - now, now);
    };
    return commits.stage(stateKey(job.jobId), encode, urgency);
  }

  function saveConfirmations(): void {
    isConfirmationDue = false;
    if (context.hasEnded()) return;
    metrics.count('confirmations_stored', confirmedJobs.size);
    [...confirmedJobs].forEach((job) => {
      void save(job, 'deferred');
    });
  }

  /** A job whose limit is not known is not given up. */
  function maximumAttempts(job: JobRecord): number {
    return context.settings.queueOf(job)?.maximumAttempts ?? Infinity;
  }

  async function closeJob(job: JobRecord, phase: JobPhase): Promise<boolean> {
    if (job.durablePhase !== 'open') return true;
    if (job.phase !== 'open') return save(job);
    job.phase = phase;
    job.endedAt = clock.wallMilliseconds();
    if (phase === 'completed') metrics.count('jobs_completed');
    if (phase === 'failed') metrics.count('jobs_failed');
    if (phase === 'cancelled') metrics.count('jobs_cancelled');
    log.info('job closed', { job: job.jobId, phase });
    job.occurrences.forEach(({ steps }) => steps.forEach((step) => releasedSteps.delete(step)));
    behindSchedule.delete(job.jobId);
    notifyJobClosed(job);
    job.occurrences.forEach(({ steps }) => notifyStepsClosed(steps));
    const isDurable = await save(job);
    if (isDurable) job.durablePhase = phase;
    return isDurable;
  }

  function releaseOccurrenceSteps(occurrence: OccurrenceRecord): void {
    occurrence.steps.forEach((step) => {
      if (step.isReleased || !areDependenciesDone(occurrence, step)) return;
      step.isReleased = true;
      if (step.doneCount < step.specification.count) releasedSteps.add(step);
    });
  }

  function hasDueOccurrence(job: JobRecord): boolean {
    const { occurrenceCount } = job;
    if (occurrenceCount >= countOccurrences(job)) return false;
    return dueTime(job, occurrenceCount) <= clock.wallMilliseconds();
  }

  /** Opens as many due occurrences as the job may have open at once; the others follow as those are completed. */
  function openDueOccurrences(job: JobRecord): void {
    if (!hasDueOccurrence(job)) return;
    const { maximumOpenTasks } = context;
    const tasksPerOccurrence = countTasksPerOccurrence(job.specification);
    const open = {
      tasks: job.occurrences.size * tasksPerOccurrence,
      waiting: [...job.occurrences.values()].filter((occurrence) => !hasBegun(occurrence)).length,
    };
    while (
      hasDueOccurrence(job) &&
      canOpenOccurrence(open, { tasksPerOccurrence, maximumOpenTasks })
    ) {
      addOccurrence(job, job.occurrenceCount);
      open.tasks += tasksPerOccurrence;
      open.waiting += 1;
    }
    logSchedule(job);
  }

  /** Logs once that a job falls behind its schedule, and once that it has caught up. */
  function logSchedule(job: JobRecord): void {
    const isBehind = hasDueOccurrence(job);
    if (isBehind === behindSchedule.has(job.jobId)) return;
    if (isBehind) behindSchedule.add(job.jobId);
    else behindSchedule.delete(job.jobId);
    log.info(isBehind ? 'job behind its schedule' : 'job has caught up with its schedule', {
      job: job.jobId,
      open: job.occurrences.size,
      nextOccurrence: job.occurrenceCount,
      overdueMilliseconds: Math.round(
        Math.max(0, clock.wallMilliseconds() - dueTime(job, job.occurrenceCount)),
      ),
    });
  }

  function release(job: JobRecord): void {
    if (job.phase !== 'open') return;
    openDueOccurrences(job);
    job.occurrences.forEach(releaseOccurrenceSteps);
    context.requestRound();
  }

  function completeOccurrence(job: JobRecord, occurrence: OccurrenceRecord): void {
    job.occurrences.delete(occurrence.index);
    notifyStepsClosed(occurrence.steps);
    const isComplete = job.occurrences.size === 0 && job.occurrenceCount === countOccurrences(job);
    if (isComplete) void closeJob(job, 'completed');
  }

  function finishTask(task: TaskRecord): void {
    const { step } = task;
    task.phase = 'done';
    step.doneCount += 1;
    if (step.doneCount < step.specification.count) return;
    releasedSteps.delete(step);
    const occurrence = step.job.occurrences.get(step.occurrence);
    if (!occurrence) return;
    occurrence.doneSteps += 1;
    if (occurrence.doneSteps === occurrence.steps.length) completeOccurrence(step.job, occurrence);
    else releaseOccurrenceSteps(occurrence);
  }

  function detachFromEndpoint(task: TaskRecord): void {
    table.release(task);
    task.endpointId = null;
    task.phase = 'pending';
    task.absenceConclusiveAfter = Infinity;
  }

  /** The success of one member is the success of the whole gang. */
  function finishGang(task: TaskRecord): void {
    const { run } = task;
    task.step.tasks
      .filter((member) => member.run === run && member.phase !== 'done')
      .forEach((member) => {
        detachFromEndpoint(member);
        finishTask(member);
      });
  }

  /** A run of a gang fails once, however many of its members do. */
  function countGangFailure(step: StepRecord, run: number): void {
    if (step.lastFailedGangRun >= run) return;
    step.lastFailedGangRun = run;
    step.gangFailures += 1;
  }

  function countFailure(task: TaskRecord, run: number): void {
    const { step } = task;
    const { isGang, isLongRunning } = step.specification;
    task.failedRuns = isLongRunning ? [run] : [...task.failedRuns, run];
    if (isGang) countGangFailure(step, run);
    const failures = isGang ? step.gangFailures : task.failedRuns.length;
    const limit = maximumAttempts(step.job);
    if (isLongRunning || failures < limit) return;
    task.phase = 'failed';
    log.info('attempts used up', { task: task.taskId, run, isGang, failures, limit });
    void closeJob(step.job, 'failed');
  }

  /** A task that crashes the endpoints that start it is not started again; its job fails. */
  function giveUpIfGuilty(task: TaskRecord): void {
    const { step, losses } = task;
    if (task.phase !== 'pending' || step.job.phase !== 'open') return;
    if (judgeCrashes(losses) !== 'guilty') return;
    task.phase = 'failed';
    endpointLosses.recordVerdict(task);
    const milliseconds = clock.wallMilliseconds() - losses[0]!.at;
    metrics.count('tasks_given_up');
    metrics.record('verdict_milliseconds', Math.max(0, milliseconds));
    log.warn('task given up because it crashes its endpoints', {
      task: task.taskId,
      runs: task.run,
      team: step.job.team,
      epoch: context.epoch,
      losses: losses.map(describeLoss),
      sinceFirstLossMilliseconds: Math.round(milliseconds),
    });
    void closeJob(step.job, 'failed');
  }

  /** A gang makes progress only while it is complete, so its remaining members are stopped. */
  function breakGang(step: StepRecord, run: number): void {
    if (step.brokenRun >= run) return;
    step.brokenRun = run;
    notifyGangBroken(step);
  }

  function endRun(task: TaskRecord, kind: EndKind, checkpoint: string): void {
    if (!hasActiveRun(task)) return;
    const { step } = task;
    const { specification, job } = step;
    const { endpointId } = task;
    const details = { task: task.taskId, run: task.run, kind, endpoint: endpointId };
    if (kind === 'done') {
      // Hundreds of runs a second succeed, and the end of their job is logged.
      log.debug('run ended', details);
      metrics.count('runs_done');
    } else {
      log.info('run ended', details);
      metrics.count(kind === 'failed' ? 'runs_failed' : 'runs_lost');
    }
    if (endpointId !== null && (kind === 'done' || kind === 'failed')) {
      const now = clock.monotonicMilliseconds();
      quarantine.recordEnd(endpointId, job.jobId, kind === 'done', now);
    }
    if (kind === 'done') context.estimates.recordCompletion(task);
    if (kind === 'failed') avoidEndpoint(task, clock.monotonicMilliseconds());
    if (kind !== 'lapsed') endpointLosses.discardOutlived(task);
    const { run } = task;
    if (kind === 'done' && specification.isGang && !specification.isLongRunning) {
      finishGang(task);
    } else {
      detachFromEndpoint(task);
      if (checkpoint !== '') task.checkpoint = checkpoint;
      if (kind === 'done' && !specification.isLongRunning) finishTask(task);
      else if (kind === 'failed') countFailure(task, run);
      else giveUpIfGuilty(task);
      if (specification.isGang) breakGang(step, run);
    }
    if (job.phase === 'open' && task.phase === 'pending' && step.isReleased) {
      releasedSteps.add(step);
    }
    context.requestRound();
  }

  function endRunAndCleanUp(task: TaskRecord, kind: EndKind, checkpoint: string): void {
    endRun(task, kind, checkpoint);
    if (task.step.job.phase !== 'open') clearOccurrencesWithoutRuns(task.step.job);
  }

  function dropRun(task: TaskRecord, kind: 'lapsed' | 'stopped'): void {
    endRunAndCleanUp(task, kind, task.checkpoint);
    void save(task.step.job);
  }

  function clearOccurrencesWithoutRuns(job: JobRecord): void {
    let activeRuns = 0;
    forEachTask(job, (task) => {
      if (hasActiveRun(task)) activeRuns += 1;
    });
    if (activeRuns === 0) job.occurrences.clear();
  }

  function noteRun(task: TaskRecord): void {
    const { job } = task.step;
    endpointLosses.withdrawLoss(task);
    if (job.hasStarted) return;
    job.hasStarted = true;
    metrics.record('first_start_milliseconds', clock.wallMilliseconds() - job.acceptedAt);
  }

  return {
    releasedSteps,
    endpointLosses,
    save,
    saveConfirmation(job) {
      confirmedJobs.add(job);
      if (isConfirmationDue) return;
      isConfirmationDue = true;
      clock.setTimer(saveConfirmations, CONFIRMATION_DELAY_MILLISECONDS);
    },
    releaseDueSteps: release,
    noteRun,
    noteAnswer(state) {
      const tasks = endpointLosses.recordAnswer(state);
      tasks.forEach(giveUpIfGuilty);
      new Set(tasks.map(({ step }) => step.job)).forEach((job) => {
        void save(job);
      });
    },
    endRun: endRunAndCleanUp,
    recordLateFailure(task, run, endpointId) {
      log.info('late failure counted', { task: task.taskId, run, endpoint: endpointId });
      metrics.count('runs_failed');
      const { jobId } = task.step.job;
      quarantine.recordEnd(endpointId, jobId, false, clock.monotonicMilliseconds());
      countFailure(task, run);
    },
    dropRun,
    expireRuns(state) {
      const now = clock.monotonicMilliseconds();
      const expiryOf = (task: TaskRecord) =>
        leaseExpiryOf(state, task, context.timeLimits.maximumOrderDelayMilliseconds);
      const expired = [...state.runs.values()].filter((task) => now >= expiryOf(task));
      if (expired.length === 0) return;
      const prolonged = expired.filter((task) => expiryOf(task) > state.leasesExpireAt).length;
      metrics.count('run_leases_prolonged', prolonged);
      const age = (at: number | null) => (at === null ? null : Math.round(now - at));
      log.info('run leases on endpoint expired', {
        endpoint: state.entry.endpointId,
        incarnation: state.bornAt,
        runs: expired.length,
        prolonged,
        remaining: state.runs.size - expired.length,
        sinceLastOrderMilliseconds: age(state.lastLeaseOrderAt),
        sinceLastAnswerMilliseconds: age(state.lastAnswerAt),
      });
      endpointLosses.recordLoss(state, expired, 'silent');
      expired.forEach((task) => dropRun(task, 'lapsed'));
    },
    closeJob,
    onJobClosed(listener) {
      notifyJobClosed = listener;
    },
    onStepsClosed(listener) {
      notifyStepsClosed = listener;
    },
    onGangBroken(listener) {
      notifyGangBroken = listener;
    },
    isQuarantined: (endpointId) =>
      quarantine.isQuarantined(endpointId, clock.monotonicMilliseconds()),
    recordStart: (endpointId) =>
      quarantine.recordStart?.(endpointId, clock.monotonicMilliseconds()),
  };
}
