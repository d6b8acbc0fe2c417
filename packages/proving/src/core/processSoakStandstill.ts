import type { FleetRun } from '@chicorybend/standins';

import type {
  ProcessSoakJobRecord,
  ProcessSoakRecord,
  ProcessSoakViolation,
} from '../types/processSoak.js';
import { groupBy } from '../utils/groupBy.js';
import { parseTaskId } from './crashSoakJobs.js';

/** Time after the end of a run of a long-running task before its standstill counts, in milliseconds. */
const LONG_RUNNING_DELAY_MILLISECONDS = 6_000;
/** Time after a disturbance in which jobs may stand still, in milliseconds. */
const RECOVERY_MILLISECONDS = 12_000;
/** There has to be room for what waits this many times. */
const ROOM_FACTOR = 2;

/** Span of monotonic time in milliseconds. */
interface Span {
  readonly from: number;
  readonly until: number;
}

/** Time in which a step may start: some of its tasks have not succeeded, and those of earlier steps have. */
interface PendingStep extends Span {
  readonly step: number;
}

/** @returns parts of a span that none of the others covers, in order of time */
function subtract(span: Span, others: readonly Span[]): Span[] {
  const rest: Span[] = [];
  let { from } = span;
  [...others]
    .sort((left, right) => left.from - right.from)
    .forEach((other) => {
      if (other.from > from) rest.push({ from, until: Math.min(other.from, span.until) });
      from = Math.max(from, other.until);
    });
  rest.push({ from, until: span.until });
  return rest.filter((part) => part.until > part.from);
}

function spanOf({ startedAt, endedAt }: FleetRun): Span {
  return { from: startedAt, until: endedAt ?? Infinity };
}

function timeOfLast(
  { job }: ProcessSoakJobRecord,
  step: number,
  runs: readonly FleetRun[],
  timeOf: (run: FleetRun) => number | null,
): number {
  const count = job.steps[step]?.count ?? 1;
  const times = Array.from({ length: job.steps[step]?.isGang ? 1 : count }, (_, index) => {
    const ofTask = runs.filter(({ taskId, kind }) => {
      const position = parseTaskId(taskId);
      // One end of a gang represents all members.
      const isSame = job.steps[step]?.isGang === true || position.index === index;
      return kind === 'done' && position.step === step && isSame;
    });
    return Math.min(...ofTask.map((run) => timeOf(run) ?? Infinity));
  });
  return Math.max(...times);
}

function findPendingSteps(
  record: ProcessSoakJobRecord,
  runs: readonly FleetRun[],
  endedAt: number,
): PendingStep[] {
  const { job, acceptedAt, cancelSentAt, states } = record;
  if (acceptedAt === null || job.deadly) return [];
  // A job that is given up without a cause breaks another rule.
  const failedAt = states.find(({ state }) => state === 'failed')?.at ?? Infinity;
  const last = Math.min(endedAt, cancelSentAt ?? Infinity, failedAt);
  return job.steps
    .map(({ after = [] }, step) => {
      const released = after.map((other) =>
        timeOfLast(record, other, runs, (run) => run.acknowledgedAt),
      );
      const doneAt = timeOfLast(record, step, runs, (run) => run.endedAt);
      return { step, from: Math.max(acceptedAt, ...released), until: Math.min(last, doneAt) };
    })
    .filter(({ from, until }) => until > from);
}

/** @returns whether endpoints have room, all through a span, for the tasks that may start twice over */
function hasRoom(
  { runs, endpoints }: ProcessSoakRecord,
  { from, until }: Span,
  processors: number,
  count: number,
): boolean {
  const during = runs.filter((run) => run.startedAt < until && (run.endedAt ?? Infinity) > from);
  const used = [...groupBy(during, ({ endpointId }) => endpointId).values()].map((ofEndpoint) =>
    ofEndpoint.reduce((sum, { resources }) => sum + resources.processors, 0),
  );
  const idle = Array.from({ length: Math.max(0, endpoints.count - used.length) }, () => 0);
  const room = [...used, ...idle].reduce(
    (sum, usedThere) =>
      sum + Math.max(0, Math.floor((endpoints.capacity.processors - usedThere) / processors)),
    0,
  );
  return room >= ROOM_FACTOR * count;
}

