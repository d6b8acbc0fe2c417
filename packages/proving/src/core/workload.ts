import type { JobKind, JobRequest, JobState, JobView } from '@chicorybend/common';
import { createSystemClock, sleep } from '@chicorybend/common';

import type {
  CallOutcome,
  JobObservation,
  Observations,
  RequestObservation,
  RevokedKey,
  TeamLimit,
} from '../types/observation.js';
import type { JobPlan, RequestPlan } from '../types/workPlan.js';
import type { SubmitOptions, WorkCaller } from './workCaller.js';
import { createIdempotencyKey } from './workCaller.js';

/** Daemon that a call is sent to. */
export interface CallTarget {
  readonly id: string;
  readonly apiAddress: string;
}

/** Reference to a submitted job for later calls. */
export interface JobHandle {
  readonly plan: JobPlan;
  readonly marker: string;
  /** Null as long as its caller has received no acceptance. */
  readonly jobId: string | null;
}

/** Sends requests and jobs and records what their callers observe. */
export interface Workload {
  /** Sends a request; if its outcome is unknown, retries once with the same idempotency key at a new target. */
  sendRequest(plan: RequestPlan): Promise<RequestObservation>;
  /** Submits a job; retries with the same idempotency key until accepted or refused for good, for at most 45 s. */
  submitJob(plan: JobPlan): Promise<JobHandle>;
  /** Cancels a job and retries until it is answered, for at most 45 s; true if the cancellation succeeded. */
  cancelJob(handle: JobHandle): Promise<boolean>;
  /**
   * Waits until all accepted jobs of the given kinds have ended, and records their last state.
   *
   * @returns whether all have ended within the limit, in milliseconds
   */
  waitForJobs(kinds: readonly JobKind[], limitMilliseconds: number): Promise<boolean>;
  /** @returns handles of all submitted jobs, also of those not accepted */
  handles(): readonly JobHandle[];
  /** @returns what callers observed, as input of the checks, with the given limits and revoked keys */
  observations(limits: readonly TeamLimit[], revokedKeys?: readonly RevokedKey[]): Observations;
}

/** Options of a workload. */
export interface WorkloadOptions {
  readonly caller: WorkCaller;
  /** Chooses the daemon of the next call, as the platform's load balancer does. */
  readonly pickTarget: () => CallTarget;
  /** Wall-clock time in milliseconds since the Unix epoch; the same clock as that of the record. */
  readonly now: () => number;
}

interface TrackedJob {
  readonly handle: { plan: JobPlan; marker: string; jobId: string | null };
  readonly sentAt: number;
  readonly outcomes: CallOutcome<{ jobId: string }>[];
  finalView: JobView | null;
}

const REQUEST_ATTEMPTS = 2;
// Lets a run end even if no daemon answers; longer than any random fault of a soak.
const JOB_CALLS_LIMIT_MILLISECONDS = 45_000;
const JOB_RETRY_MILLISECONDS = 500;
const JOB_WAIT_MILLISECONDS = 2_000;
const STATUS_UNAVAILABLE = 503;
const FINAL_STATES: ReadonlySet<JobState> = new Set([
  'succeeded',
  'failed',
  'cancelled',
  'unknown',
  'held',
]);

function isOutcomeUnknown(outcome: CallOutcome<unknown>): boolean {
  return outcome.kind === 'lost' || (outcome.kind === 'failed' && outcome.run === 'unknown');
}

function isRetryable(outcome: CallOutcome<unknown>): boolean {
  return (
    isOutcomeUnknown(outcome) ||
    (outcome.kind === 'failed' && outcome.status === STATUS_UNAVAILABLE)
  );
}

function toJobRequest(plan: JobPlan, marker: string): JobRequest {
  return {
    queue: plan.queue,
    kind: plan.kind,
    tasks: plan.tasks,
    resources: plan.resources,
    idempotent: plan.isIdempotent,
    urgent: plan.isUrgent,
    expectedRunMilliseconds: plan.declaredMilliseconds ?? plan.runMilliseconds ?? 1_000,
    payload: { runMilliseconds: plan.runMilliseconds, result: resultFor(marker), marker },
  };
}

/** Result that is unique to a request or job, so that a mixed-up answer is detected. */
function resultFor(marker: string): object {
  return { answerTo: marker };
}

/** Key text is `cb_<keyId>_<secret>`. */
function keyIdOf(keyText: string | null): string | null {
  return keyText?.split('_')[1] ?? null;
}

function submitOptionsOf(keyText: string | null, idempotencyKey: string): SubmitOptions {
  return keyText === null ? { idempotencyKey } : { keyText, idempotencyKey };
}

function toObservation(tracked: TrackedJob): JobObservation {
  const { plan, marker } = tracked.handle;
  const { team, queue, kind, tasks, isIdempotent } = plan;
  const { sentAt, outcomes, finalView } = tracked;
  const expectedResult = resultFor(marker);
  return {
    marker,
    team,
    queue,
    kind,
    tasks,
    isIdempotent,
    expectedResult,
    sentAt,
    outcomes,
    finalView,
  };
}

