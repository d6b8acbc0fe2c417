import { createFailure, Err, Ok, partitionOf } from '@chicorybend/common';
import type { Clock, Failure, JobRequest, JobView, Result } from '@chicorybend/common';

import type { ConfigurationView } from '../types/configurationView.js';
import type { PartitionDirectory } from '../types/partition.js';
import { hashBody } from '../utils/bodyHash.js';
import { assertAuthorized, authorizeJobCall, authorizeQueueUse } from './callerAccess.js';
import type { OwnerCaller } from './ownerCall.js';

export interface CallerJobsOptions {
  readonly clock: Clock;
  readonly configuration: ConfigurationView;
  readonly directory: PartitionDirectory;
  readonly callOwner: OwnerCaller;
  /** Time limit of a job call, in milliseconds. */
  readonly deadlineMilliseconds: number;
  /** @returns whether the daemon drains, so that waiting calls return early */
  readonly isDraining: () => boolean;
}

/** Reference to an accepted job, with the credentials of the caller. */
export interface JobCall {
  readonly jobId: string;
  readonly authorization: string | null;
}

/** Submission of a job by a caller. */
export interface JobSubmission {
  readonly request: JobRequest;
  readonly authorization: string | null;
  readonly idempotencyKey: string | null;
}

/** Calls with which callers submit, read and cancel jobs; forwarded to the owner of the job's partition. */
export interface CallerJobs {
  submit(submission: JobSubmission): Promise<Result<{ jobId: string }, Failure>>;
  read(call: JobCall): Promise<Result<JobView, Failure>>;
  /** Returns the job when it has ended, or in its present state after `waitMilliseconds` or when a drain starts. */
  wait(call: JobCall, waitMilliseconds: number): Promise<Result<JobView, Failure>>;
  cancel(call: JobCall): Promise<Result<JobView, Failure>>;
}

/**
 * Longest single `job.wait` call to an owner. Longer waits repeat the call, so that a handover or a drain delays
 * the caller by no more than this.
 */
const MAXIMUM_OWNER_WAIT_MILLISECONDS = 2_000;

/** Printable ASCII without spaces. */
const JOB_KEY_PATTERN = /^[\x21-\x7e]{1,200}$/;

const JOB_ID_PATTERN = /^(\d{1,4})-[0-9a-f]{8}(?:-[0-9a-f]{4}){3}-[0-9a-f]{12}$/;

const ENDED_STATES: ReadonlySet<JobView['state']> = new Set([
  'succeeded',
  'failed',
  'cancelled',
  'unknown',
]);

function checkJobKey(key: string | null): Result<string, Failure> {
  if (key === null) {
    const reason = 'a job is accepted once per key';
    return Err(createFailure('idempotency-key-required', { reason }));
  }
  if (JOB_KEY_PATTERN.test(key)) return Ok(key);
  const reason = 'must be 1 to 200 printable characters without spaces';
  return Err(createFailure('invalid-header', { header: 'idempotency-key', reason }));
}

/**
 * Creates the job calls. Each authorizes the caller against the configuration in effect before it contacts the
 * owner.
 */
export function createCallerJobs(options: CallerJobsOptions): CallerJobs {
  const { clock, configuration, directory, callOwner } = options;

  function deadline(): number {
    return clock.monotonicMilliseconds() + options.deadlineMilliseconds;
  }

  function parsePartition(jobId: string): Result<number, Failure> {
    const partition = Number(JOB_ID_PATTERN.exec(jobId)?.[1] ?? Number.NaN);
    if (partition < directory.partitionCount) return Ok(partition);
    return Err(createFailure('unknown-job', { jobId }));
  }

  async function submit(submission: JobSubmission): Promise<Result<{ jobId: string }, Failure>> {
    const { request, authorization } = submission;
    const access = authorizeQueueUse(configuration, request.queue, request.kind, authorization);
    if (access.isErr()) return access;
    const key = checkJobKey(submission.idempotencyKey);
    if (key.isErr()) return key;
    const { team } = access.value;
    assertAuthorized(access.value, request.queue, authorization);
    const partition = partitionOf(`${team}/${key.value}`, directory.partitionCount);
    const params = {
      partition,
      team,
      idempotencyKey: key.value,
      bodyHash: hashBody(request),
      request,
    };
    return callOwner({ partition, method: 'job.submit', params, deadlineAt: deadline() });
  }

  /** Callers without a key see only jobs of open queues. */
  function isVisible(view: JobView, isKeyed: boolean): boolean {
    return isKeyed || configuration.current()?.queues[view.queue]?.access === 'open';
  }

  /** Looks the job up under each team of the caller; the owner reports a job of another team as unknown. */
  async function findVisibleJob(
    call: JobCall,
  ): Promise<Result<{ view: JobView; partition: number }, Failure>> {
    const access = authorizeJobCall(configuration, call.authorization);
    if (access.isErr()) return access;
    const partition = parsePartition(call.jobId);
    if (partition.isErr()) return partition;
    const deadlineAt = deadline();
    for (const team of access.value.teams) {
      const params = { jobId: call.jobId, team };
      const answer = await callOwner({
        partition: partition.value,
        method: 'job.read',
        params,
        deadlineAt,
      });
      const isUnknownToTeam = answer.isErr() && answer.error.code === 'unknown-job';
      if (answer.isErr() && !isUnknownToTeam) return answer;
      if (answer.isOk() && isVisible(answer.value, access.value.hasKey)) {
        return Ok({ view: answer.value, partition: partition.value });
      }
    }
    return Err(createFailure('unknown-job', { jobId: call.jobId }));
  }

  async function wait(call: JobCall, waitMilliseconds: number): Promise<Result<JobView, Failure>> {
    const found = await findVisibleJob(call);
    if (found.isErr()) return found;
    const { partition } = found.value;
    let { view } = found.value;
    const waitDeadline = clock.monotonicMilliseconds() + waitMilliseconds;
    for (;;) {
      const remaining = waitDeadline - clock.monotonicMilliseconds();
      if (ENDED_STATES.has(view.state) || remaining <= 0 || options.isDraining()) return Ok(view);
      const ownerWaitMilliseconds = Math.min(remaining, MAXIMUM_OWNER_WAIT_MILLISECONDS);
      const params = {
        jobId: call.jobId,
        team: view.team,
        waitMilliseconds: ownerWaitMilliseconds,
      };
      const answer = await callOwner({
        partition,
        method: 'job.wait',
        params,
        deadlineAt: deadline() + ownerWaitMilliseconds,
      });
      if (answer.isErr()) return answer;
      view = answer.value;
    }
  }

  async function cancel(call: JobCall): Promise<Result<JobView, Failure>> {
    const found = await findVisibleJob(call);
    if (found.isErr()) return found;
    const { view, partition } = found.value;
    const params = { jobId: call.jobId, team: view.team };
    return callOwner({ partition, method: 'job.cancel', params, deadlineAt: deadline() });
  }

  return {
    submit,
    read: async (call) => (await findVisibleJob(call)).map(({ view }) => view),
    wait,
    cancel,
  };
}
