import { createSilentLog } from '@chicorybend/common';
import type { CallerAnswer, CallerRequest, StartOrder } from '@chicorybend/scheduler';

import type {
  CrashSoakEvent,
  CrashSoakJob,
  CrashSoakJobState,
  CrashSoakOutcome,
  CrashSoakProfile,
} from '../types/crashSoak.js';
import { createRandom } from '../utils/random.js';
import { checkCrashSoak } from './crashSoakChecks.js';
import type { CrashSoakVerdict } from './crashSoakChecks.js';
import { createCrashSoakFaults } from './crashSoakFaults.js';
import { isDeadlyTask, parseTaskId, planCrashSoakJobs } from './crashSoakJobs.js';
import { CONFIGURATION, createJobSpecification, createSchedulerCell } from './schedulerCell.js';
import type { SchedulerCell } from './schedulerCell.js';

/** Options of a crash soak. */
export interface CrashSoakOptions {
  readonly seed: number;
  /** Kinds of faults; `random` by default. */
  readonly profile?: CrashSoakProfile;
  /** How long jobs and faults begin, in milliseconds of simulated time. */
  readonly faultMilliseconds?: number;
  /** Fraction of jobs with tasks that crash their endpoint, in [0, 1]; 0 by default with the profile `restarts`. */
  readonly deadlyFraction?: number;
  /** Longest time for which endpoints are cut off, in milliseconds. */
  readonly longestCutMilliseconds?: number;
}

const DEFAULT_FAULT_MILLISECONDS = 60_000;
const DEFAULT_DEADLY_FRACTION = 0.1;
export const DEFAULT_LONGEST_CUT_MILLISECONDS = 9_000;
/** Log messages that belong to every trace. */
const TRACED_MESSAGES = [
  'state recovered',
  'endpoint silent',
  'endpoint lost',
  'endpoint incarnation changed',
  'run leases on endpoint expired',
];
const START_MILLISECONDS = 500;
/** Time for the jobs to end after all faults have ended. */
const SETTLE_MILLISECONDS = 120_000;
/** Time after that in which a run that should not exist would be seen. */
const QUIET_MILLISECONDS = 4_000;
const POLL_MILLISECONDS = 1_000;
const RESUBMIT_MILLISECONDS = 400;
const ENDPOINTS = 24;
const RACK_SIZE = 6;
const ADVICE = { callMilliseconds: 20, endpointMilliseconds: 1, ticketMilliseconds: 2_000 };
/** Maximum deviation of the duration of a run from the estimate of its step. */
const DURATION_SPREAD = 0.3;
// Separate random sequences, so that the load does not depend on the faults.
const FAULT_SEED_OFFSET = 1_000_003;
const RUN_SEED_OFFSET = 2_000_003;
const STORE_SEED_OFFSET = 3_000_017;
const ORDER_SEED_OFFSET = 4_000_037;

function isFinal({ status }: CrashSoakJobState): boolean {
  return status === 'completed' || status === 'failed' || status === 'cancelled';
}

/** Ends early once only long-running tasks are left. */
function isSettled(state: CrashSoakJobState): boolean {
  const { job } = state;
  const staysOpen = !job.deadly && job.steps.some(({ isLongRunning }) => isLongRunning);
  return isFinal(state) || (staysOpen && state.isAccepted);
}

function formatTime(milliseconds: number): string {
  return (milliseconds / 1_000).toFixed(3);
}

