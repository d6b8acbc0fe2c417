import type { JobKind, Resources } from '@chicorybend/common';

/** Queue, charged team and key of a request or job. */
export interface Submission {
  readonly queue: string;
  /** Team that is charged. */
  readonly team: string;
  /** Null on an open queue. */
  readonly keyText: string | null;
}

/** An interactive request to send. */
export interface RequestPlan extends Submission {
  readonly isIdempotent: boolean;
  readonly serviceMilliseconds: number;
  readonly deadlineMilliseconds: number;
}

/** A job to submit. */
export interface JobPlan extends Submission {
  readonly kind: JobKind;
  readonly tasks: number;
  readonly isIdempotent: boolean;
  readonly isUrgent: boolean;
  readonly resources: Resources;
  /** Real run time in milliseconds; null for a service, which runs until it is cancelled. */
  readonly runMilliseconds: number | null;
  /** Run time that the submission declares, in milliseconds; the real one by default. */
  readonly declaredMilliseconds?: number;
}
