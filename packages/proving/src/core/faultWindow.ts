import type { RunEntry, TaskEndedEntry, TaskStartedEntry } from '@chicorybend/standins';

import type {
  FaultWindow,
  StoreSample,
  WindowExpectations,
  WindowReport,
} from '../types/faultWindow.js';
import type { JobObservation, Observations, RequestObservation } from '../types/observation.js';
import { executionKeyOf } from '../utils/timeline.js';
import { ISSUED_KEY_PREFIX } from './soakOperator.js';
import { findPeak } from './storeMeter.js';

/** Limits of the store on calls per second. */
const STORE_WRITES_PER_SECOND = 500;
const STORE_READS_PER_SECOND = 2_000;
/** A submission sent later than this before the end of the fault may be answered after it. */
const SUBMISSION_ANSWER_MILLISECONDS = 5_500;

function isWithin(at: number, { from, to }: FaultWindow): boolean {
  return at >= from && at < to;
}

function calculateAnsweredFraction(requests: readonly RequestObservation[]): number {
  const answered = requests.filter(({ outcomes }) => outcomes.at(-1)?.kind === 'answered').length;
  return requests.length === 0 ? 0 : answered / requests.length;
}

function countFailures(requests: readonly RequestObservation[]): Record<string, number> {
  const counts: Record<string, number> = {};
  requests.forEach(({ outcomes }) => {
    const last = outcomes.at(-1);
    if (!last || last.kind === 'answered') return;
    const code = last.kind === 'failed' ? last.code : last.kind;
    counts[code] = (counts[code] ?? 0) + 1;
  });
  return counts;
}

function countJobs(jobs: readonly JobObservation[], isCounted: (job: JobObservation) => boolean) {
  return jobs.filter(isCounted).length;
}

function hasFailedFirstSubmission(
  { outcomes: [first] }: JobObservation,
  run: 'not-run' | 'unknown',
): boolean {
  return first?.kind === 'failed' && first.run === run;
}

function isStart(entry: RunEntry): entry is TaskStartedEntry {
  return entry.type === 'task-started';
}

function isEnd(entry: RunEntry): entry is TaskEndedEntry {
  return entry.type === 'task-ended';
}

/** Keys of the service executions that were running at the given time. */
function findRunningServices(
  starts: readonly TaskStartedEntry[],
  ends: readonly TaskEndedEntry[],
  jobs: readonly JobObservation[],
  at: number,
): ReadonlySet<string> {
  const services = new Set(jobs.filter(({ kind }) => kind === 'service').map((job) => job.marker));
  const running = new Set(
    starts
      .filter((start) => start.at < at && start.marker !== null && services.has(start.marker))
      .map(executionKeyOf),
  );
  ends.filter((end) => end.at < at).forEach((end) => running.delete(executionKeyOf(end)));
  return running;
}

function reportExecutions(
  entries: readonly RunEntry[],
  jobs: readonly JobObservation[],
  window: FaultWindow,
) {
  const starts = entries.filter(isStart);
  const ends = entries.filter(isEnd);
  const during = ends.filter((end) => isWithin(end.at, window));
  const services = findRunningServices(starts, ends, jobs, window.from);
  const resumedAt = starts.find((start) => start.at >= window.to)?.at;
  return {
    tasksEnded: during.filter(({ end }) => end === 'succeeded' || end === 'failed').length,
    leasesLapsed: during.filter(({ end }) => end === 'lease-lapsed').length,
    servicesRunning: services.size,
    servicesInterrupted: during.filter(
      (end) => services.has(executionKeyOf(end)) && end.end !== 'stopped',
    ).length,
    resumedAfterMilliseconds: resumedAt === undefined ? null : resumedAt - window.to,
  };
}

function reportStore(samples: readonly StoreSample[], { to }: FaultWindow) {
  const after = samples.filter(({ at }) => at >= to);
  return {
    storeReadsPerSecond: findPeak(after, 'reads'),
    storeWritesPerSecond: findPeak(after, 'writes'),
    storeCallsLimited: (after.at(-1)?.limited ?? 0) - (after[0]?.limited ?? 0),
  };
}

/**
 * Reports what callers, tasks and services experienced during a fault, and the recovery and store calls after it.
 *
 * @param entries record of the stand-ins
 * @param observations what callers saw
 * @param samples cumulative store calls, ordered by time
 * @param window start and end of the fault
 */
export function reportWindow(
  entries: readonly RunEntry[],
  { requests, jobs }: Observations,
  samples: readonly StoreSample[],
  window: FaultWindow,
): WindowReport {
  // Leaves out requests under keys that the operator issues and revokes: they are refused after the revocation.
  const steady = requests.filter(({ keyId }) => !keyId?.startsWith(ISSUED_KEY_PREFIX));
  const before = steady.filter(({ sentAt }) => sentAt < window.from);
  const during = steady.filter(({ sentAt }) => isWithin(sentAt, window));
  const answerable = { from: window.from, to: window.to - SUBMISSION_ANSWER_MILLISECONDS };
  const submitted = jobs.filter(({ sentAt }) => isWithin(sentAt, answerable));
  return {
    requestsBefore: before.length,
    answeredPartBefore: calculateAnsweredFraction(before),
    requestsDuring: during.length,
    answeredPartDuring: calculateAnsweredFraction(during),
    failuresDuring: countFailures(during),
    ...reportExecutions(entries, jobs, window),
    jobsAccepted: countJobs(submitted, ({ outcomes: [first] }) => first?.kind === 'answered'),
    jobsNotRun: countJobs(submitted, (job) => hasFailedFirstSubmission(job, 'not-run')),
    jobsUnknown: countJobs(submitted, (job) => hasFailedFirstSubmission(job, 'unknown')),
    jobsLost: countJobs(submitted, ({ outcomes: [first] }) => first?.kind === 'lost'),
    ...reportStore(samples, window),
  };
}

/**
 * Compares the report on a fault with the expectations.
 *
 * @returns one message per unmet expectation, with the whole report
 */
export function judgeWindow(report: WindowReport, expectations: WindowExpectations): string[] {
  const minimumAnswered = report.answeredPartBefore * expectations.answeredPart;
  const resumed = report.resumedAfterMilliseconds ?? Infinity;
  const rules: readonly (readonly [boolean, string])[] = [
    [
      report.answeredPartDuring >= minimumAnswered,
      'too few requests were answered during the fault',
    ],
    [report.leasesLapsed === 0, 'leases of tasks lapsed during the fault'],
    [report.servicesInterrupted === 0, 'services were interrupted by the fault'],
    [report.jobsLost === 0, 'submissions got no answer during the fault'],
    [expectations.acceptsJobs === report.jobsAccepted > 0, 'jobs accepted during the fault'],
    [resumed <= expectations.resumesWithinMilliseconds, 'tasks did not start soon after the fault'],
    [
      report.storeCallsLimited === 0 &&
        report.storeWritesPerSecond <= STORE_WRITES_PER_SECOND &&
        report.storeReadsPerSecond <= STORE_READS_PER_SECOND,
      'the store was called too often after the fault',
    ],
  ];
  const values = JSON.stringify(report);
  return rules.flatMap(([isMet, text]) => (isMet ? [] : [`${text}: ${values}`]));
}