/** @returns the faults, and the runs and log lines of the jobs in violations, in order of time */
function formatTrace(
  cell: SchedulerCell,
  faults: readonly CrashSoakEvent[],
  logLines: readonly CrashSoakEvent[],
  states: readonly CrashSoakJobState[],
  verdict: CrashSoakVerdict,
): string[] {
  const jobIds = new Set(verdict.violations.map(({ jobId }) => jobId));
  const runs = cell.fleet.history
    .filter(({ taskId }) => jobIds.has(parseTaskId(taskId).jobId))
    .flatMap((run) => {
      const name = `${run.taskId} run ${run.run} on ${run.endpointId}/${run.bornAt} by owner ${run.fencingToken}`;
      const start = { at: run.startedAt, text: `start of ${name}` };
      const end = { at: run.endedAt ?? Infinity, text: `end of ${name}: ${run.kind}` };
      return run.endedAt === null ? [start] : [start, end];
    });
  const jobs = states
    .filter(({ job }) => jobIds.has(job.jobId))
    .map(({ job, status }) => ({
      at: job.submittedAt,
      text: `job ${job.jobId} (${status}): ${JSON.stringify({ steps: job.steps, deadly: job.deadly })}`,
    }));
  const lines = logLines.filter(({ text }) =>
    [...jobIds, ...TRACED_MESSAGES].some((part) => part !== null && text.includes(part)),
  );
  return [...faults, ...jobs, ...runs, ...lines]
    .sort((left, right) => left.at - right.at)
    .map(({ at, text }) => `${formatTime(at)} ${text}`);
}

/**
 * Runs jobs of mixed shape under random faults on a manual clock, and checks the record after all faults have ended:
 * jobs whose tasks crash their endpoints are given up, and others complete.
 */
