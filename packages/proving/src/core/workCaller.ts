import { v7 as createUuidVersion7 } from 'uuid';

import type {
  InteractiveRequest,
  InteractiveResponse,
  JobRequest,
  JobView,
} from '@chicorybend/common';

import type { CallOutcome } from '../types/observation.js';
import { createHttpCaller } from './httpCaller.js';

/** Key and idempotency key of a submission. */
export interface SubmitOptions {
  /** Text of the caller's key; absent on open queues. */
  readonly keyText?: string;
  /** A new one by default. */
  readonly idempotencyKey?: string;
}

/** HTTP client for requests and jobs; each call goes to the daemon at the given base address. */
export interface WorkCaller {
  submitRequest(
    address: string,
    request: InteractiveRequest,
    options?: SubmitOptions,
  ): Promise<CallOutcome<InteractiveResponse>>;
  submitJob(
    address: string,
    job: JobRequest,
    options?: SubmitOptions,
  ): Promise<CallOutcome<{ jobId: string }>>;
  readJob(address: string, jobId: string, keyText?: string): Promise<CallOutcome<JobView>>;
  /** Long poll: answers once the job has ended or `waitMilliseconds` have passed. */
  waitForJob(
    address: string,
    jobId: string,
    waitMilliseconds: number,
    keyText?: string,
  ): Promise<CallOutcome<JobView>>;
  cancelJob(address: string, jobId: string, keyText?: string): Promise<CallOutcome<JobView>>;
  close(): Promise<void>;
}

/** Added to the deadline of a request for the round trip to the daemon. */
const ANSWER_MARGIN_MILLISECONDS = 2_000;
const JOB_CALL_TIMEOUT_MILLISECONDS = 10_000;

function toKeyHeaders(keyText: string | undefined): Record<string, string> {
  return keyText === undefined ? {} : { authorization: `Bearer ${keyText}` };
}

function toSubmissionHeaders(options: SubmitOptions): Record<string, string> {
  const idempotencyKey = options.idempotencyKey ?? createIdempotencyKey();
  return { ...toKeyHeaders(options.keyText), 'idempotency-key': idempotencyKey };
}

/** @returns a new idempotency key, a UUID version 7 */
export function createIdempotencyKey(): string {
  return createUuidVersion7();
}

/** Creates a client of the scheduler with its own connection pool. */
export function createWorkCaller(): WorkCaller {
  const http = createHttpCaller();
  const pathOf = (jobId: string): string => `/v1/jobs/${encodeURIComponent(jobId)}`;
  return {
    submitRequest: (address, request, options = {}) =>
      http.call({
        method: 'POST',
        address,
        path: '/v1/requests',
        headers: toSubmissionHeaders(options),
        body: request,
        timeoutMilliseconds: request.deadlineMilliseconds + ANSWER_MARGIN_MILLISECONDS,
      }),
    submitJob: (address, job, options = {}) =>
      http.call({
        method: 'POST',
        address,
        path: '/v1/jobs',
        headers: toSubmissionHeaders(options),
        body: job,
        timeoutMilliseconds: JOB_CALL_TIMEOUT_MILLISECONDS,
      }),
    readJob: (address, jobId, keyText) =>
      http.call({
        method: 'GET',
        address,
        path: pathOf(jobId),
        headers: toKeyHeaders(keyText),
        timeoutMilliseconds: JOB_CALL_TIMEOUT_MILLISECONDS,
      }),
    waitForJob: (address, jobId, waitMilliseconds, keyText) =>
      http.call({
        method: 'GET',
        address,
        path: `${pathOf(jobId)}/result?waitMilliseconds=${Math.round(waitMilliseconds)}`,
        headers: toKeyHeaders(keyText),
        timeoutMilliseconds: waitMilliseconds + JOB_CALL_TIMEOUT_MILLISECONDS,
      }),
    cancelJob: (address, jobId, keyText) =>
      http.call({
        method: 'POST',
        address,
        path: `${pathOf(jobId)}/cancel`,
        headers: toKeyHeaders(keyText),
        body: {},
        timeoutMilliseconds: JOB_CALL_TIMEOUT_MILLISECONDS,
      }),
    close: () => http.close(),
  };
}
