import type { FleetRun } from '@chicorybend/standins';

import type { CrashSoakJob, CrashSoakJobState } from '../types/crashSoak.js';
import { groupBy } from '../utils/groupBy.js';
import type { CrashCause } from './crashSoakFaults.js';
import { isDeadlyTask, parseTaskId, taskIdsOf } from './crashSoakJobs.js';
import type { SchedulerCell } from './schedulerCell.js';

/** A job may be given up once this many incarnations have crashed under one of its tasks. */
const CRASHES_TO_GIVE_UP = 2;
/** After this many, the task is started fewer than {@link MAXIMUM_FURTHER_STARTS} times. */
const CONCLUSIVE_CRASHES = 3;
const MAXIMUM_FURTHER_STARTS = 3;
/** By then the task has no start left, whatever the causes of the crashes. */
const FINAL_CRASHES = CONCLUSIVE_CRASHES + MAXIMUM_FURTHER_STARTS - 1;

/** A violation and the job that it is about; null for a violation of the whole cell. */
export interface CrashSoakViolation {
  readonly jobId: string | null;
  readonly text: string;
}

export interface CrashSoakVerdict {
  readonly violations: readonly CrashSoakViolation[];
  /** Jobs that could complete and were given up after several unrelated crashes under one of their tasks. */
  readonly unluckyJobs: number;
}

/** Checks the record of the endpoints and the states of the jobs after all faults have ended. */
export function checkCrashSoak(
  cell: SchedulerCell,
  states: readonly CrashSoakJobState[],
  causes: ReadonlyMap<string, CrashCause>,
): CrashSoakVerdict {
  const { fleet } = cell;
  const runsByTask = groupBy(fleet.history, ({ taskId }) => taskId);
  const violations: CrashSoakViolation[] = [];
  let unluckyJobs = 0;

  function runsOf(taskId: string): readonly FleetRun[] {
    return runsByTask.get(taskId) ?? [];
  }

  /** @returns number of incarnations that crashed under a task, without those lost with their rack if so requested */
  function countCrashes(taskId: string, includesRacks: boolean): number {
    const incarnations = new Set(
      runsOf(taskId)
        .filter(({ kind }) => kind === 'crashed')
        .map(({ endpointId, bornAt }) => `${endpointId}/${bornAt}`),
    );
    return [...incarnations].filter((key) => includesRacks || causes.get(key) !== 'rack').length;
  }

  function mostCrashes(job: CrashSoakJob, includesRacks: boolean): number {
    return Math.max(...taskIdsOf(job).map((taskId) => countCrashes(taskId, includesRacks)));
  }

  function checkGivenUp({ job }: CrashSoakJobState): void {
    const { jobId } = job;
    const crashes = mostCrashes(job, true);
    const isExcused = mostCrashes(job, false) >= CRASHES_TO_GIVE_UP || crashes >= FINAL_CRASHES;
    if (crashes < CRASHES_TO_GIVE_UP) {
      violations.push({ jobId, text: `job ${jobId} was given up after ${crashes} crashes` });
    } else if (!job.deadly && !isExcused) {
      violations.push({ jobId, text: `job ${jobId} was given up because of lost racks` });
    } else if (!job.deadly) unluckyJobs += 1;
  }

  function checkCompleted({ job }: CrashSoakJobState): void {
    job.steps.forEach(({ isGang = false }, step) => {
      const taskIds = taskIdsOf(job).filter((taskId) => parseTaskId(taskId).step === step);
      const done = taskIds.filter((taskId) => runsOf(taskId).some(({ kind }) => kind === 'done'));
      if (done.length === taskIds.length || (isGang && done.length > 0)) return;
      const text = `job ${job.jobId} is completed with ${done.length} of ${taskIds.length} tasks of step ${step} done`;
      violations.push({ jobId: job.jobId, text });
    });
  }

  function checkUnfinished({ job, status }: CrashSoakJobState): void {
    const { jobId } = job;
    if (!job.deadly && job.steps.some(({ isLongRunning }) => isLongRunning)) {
      const idle = taskIdsOf(job).filter(
        (taskId) => !runsOf(taskId).some(({ endedAt }) => endedAt === null),
      );
      if (idle.length > 0) violations.push({ jobId, text: `task ${idle[0]} does not run` });
    } else violations.push({ jobId, text: `job ${jobId} is still ${status ?? 'unknown'}` });
  }

  function checkDeadlyTask(job: CrashSoakJob, taskId: string): void {
    if (!isDeadlyTask(job, parseTaskId(taskId))) return;
    const starts = fleet.startsAfterCrashes(taskId, CONCLUSIVE_CRASHES);
    if (starts < MAXIMUM_FURTHER_STARTS) return;
    const text = `${starts} starts of task ${taskId} after ${CONCLUSIVE_CRASHES} crashes under it`;
    violations.push({ jobId: job.jobId, text });
  }

  states.forEach((state) => {
    if (state.status === 'failed') checkGivenUp(state);
    else if (state.status === 'completed') checkCompleted(state);
    else checkUnfinished(state);
    taskIdsOf(state.job).forEach((taskId) => checkDeadlyTask(state.job, taskId));
  });
  new Set(fleet.violations()).forEach((text) => {
    violations.push({ jobId: /task (\w+)\./.exec(text)?.[1] ?? null, text });
  });
  fleet.overloads.forEach(({ run, used, capacity }) => {
    const text =
      `start of task ${run.taskId} at ${run.startedAt} uses ${used.processors} of ` +
      `${capacity.processors} processors on ${run.endpointId}`;
    violations.push({ jobId: parseTaskId(run.taskId).jobId, text });
  });
  return { violations, unluckyJobs };
}