export async function runCrashSoak(options: CrashSoakOptions): Promise<CrashSoakOutcome> {
  const { seed, profile = 'random', faultMilliseconds = DEFAULT_FAULT_MILLISECONDS } = options;
  const endMilliseconds = START_MILLISECONDS + faultMilliseconds;
  const jobRandom = createRandom(seed);
  const runRandom = createRandom(seed + RUN_SEED_OFFSET);
  const deadlyFraction =
    options.deadlyFraction ?? (profile === 'restarts' ? 0 : DEFAULT_DEADLY_FRACTION);
  const jobs = planCrashSoakJobs(
    jobRandom,
    START_MILLISECONDS,
    endMilliseconds,
    deadlyFraction,
    profile,
  );
  const states: CrashSoakJobState[] = jobs.map((job) => ({ job, isAccepted: false, status: null }));
  const jobsById = new Map(jobs.map((job) => [job.jobId, job]));
  const events: CrashSoakEvent[] = [];
  const logLines: CrashSoakEvent[] = [];
  const log = createSilentLog();
  log.attachTransport((line) => {
    const [message, details] = [line[0], line[1]];
    const text = `log: ${String(message)} ${JSON.stringify(details)}`;
    logLines.push({ at: clock.monotonicMilliseconds(), text });
  });

  function stepOf({ taskId }: StartOrder) {
    const position = parseTaskId(taskId);
    const job = jobsById.get(position.jobId)!;
    return { job, position, step: job.steps[position.step]! };
  }

  const cell = createSchedulerCell(
    {
      count: ENDPOINTS,
      rackSize: RACK_SIZE,
      durationOf(order) {
        const { isLongRunning, estimatedMilliseconds = 0 } = stepOf(order).step;
        if (isLongRunning) return Infinity;
        return estimatedMilliseconds * (1 + DURATION_SPREAD * (2 * runRandom.fraction() - 1));
      },
      resourcesOf: (order) => stepOf(order).step.resources!,
      gangOf(order) {
        const { job, position, step } = stepOf(order);
        const { isGang = false, count: size = 1 } = step;
        return isGang ? { gangId: `${job.jobId}.${position.step}`, size } : null;
      },
      crashDelayOf(order) {
        const { job, position } = stepOf(order);
        if (!isDeadlyTask(job, position)) return null;
        const { delayMilliseconds } = job.deadly!;
        faults.onRunCrash(delayMilliseconds);
        return delayMilliseconds;
      },
      random: createRandom(seed + ORDER_SEED_OFFSET).fraction,
      onLateOrder({ text, target, sentAt, sentToBornAt, receivedByBornAt }) {
        report(
          `late ${text} of owner ${target.fencingToken}, sent at ${formatTime(sentAt)} to ` +
            `${target.endpointId}/${sentToBornAt}, reaches ${receivedByBornAt}`,
        );
      },
    },
    createRandom(seed + STORE_SEED_OFFSET).fraction,
    log,
  );
  const { clock } = cell;
  function report(text: string): void {
    events.push({ at: clock.monotonicMilliseconds(), text });
  }
  const [queue] = CONFIGURATION.queues;
  const advice = jobRandom.chance(0.5) ? ADVICE : null;
  cell.configuration = { ...CONFIGURATION, queues: [{ ...queue!, advice }] };
  const faults = createCrashSoakFaults({
    cell,
    random: createRandom(seed + FAULT_SEED_OFFSET),
    profile,
    endMilliseconds,
    longestCutMilliseconds: options.longestCutMilliseconds ?? DEFAULT_LONGEST_CUT_MILLISECONDS,
    report,
  });

  async function call(
    job: CrashSoakJob,
    action: CallerRequest['action'],
  ): Promise<CallerAnswer | null> {
    const term = cell.currentTerm();
    if (!term) return null;
    return term.handle({
      action,
      host: queue!.host,
      path: `${queue!.pathPrefix}${job.jobId}`,
      key: CONFIGURATION.teams[0]!.keys[0]!,
      specification: action === 'submit' ? createJobSpecification(...job.steps) : null,
      bodyBytes: 100,
    });
  }

  /** Repeats the submission until it is accepted. */
  async function submit(state: CrashSoakJobState): Promise<void> {
    const answer = await call(state.job, 'submit');
    if (answer?.kind === 'accepted') state.isAccepted = true;
    else submitAfter(state, RESUBMIT_MILLISECONDS);
  }

  function submitAfter(state: CrashSoakJobState, milliseconds: number): void {
    clock.setTimer(() => {
      void submit(state);
    }, milliseconds);
  }

  async function poll(state: CrashSoakJobState): Promise<void> {
    const answer = await call(state.job, 'status');
    if (answer?.kind === 'status') state.status = answer.status;
  }

  async function advance(milliseconds: number, canEnd: () => boolean): Promise<void> {
    const until = clock.monotonicMilliseconds() + milliseconds;
    while (clock.monotonicMilliseconds() < until && !canEnd()) {
      await cell.advance(POLL_MILLISECONDS);
      const open = states.filter((state) => state.isAccepted && !isFinal(state));
      open.forEach((state) => {
        void poll(state);
      });
    }
  }

  states.forEach((state) => submitAfter(state, state.job.submittedAt));
  faults.start();
  await advance(endMilliseconds, () => false);
  faults.heal();
  await advance(SETTLE_MILLISECONDS, () => states.every(isSettled));
  await advance(QUIET_MILLISECONDS, () => false);

  const verdict = checkCrashSoak(cell, states, faults.causes);
  const crashed = cell.fleet.history.filter(({ kind }) => kind === 'crashed');
  return {
    seed,
    violations: verdict.violations.map(({ text }) => text),
    trace:
      verdict.violations.length > 0 ? formatTrace(cell, events, logLines, states, verdict) : [],
    jobs: jobs.length,
    deadlyJobs: jobs.filter(({ deadly }) => deadly !== null).length,
    crashes: new Set(crashed.map(({ endpointId, bornAt }) => `${endpointId}/${bornAt}`)).size,
    runs: cell.fleet.history.length,
    unluckyJobs: verdict.unluckyJobs,
    milliseconds: clock.monotonicMilliseconds(),
  };
}

/** @returns a line about a crash soak */
export function formatCrashSoak(outcome: CrashSoakOutcome): string {
  const { seed, violations, jobs, deadlyJobs, crashes, runs, unluckyJobs } = outcome;
  return (
    `seed ${seed}: ${violations.length} violations; ${jobs} jobs (${deadlyJobs} crash endpoints), ${runs} runs, ` +
    `${crashes} crashes with runs, ${unluckyJobs} sound jobs given up after unrelated crashes, ` +
    `${formatTime(outcome.milliseconds)} s`
  );
}
