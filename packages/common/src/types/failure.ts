import type { FAILURE_TABLE } from '../utils/errors.js';

/** Whether the request, task or job concerned by a failure was run. */
export type RunOutcome = 'run' | 'not-run' | 'unknown';

/** Code of a failure: a key of `FAILURE_TABLE`. */
export type FailureCode = keyof typeof FAILURE_TABLE;

/** One invalid value in a document or body. */
export interface FailureDetail {
  /** Path of the value, for example `teams.harbour.limits.tasks`. */
  readonly path: string;
  readonly reason: string;
}

/** A failure as callers, operators and peers see it. */
export interface Failure {
  readonly code: FailureCode;
  readonly run: RunOutcome;
  readonly message: string;
  /** HTTP status of the response. */
  readonly status: number;
  /** Recommended delay before a retry, in milliseconds. */
  readonly retryAfterMilliseconds?: number;
  readonly details?: readonly FailureDetail[];
}