interface Standstill extends Span {
  readonly step: number;
  readonly subject: string;
}

/** The job has nothing running. */
function findIdleSpans(
  { job }: ProcessSoakJobRecord,
  steps: readonly PendingStep[],
  runs: readonly FleetRun[],
): Standstill[] {
  return steps
    .filter(({ step }) => !job.steps[step]?.isLongRunning)
    .flatMap((step) =>
      subtract(step, runs.map(spanOf)).map((span) => ({
        ...span,
        step: step.step,
        subject: `job ${job.jobId}`,
      })),
    );
}

/** A long-running task does not run, whether others of its job run or not. */
function findIdleTaskSpans(
  { job }: ProcessSoakJobRecord,
  steps: readonly PendingStep[],
  runs: readonly FleetRun[],
): Standstill[] {
  return steps
    .filter(({ step }) => job.steps[step]?.isLongRunning)
    .flatMap((step) =>
      Array.from({ length: job.steps[step.step]?.count ?? 1 }, (_, index) => {
        const taskId = `${job.jobId}.0.${step.step}.${index}`;
        const ofTask = runs.filter((run) => run.taskId === taskId).map(spanOf);
        const released = { from: step.from, until: step.from };
        const excused = [released, ...ofTask].map(({ from, until }) => ({
          from,
          until: until + LONG_RUNNING_DELAY_MILLISECONDS,
        }));
        return subtract(step, excused).map((span) => ({
          ...span,
          step: step.step,
          subject: `task ${taskId}`,
        }));
      }),
    )
    .flat();
}

/** Crashes under a run may keep its task, and those that ran beside it, from being started for a time. */
function crashSpans(runs: readonly FleetRun[]): Span[] {
  return runs
    .filter(({ kind }) => kind === 'crashed')
    .map(({ startedAt, endedAt }) => ({ from: startedAt, until: endedAt ?? Infinity }));
}

/** @returns times in which jobs may stand still */
function findDisturbedSpans({ disturbances, runs }: ProcessSoakRecord): Span[] {
  return [...disturbances, ...crashSpans(runs)].map(({ from, until }) => ({
    from,
    until: until + RECOVERY_MILLISECONDS,
  }));
}

/** @returns for how much of a span of monotonic time jobs may not stand still, in milliseconds */
export function measureCalm(record: ProcessSoakRecord, from: number, until: number): number {
  return subtract({ from, until }, findDisturbedSpans(record)).reduce(
    (sum, span) => sum + span.until - span.from,
    0,
  );
}

/**
 * While nothing disturbs the system, an accepted job with a step that may start has something running within a time if
 * endpoints have room for it twice over. A long-running task runs within 6 s more after its last run or, if there is
 * none, after its step may start, whether others of its job run or not.
 *
 * @param limitMilliseconds time for which a job may stand still, in milliseconds
 */
export function checkStandingJobs(
  record: ProcessSoakRecord,
  limitMilliseconds: number,
): ProcessSoakViolation[] {
  const runsByJob = groupBy(record.runs, ({ taskId }) => parseTaskId(taskId).jobId);
  const disturbed = findDisturbedSpans(record);
  return record.jobs.flatMap((jobRecord) => {
    const { job } = jobRecord;
    const runs = runsByJob.get(job.jobId) ?? [];
    const steps = findPendingSteps(jobRecord, runs, record.endedAt);
    const spans = [
      ...findIdleSpans(jobRecord, steps, runs),
      ...findIdleTaskSpans(jobRecord, steps, runs),
    ];
    return spans.flatMap((span) => {
      const { isGang, count = 1, resources } = job.steps[span.step]!;
      const processors = resources?.processors || 1;
      return subtract(span, disturbed)
        .filter(({ from, until }) => until - from > limitMilliseconds)
        .filter((calm) => hasRoom(record, calm, processors, isGang ? count : 1))
        .map(({ from, until }): ProcessSoakViolation => {
          const time = Math.round(until - from);
          const text = `${span.subject} has nothing running for ${time} ms, though step ${span.step} may start and there is room`;
          return { rule: 'LOST', at: from, jobId: job.jobId, text };
        });
    });
  });
}
