import { createFailure, hashText, sleep, TIMED_OUT, withTimeout } from '@chicorybend/common';
import type { Failure, FailureOptions } from '@chicorybend/common';

import type { CallerAnswer, CallerRequest } from '../types/caller.js';
import type { ClusterConfiguration, JobQueueSettings, TeamQuota } from '../types/configuration.js';
import type { JobRecord } from '../types/jobRecord.js';
import type { JobStatus } from '../types/job.js';
import type { TermContext } from '../types/termContext.js';
import { specificationKey } from '../utils/storeKeys.js';
import { createJobRecord, encodeAccepted } from './jobRecords.js';
import type { JobAdmission } from './jobAdmission.js';
import { countRequiredTasks } from './jobSize.js';
import type { TaskTransitions } from './taskTransitions.js';

/** Maximum time in which a configuration that is too old is read again for a call. */
const CONFIGURATION_WAIT_MILLISECONDS = 500;
/** Delay before such a read is repeated. */
const CONFIGURATION_RETRY_MILLISECONDS = 50;
/** A job is refused if it has not been sent to the store within this time. */
const ACCEPT_TIMEOUT_MILLISECONDS = 1_000;
/** Time until the caller is told that it is unknown whether the change is durable. */
const DURABILITY_TIMEOUT_MILLISECONDS = 2_500;
/** Time in which answers that have arrived are read, also by a busy process. */
const UNREAD_ANSWER_MILLISECONDS = 20;
const RETRY_AFTER_MILLISECONDS = 1_000;
const HASH_RANGE = 2 ** 32;
const JOB_ID = /^[0-9a-f]{16}$/;
const JOB_ID_LENGTH = 16;

/** Spreads the times at which callers come back over twice the wait, so that they form no wave. */
function spread(jobId: string, milliseconds: number): number {
  return Math.round(milliseconds * (1 + (2 * hashText(jobId)) / HASH_RANGE));
}

/** Handles requests of API callers, at the owner. */
export interface CallerService {
  handle(request: CallerRequest): Promise<CallerAnswer>;
}

export interface CallerServiceOptions {
  readonly context: TermContext;
  readonly transitions: TaskTransitions;
  readonly admission: JobAdmission;
  /** @returns time since the last successful read of the configuration began, in milliseconds */
  readonly configurationAge: () => number;
  /** Reads the configuration now. @returns resolves to whether that succeeded */
  readonly readConfiguration: () => Promise<boolean>;
  /** @returns whether the store has answered this process lately, as far as its clocks tell */
  readonly mayStoreAnswer: () => boolean;
  /** A call is judged by a configuration whose read began at most this long ago, in milliseconds. */
  readonly maximumConfigurationAgeMilliseconds: number;
  /** Called once the acceptance of a job is durable. */
  /** Restores a job that is stored but not among the jobs of the term yet; no effect on others. */
  readonly restoreStoredJob: (jobId: string) => void;
  readonly onAccepted: (job: JobRecord) => void;
}

/** @returns the queue whose host and path prefix match a request, the longest prefix first; null if none matches */
export function matchQueue(
  configuration: ClusterConfiguration,
  host: string,
  path: string,
): JobQueueSettings | null {
  const matching = configuration.queues.filter(
    (queue) => queue.host === host && path.startsWith(queue.pathPrefix),
  );
  return matching.reduce<JobQueueSettings | null>(
    (best, queue) => (best && best.pathPrefix.length >= queue.pathPrefix.length ? best : queue),
    null,
  );
}

/** @returns the state of a job for callers; a final state is reported only once it is durable */
export function describeStatus(job: JobRecord): JobStatus {
  if (job.durablePhase !== 'open') return job.durablePhase;
  return job.hasStarted ? 'running' : 'pending';
}

