import { crashTimesUnder } from '@chicorybend/standins';
import type { FleetRun } from '@chicorybend/standins';

import type {
  ProcessSoakJobRecord,
  ProcessSoakRecord,
  ProcessSoakViolation,
} from '../types/processSoak.js';
import { groupBy } from '../utils/groupBy.js';
import { checkStandingJobs } from './processSoakStandstill.js';
import { isDeadlyTask, parseTaskId, taskIdsOf } from './crashSoakJobs.js';

/** A job may be given up once this many incarnations have crashed under one of its tasks. */
const CRASHES_TO_GIVE_UP = 2;
/** After this many, a task that crashes its endpoints is started at most {@link MAXIMUM_FURTHER_STARTS} times. */
const CONCLUSIVE_CRASHES = 3;
const MAXIMUM_FURTHER_STARTS = 2;

type Violations = ProcessSoakViolation[];

/** A job is shown as failed only after crashes under one of its tasks, and as cancelled only if that was asked for. */
export function checkShownStates({ jobs, runs }: ProcessSoakRecord): Violations {
  return jobs.flatMap(({ job, cancelSentAt, states }) => {
    const { jobId } = job;
    const failed = states.find(({ state }) => state === 'failed');
    const cancelled = states.find(({ state }) => state === 'cancelled');
    const violations: Violations = [];
    if (failed) {
      const counts = taskIdsOf(job).map(
        (taskId) => crashTimesUnder(runs, taskId).filter((time) => time <= failed.at).length,
      );
      const crashes = Math.max(...counts);
      if (crashes < CRASHES_TO_GIVE_UP) {
        const text = `job ${jobId} is shown as failed after ${crashes} crashes under one of its tasks`;
        violations.push({ rule: 'LOST', at: failed.at, jobId, text });
      }
    }
    if (cancelled && (cancelSentAt === null || cancelled.at < cancelSentAt)) {
      const text = `job ${jobId} is shown as cancelled without a cancellation`;
      violations.push({ rule: 'LOST', at: cancelled.at, jobId, text });
    }
    return violations;
  });
}

function describeUnfinished(
  { job, finalState }: ProcessSoakJobRecord,
  runningTaskIds: ReadonlySet<string>,
): string | null {
  if (finalState === null) return 'gets no answer';
  if (finalState === 'unknown') return 'is not known';
  if (job.deadly || finalState === 'completed' || finalState === 'failed') return null;
  if (!job.steps.every(({ isLongRunning }) => isLongRunning)) return `is still ${finalState}`;
  const idle = taskIdsOf(job).find((taskId) => !runningTaskIds.has(taskId));
  return idle === undefined ? null : `has task ${idle}, which does not run`;
}

/** At the end an accepted job is known; it has ended, or its long-running tasks run. */
export function checkFinalStates({ jobs, runs, endedAt }: ProcessSoakRecord): Violations {
  const runningTaskIds = new Set(
    runs.filter((run) => run.endedAt === null).map(({ taskId }) => taskId),
  );
  return jobs.flatMap((record) => {
    const { jobId } = record.job;
    if (record.acceptedAt === null || record.cancelSentAt !== null) return [];
    const problem = describeUnfinished(record, runningTaskIds);
    if (problem === null) return [];
    return [{ rule: 'LOST', at: endedAt, jobId, text: `at the end job ${jobId} ${problem}` }];
  });
}

function describeRun({ run, endpointId, bornAt }: FleetRun): string {
  return `run ${run} on ${endpointId} (${bornAt})`;
}

