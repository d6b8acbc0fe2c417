import type { Failure } from '@chicorybend/common';

import type { JobSpecification, JobStatus } from './job.js';

/** A call about a queue or a job. */
export interface CallerRequest {
  readonly action: 'submit' | 'status' | 'cancel';
  readonly host: string;
  /** Path of the call: the prefix of a queue and the id of a job, or the prefix alone. */
  readonly path: string;
  /** Key of a team; empty if the call has none. */
  readonly key: string;
  /** What to run; null unless a job is submitted. */
  readonly specification: JobSpecification | null;
  /** Size of the body, in bytes. */
  readonly bodyBytes: number;
}

/** Answer to a call. `failed` with run `unknown` leaves open whether the call took effect. */
export type CallerAnswer =
  | { readonly kind: 'accepted' }
  | { readonly kind: 'status'; readonly status: JobStatus }
  | { readonly kind: 'waiting'; readonly count: number }
  | { readonly kind: 'cancelled' }
  | { readonly kind: 'no-job' }
  | { readonly kind: 'failed'; readonly failure: Failure };