export function createCallerService(options: CallerServiceOptions): CallerService {
  const { context, transitions } = options;
  const { clock, log, metrics, jobs, commits } = context;
  /** By job id: jobs whose acceptance is not durable yet. */
  const pendingAcceptances = new Map<string, { job: JobRecord; durable: Promise<boolean> }>();
  let isRefusingForAge = false;
  /** Read of the configuration that calls wait for; null if there is none. */
  let sharedRead: Promise<boolean> | null = null;

  function refuse(
    code: Parameters<typeof createFailure>[0],
    values: Record<string, string | number> = {},
    failureOptions: FailureOptions = {},
  ): CallerAnswer {
    metrics.count('calls_refused');
    const failure: Failure = createFailure(code, values, failureOptions);
    return { kind: 'failed', failure };
  }

  function findTeam(configuration: ClusterConfiguration, key: string): TeamQuota | undefined {
    return configuration.teams.find(({ keys }) => keys.includes(key));
  }

  function isConfigurationFresh(): boolean {
    return options.configurationAge() <= options.maximumConfigurationAgeMilliseconds;
  }

  /** Logs once that calls are refused for the age of the configuration, and once that they no longer are. */
  function noteFreshness(isFresh: boolean): void {
    if (isFresh === !isRefusingForAge) return;
    isRefusingForAge = !isFresh;
    log.info(isFresh ? 'configuration is current again' : 'configuration is too old for calls', {
      version: context.configuration().version,
      ageMilliseconds: Math.round(options.configurationAge()),
      isOwnerLeaseValid: context.isOwnerLeaseValid(),
    });
  }

  /** All calls that wait share a read. */
  function readConfiguration(): Promise<boolean> {
    sharedRead ??= options.readConfiguration().finally(() => {
      sharedRead = null;
    });
    return sharedRead;
  }

  /** Once a call has waited in vain, others are refused at once until a periodic read has succeeded. */
  async function refreshConfiguration(): Promise<void> {
    const endsAt = clock.monotonicMilliseconds() + CONFIGURATION_WAIT_MILLISECONDS;
    while (!isConfigurationFresh() && !isRefusingForAge && options.mayStoreAnswer()) {
      const remaining = endsAt - clock.monotonicMilliseconds();
      if (remaining <= 0) return;
      const outcome = await withTimeout(clock, readConfiguration(), remaining);
      if (outcome === false) await sleep(clock, CONFIGURATION_RETRY_MILLISECONDS);
    }
  }

  function countWaiting(queue: string): number {
    let count = 0;
    jobs.forEach((job) => {
      const isWaiting = job.queue === queue && job.phase === 'open' && !job.hasStarted;
      if (isWaiting && !job.specification.schedule) count += 1;
    });
    return count;
  }

  /** An owner that is late without any work is slowed down by others, which refusing a job does not change. */
  function hasOtherWork(): boolean {
    if (pendingAcceptances.size > 0) return true;
    for (const { phase } of jobs.values()) if (phase === 'open') return true;
    return false;
  }

  /** @returns why a job cannot be made durable in time, as far as that is known before it is staged; null if it can */
  function findBottleneck(): 'owner-overloaded' | 'store-unavailable' | null {
    if (context.lateness.shedding() === 'new-jobs' && hasOtherWork()) return 'owner-overloaded';
    return commits.expectedWaitMilliseconds() > ACCEPT_TIMEOUT_MILLISECONDS
      ? 'store-unavailable'
      : null;
  }

  function refuseUnstaged(jobId: string, code: 'owner-overloaded' | 'store-unavailable') {
    const waitMilliseconds = Math.round(commits.expectedWaitMilliseconds());
    if (code === 'owner-overloaded') metrics.count('jobs_refused_by_late_owner');
    log.info('job refused', {
      job: jobId,
      reason: code === 'owner-overloaded' ? 'owner is late' : 'store is not answering',
      latePercent: Math.round(100 * context.lateness.lateShare()),
      expectedWait: waitMilliseconds,
    });
    const retry = Math.max(RETRY_AFTER_MILLISECONDS, waitMilliseconds);
    return refuse(
      code,
      {},
      { retryAfterMilliseconds: code === 'owner-overloaded' ? spread(jobId, retry) : retry },
    );
  }

  /** @returns whether the acceptance is durable; an answer that has arrived by the limit is read before it counts */
  async function awaitDurable(durable: Promise<boolean>, milliseconds: number) {
    const outcome = await withTimeout(clock, durable, milliseconds);
    return outcome === TIMED_OUT
      ? withTimeout(clock, durable, UNREAD_ANSWER_MILLISECONDS)
      : outcome;
  }

  async function awaitAcceptance(jobId: string): Promise<CallerAnswer> {
    const entry = pendingAcceptances.get(jobId);
    if (!entry) return { kind: 'accepted' };
    const first = await awaitDurable(entry.durable, ACCEPT_TIMEOUT_MILLISECONDS);
    const isRefused = first === TIMED_OUT && commits.withdraw(specificationKey(jobId));
    if (isRefused) return refuseUnstaged(jobId, findBottleneck() ?? 'store-unavailable');
    const remainingMilliseconds = DURABILITY_TIMEOUT_MILLISECONDS - ACCEPT_TIMEOUT_MILLISECONDS;
    const second =
      first === TIMED_OUT ? await awaitDurable(entry.durable, remainingMilliseconds) : first;
    if (second === true) return { kind: 'accepted' };
    // The term ended before the write was sent; the next owner may accept the job.
    const isUnsent = second === false && commits.wasUnsent(specificationKey(jobId));
    return refuse(isUnsent ? 'not-ready' : 'acceptance-unknown');
  }

  function stageAcceptance(job: JobRecord): void {
    const { jobId, queue } = job;
    const startedAt = clock.monotonicMilliseconds();
    const durable = commits.stage(specificationKey(jobId), () => encodeAccepted(job));
    pendingAcceptances.set(jobId, { job, durable });
    void durable.then((isDurable) => {
      pendingAcceptances.delete(jobId);
      if (!isDurable) return;
      jobs.set(jobId, job);
      metrics.count('jobs_accepted');
      metrics.record('accept_milliseconds', clock.monotonicMilliseconds() - startedAt);
      log.info('job accepted', {
        job: jobId,
        queue,
        team: job.team,
        steps: job.specification.steps.map(({ count }) => count),
      });
      options.onAccepted(job);
    });
  }

  async function submit(
    jobId: string,
    queue: JobQueueSettings,
    team: TeamQuota | null,
    request: CallerRequest,
  ): Promise<CallerAnswer> {
    const known = jobs.get(jobId) ?? pendingAcceptances.get(jobId)?.job;
    const teamName = team?.name ?? '';
    if (known && (known.queue !== queue.name || known.team !== teamName)) {
      return refuse('team-not-allowed', { team: teamName, queue: queue.name });
    }
    if (known) return awaitAcceptance(jobId);
    const tasks = countRequiredTasks(request.specification!);
    const limit = context.maximumOpenTasks;
    if (tasks > limit) {
      log.info('job refused', { job: jobId, reason: 'too large', tasks, limit });
      return refuse('job-too-large', { tasks, limit });
    }
    const bottleneck = findBottleneck();
    if (bottleneck) return refuseUnstaged(jobId, bottleneck);
    const job = createJobRecord({
      jobId,
      queue: queue.name,
      team: teamName,
      acceptedAt: clock.wallMilliseconds(),
      admission: { queue, teamLimit: team?.limit ?? null },
      specification: request.specification!,
    });
    const refusal = options.admission.refusalOf(job, queue);
    if (refusal) {
      metrics.count('calls_refused');
      return { kind: 'failed', failure: refusal };
    }
    stageAcceptance(job);
    return awaitAcceptance(jobId);
  }

  async function cancel(job: JobRecord): Promise<CallerAnswer> {
    const isDurable = await withTimeout(
      clock,
      transitions.closeJob(job, 'cancelled'),
      DURABILITY_TIMEOUT_MILLISECONDS,
    );
    return isDurable === true ? { kind: 'cancelled' } : refuse('acceptance-unknown');
  }

  /** A process whose lease may have ended does not know the jobs that its successor has accepted. */
  function reportAbsence(): CallerAnswer {
    return context.isOwnerLeaseValid() ? { kind: 'no-job' } : refuse('not-ready');
  }

  async function handleJob(
    jobId: string,
    queue: JobQueueSettings,
    team: TeamQuota | null,
    request: CallerRequest,
  ): Promise<CallerAnswer> {
    if (!JOB_ID.test(jobId)) {
      return request.action === 'submit' ? refuse('invalid-body') : { kind: 'no-job' };
    }
    options.restoreStoredJob(jobId);
    if (request.action === 'submit') return submit(jobId, queue, team, request);
    const unresolved = pendingAcceptances.get(jobId);
    if (unresolved) await withTimeout(clock, unresolved.durable, DURABILITY_TIMEOUT_MILLISECONDS);
    const job = jobs.get(jobId);
    if (!job && pendingAcceptances.has(jobId)) return refuse('acceptance-unknown');
    if (!job) return reportAbsence();
    if (job.queue !== queue.name) return { kind: 'no-job' };
    if (!queue.isPublic && job.team !== team?.name) {
      return refuse('team-not-allowed', { team: team?.name ?? '', queue: queue.name });
    }
    if (request.action === 'cancel') return cancel(job);
    return { kind: 'status', status: describeStatus(job) };
  }

  async function handleRequest(request: CallerRequest): Promise<CallerAnswer> {
    if (!isConfigurationFresh()) await refreshConfiguration();
    const isFresh = isConfigurationFresh();
    noteFreshness(isFresh);
    if (!isFresh) {
      if (context.hasEnded()) return refuse('not-ready');
      return refuse(
        'configuration-not-fresh',
        {},
        { retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS },
      );
    }
    const configuration = context.configuration();
    const queue = matchQueue(configuration, request.host, request.path);
    if (!queue) return refuse('unknown-queue', { queue: request.path });
    const team = findTeam(configuration, request.key);
    if (!team && !queue.isPublic) {
      return refuse(request.key ? 'wrong-key' : 'missing-key', { queue: queue.name });
    }
    if (request.bodyBytes > configuration.maximumBodyBytes) {
      return refuse('body-too-large', { limit: configuration.maximumBodyBytes });
    }
    const rest = request.path.slice(queue.pathPrefix.length);
    if (rest === '' && request.action === 'status') {
      return { kind: 'waiting', count: countWaiting(queue.name) };
    }
    return handleJob(rest, queue, team ?? null, request);
  }

  /** @returns whether the request, or an earlier attempt at a former owner, has taken effect or may still */
  function mayHaveTakenEffect({ action, path }: CallerRequest): boolean {
    const jobId = path.slice(-JOB_ID_LENGTH);
    options.restoreStoredJob(jobId);
    const job = jobs.get(jobId) ?? pendingAcceptances.get(jobId)?.job;
    return action === 'cancel' ? job?.phase === 'cancelled' : job !== undefined;
  }

  return {
    async handle(request) {
      const answer = await handleRequest(request);
      if (answer.kind !== 'failed') return answer;
      return { ...answer, isWithoutEffect: !mayHaveTakenEffect(request) };
    },
  };
}