/** A task has one run at a time, and none after an acknowledged success. */
export function checkRepeatedRuns({ runs }: ProcessSoakRecord): Violations {
  return [...groupBy(runs, ({ taskId }) => taskId)].flatMap(([taskId, ofTask]) => {
    const ordered = [...ofTask].sort((left, right) => left.startedAt - right.startedAt);
    const { jobId } = parseTaskId(taskId);
    return ordered.flatMap((later, index) =>
      ordered.slice(0, index).flatMap((earlier): Violations => {
        const isOverlap = (earlier.endedAt ?? Infinity) > later.startedAt;
        const isRepeat = earlier.kind === 'done' && earlier.acknowledgedAt !== null;
        if (!isOverlap && !isRepeat) return [];
        const reason = isOverlap ? 'during' : 'after the acknowledged success of';
        const text = `task ${taskId}: ${describeRun(later)} starts ${reason} ${describeRun(earlier)}`;
        return [{ rule: 'TWICE', at: later.startedAt, jobId, text }];
      }),
    );
  });
}

/** A task that crashes its endpoints is started at most twice more after three of them have crashed under it. */
export function checkDeadlyTasks({ jobs, runs }: ProcessSoakRecord): Violations {
  return jobs.flatMap(({ job }) => {
    const deadlyTaskIds = taskIdsOf(job).filter((id) => isDeadlyTask(job, parseTaskId(id)));
    return deadlyTaskIds.flatMap((taskId): Violations => {
      const conclusiveAt = crashTimesUnder(runs, taskId)[CONCLUSIVE_CRASHES - 1] ?? Infinity;
      const starts = runs.filter((run) => run.taskId === taskId && run.startedAt >= conclusiveAt);
      const excess = starts[MAXIMUM_FURTHER_STARTS];
      if (!excess) return [];
      const text = `${starts.length} starts of task ${taskId} after ${CONCLUSIVE_CRASHES} crashes under it`;
      return [{ rule: 'BUDGET', at: excess.startedAt, jobId: job.jobId, text }];
    });
  });
}

/**
 * No task of a cancelled job starts long after the acknowledgement.
 *
 * @param limitMilliseconds time after the acknowledgement until which tasks may start, in milliseconds
 */
export function checkCancelledJobs(
  { jobs, runs }: ProcessSoakRecord,
  limitMilliseconds: number,
): Violations {
  const runsByJob = groupBy(runs, ({ taskId }) => parseTaskId(taskId).jobId);
  return jobs.flatMap(({ job: { jobId }, cancelAcknowledgedAt }) => {
    if (cancelAcknowledgedAt === null) return [];
    const late = (runsByJob.get(jobId) ?? []).filter(
      ({ startedAt }) => startedAt > cancelAcknowledgedAt + limitMilliseconds,
    );
    return late.map((run): ProcessSoakViolation => {
      const delay = Math.round(run.startedAt - cancelAcknowledgedAt);
      const text = `task ${run.taskId}: ${describeRun(run)} starts ${delay} ms after its cancellation`;
      return { rule: 'UNASKED', at: run.startedAt, jobId, text };
    });
  });
}

/** A process ends only when it is told to, and then without an error. */
export function checkExits({ exits }: ProcessSoakRecord): Violations {
  return exits.flatMap(({ process, at, sentSignal, code }): Violations => {
    if (sentSignal === 'SIGKILL' || (sentSignal === 'SIGTERM' && code === 0)) return [];
    const text = `process ${process} ends with code ${code} after ${sentSignal ?? 'no signal'}`;
    return [{ rule: 'FAULT', at, jobId: null, text }];
  });
}

/** Bounds of the checks, in milliseconds. */
export interface ProcessSoakLimits {
  /** Time after the acknowledgement of a cancellation until which tasks may start. */
  readonly cancelledStartMilliseconds: number;
  /** Time for which a job that could run may stand still. */
  readonly standstillMilliseconds: number;
}

/** Runs all checks. @returns violations in order of time */
export function checkProcessSoak(
  record: ProcessSoakRecord,
  { cancelledStartMilliseconds, standstillMilliseconds }: ProcessSoakLimits,
): Violations {
  return [
    checkShownStates(record),
    checkFinalStates(record),
    checkRepeatedRuns(record),
    checkDeadlyTasks(record),
    checkCancelledJobs(record, cancelledStartMilliseconds),
    checkExits(record),
    checkStandingJobs(record, standstillMilliseconds),
  ]
    .flat()
    .sort((left, right) => left.at - right.at);
}
