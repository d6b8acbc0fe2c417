import type { FailureCode, JobKind, JobView, RunOutcome } from '@chicorybend/common';

/** Outcome of one HTTP call as its caller saw it. */
export type CallOutcome<Value> =
  | { readonly kind: 'answered'; readonly value: Value }
  /** A failure response, which states whether the work was run. */
  | {
      readonly kind: 'failed';
      readonly status: number;
      readonly run: RunOutcome;
      readonly code: FailureCode;
      readonly message: string;
      readonly retryAfterMilliseconds?: number;
    }
  /** No complete response; the work may have been run. */
  | { readonly kind: 'lost'; readonly reason: string };

/** An interactive request as its caller saw it. */
export interface RequestObservation {
  /** Unique identifier in the payload, which the endpoint stand-in copies into its record. */
  readonly marker: string;
  /** Team that is charged. */
  readonly team: string;
  readonly queue: string;
  /** Null on an open queue. */
  readonly keyId: string | null;
  readonly daemonId: string;
  readonly isIdempotent: boolean;
  /** Result that the payload tells the endpoint stand-in to return. */
  readonly expectedResult: unknown;
  /** Wall-clock times in milliseconds since the Unix epoch. */
  readonly sentAt: number;
  readonly endedAt: number;
  /** Outcomes of the first call and its retries under the same idempotency key, in order. */
  readonly outcomes: readonly CallOutcome<{
    readonly requestId: string;
    readonly endpointId: string;
    readonly result: unknown;
  }>[];
}

/** A job as its caller saw it. */
export interface JobObservation {
  /** Unique identifier in the payload, which the worker stand-in copies into its record. */
  readonly marker: string;
  readonly team: string;
  readonly queue: string;
  readonly kind: JobKind;
  readonly tasks: number;
  readonly isIdempotent: boolean;
  /** Result that the payload tells the worker stand-in to return for each task. */
  readonly expectedResult: unknown;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  readonly sentAt: number;
  /** Outcomes of the submission and its retries under the same idempotency key, in order. */
  readonly outcomes: readonly CallOutcome<{ readonly jobId: string }>[];
  /** State of the job at the end of the run; null if it could not be read. */
  readonly finalView: JobView | null;
}

/** Upper limits of a team, in effect from the time `from`. */
export interface TeamLimit {
  readonly team: string;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  readonly from: number;
  readonly tasks: number;
  readonly requests: number;
}

/** A key whose revocation was answered as applied. */
export interface RevokedKey {
  readonly keyId: string;
  /** Wall-clock time of the answer in milliseconds since the Unix epoch. */
  readonly revokedAt: number;
}

/** Everything that callers and operators saw. */
export interface Observations {
  readonly requests: readonly RequestObservation[];
  readonly jobs: readonly JobObservation[];
  readonly limits: readonly TeamLimit[];
  readonly revokedKeys: readonly RevokedKey[];
}
