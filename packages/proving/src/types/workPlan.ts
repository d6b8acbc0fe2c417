import type { JobKind, Resources } from '@chicorybend/common';

/** Who submits work, and where. */
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
  /** Null for a service. */
  readonly runMilliseconds: number | null;
  /** Declared run time; the real one by default. */
  readonly declaredMilliseconds?: number;
}
