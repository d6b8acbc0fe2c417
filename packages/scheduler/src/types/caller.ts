import type { Failure } from '@chicorybend/common';

import type { JobSpecification, JobStatus } from './job.js';

/** Request of an API caller about a queue or a job. */
export interface CallerRequest {
  readonly action: 'submit' | 'status' | 'cancel';
  readonly host: string;
  /** Path prefix of a queue followed by a job id, or the prefix alone for the queue itself. */
  readonly path: string;
  /** API key of a team; empty if the request has none. */
  readonly key: string;
  /** Job to run; null unless the action is `submit`. */
  readonly specification: JobSpecification | null;
  /** Size of the body, in bytes. */
  readonly bodyBytes: number;
}

/** Answer to a request. After `failed` with run `unknown`, the request may or may not have taken effect. */
export type CallerAnswer =
  | { readonly kind: 'accepted' }
  | { readonly kind: 'status'; readonly status: JobStatus }
  | { readonly kind: 'waiting'; readonly count: number }
  | { readonly kind: 'cancelled' }
  | { readonly kind: 'no-job' }
  | {
      readonly kind: 'failed';
      readonly failure: Failure;
      /**
       * Whether the state of the owner shows that neither this attempt nor an earlier one at a former owner has taken
       * effect. Earlier builds do not tell.
       */
      readonly isWithoutEffect?: boolean;
    };
