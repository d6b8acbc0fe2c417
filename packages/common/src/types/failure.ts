import type { FAILURE_TABLE } from '../utils/errors.js';

/** Whether the work that a failure is about was run. */
export type RunOutcome = 'run' | 'not-run' | 'unknown';

/** Identifier of a failure, listed in the table of failure texts. */
export type FailureCode = keyof typeof FAILURE_TABLE;

/** One invalid place in a document or body. */
export interface FailureDetail {
  /** Place, for example `teams.harbour.limits.tasks`. */
  readonly path: string;
  readonly reason: string;
}

/** A failure as callers, operators and peers see it. */
export interface Failure {
  readonly code: FailureCode;
  readonly run: RunOutcome;
  readonly message: string;
  /** HTTP status that goes with it. */
  readonly status: number;
  /** When a retry makes sense, in milliseconds from now. */
  readonly retryAfterMilliseconds?: number;
  readonly details?: readonly FailureDetail[];
}