export function createWorkload(options: WorkloadOptions): Workload {
  const { caller, pickTarget, now } = options;
  const clock = createSystemClock();
  const requests: RequestObservation[] = [];
  const jobs: TrackedJob[] = [];
  let markerCount = 0;

  function createMarker(): string {
    markerCount += 1;
    return `work-${markerCount}`;
  }

  async function sendRequest(plan: RequestPlan): Promise<RequestObservation> {
    const marker = createMarker();
    const expectedResult = resultFor(marker);
    const { serviceMilliseconds, deadlineMilliseconds, queue, team, isIdempotent } = plan;
    const body = {
      queue,
      idempotent: isIdempotent,
      deadlineMilliseconds,
      payload: { serviceMilliseconds, result: expectedResult, marker },
    };
    const submit = submitOptionsOf(plan.keyText, createIdempotencyKey());
    const outcomes: RequestObservation['outcomes'][number][] = [];
    const sentAt = now();
    const target = pickTarget();
    for (let attempt = 0; attempt < REQUEST_ATTEMPTS; attempt += 1) {
      const { apiAddress } = attempt === 0 ? target : pickTarget();
      const outcome = await caller.submitRequest(apiAddress, body, submit);
      outcomes.push(outcome);
      if (!isOutcomeUnknown(outcome)) break;
    }
    const observation = {
      marker,
      team,
      queue,
      keyId: keyIdOf(plan.keyText),
      daemonId: target.id,
      isIdempotent,
      expectedResult,
      sentAt,
      endedAt: now(),
      outcomes,
    };
    requests.push(observation);
    return observation;
  }

  async function submitJob(plan: JobPlan): Promise<JobHandle> {
    const marker = createMarker();
    const handle: TrackedJob['handle'] = { plan, marker, jobId: null };
    const tracked: TrackedJob = { handle, sentAt: now(), outcomes: [], finalView: null };
    const body = toJobRequest(plan, marker);
    const submit = submitOptionsOf(plan.keyText, createIdempotencyKey());
    jobs.push(tracked);
    const until = now() + JOB_CALLS_LIMIT_MILLISECONDS;
    while (now() < until) {
      const outcome = await caller.submitJob(pickTarget().apiAddress, body, submit);
      tracked.outcomes.push(outcome);
      if (outcome.kind === 'answered') handle.jobId = outcome.value.jobId;
      if (!isRetryable(outcome)) break;
      await sleep(clock, JOB_RETRY_MILLISECONDS);
    }
    return handle;
  }

  async function cancelJob({ jobId, plan }: JobHandle): Promise<boolean> {
    if (jobId === null) return false;
    const until = now() + JOB_CALLS_LIMIT_MILLISECONDS;
    while (now() < until) {
      const { apiAddress } = pickTarget();
      const outcome = await caller.cancelJob(apiAddress, jobId, plan.keyText ?? undefined);
      if (!isRetryable(outcome)) return outcome.kind === 'answered';
      await sleep(clock, JOB_RETRY_MILLISECONDS);
    }
    return false;
  }

  async function updateFinalView(tracked: TrackedJob, waitMilliseconds: number): Promise<void> {
    const { jobId, plan } = tracked.handle;
    if (jobId === null) return;
    const { apiAddress } = pickTarget();
    const keyText = plan.keyText ?? undefined;
    const outcome = await caller.waitForJob(apiAddress, jobId, waitMilliseconds, keyText);
    if (outcome.kind === 'answered') Object.assign(tracked, { finalView: outcome.value });
  }

  function hasEnded(tracked: TrackedJob): boolean {
    return tracked.finalView !== null && FINAL_STATES.has(tracked.finalView.state);
  }

  async function waitForFinalState(tracked: TrackedJob, until: number): Promise<boolean> {
    while (!hasEnded(tracked)) {
      const remaining = until - now();
      if (remaining <= 0) return false;
      await updateFinalView(tracked, Math.min(JOB_WAIT_MILLISECONDS, remaining));
      if (!hasEnded(tracked)) await sleep(clock, JOB_RETRY_MILLISECONDS);
    }
    return true;
  }

  return {
    sendRequest,
    submitJob,
    cancelJob,
    async waitForJobs(kinds, limitMilliseconds) {
      const until = now() + limitMilliseconds;
      const accepted = jobs.filter(
        ({ handle }) => handle.jobId !== null && kinds.includes(handle.plan.kind),
      );
      const ended = await Promise.all(accepted.map((tracked) => waitForFinalState(tracked, until)));
      return ended.every(Boolean);
    },
    handles: () => jobs.map(({ handle }) => handle),
    observations: (limits, revokedKeys = []) => ({
      requests,
      jobs: jobs.map(toObservation),
      limits,
      revokedKeys,
    }),
  };
}
