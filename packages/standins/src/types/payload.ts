import type { Resources } from '@chicorybend/common';

/** Payload of a task for the worker stand-in. */
export interface TaskPayload {
  /** Run time in milliseconds; null runs until stopped. */
  readonly runMilliseconds: number | null;
  /** The task fails at the end of its run time. */
  readonly fails?: boolean;
  /** Reported as the task's result. */
  readonly result?: unknown;
  /** Resources that the task reports as used; the declared resources by default. */
  readonly uses?: Resources;
  /** Copied into the run record. */
  readonly marker?: string;
}

/** Payload of a request for the endpoint stand-in. */
export interface RequestPayload {
  /** Service time in milliseconds. */
  readonly serviceMilliseconds: number;
  /** Returned in the answer. */
  readonly result?: unknown;
  /** Copied into the run record. */
  readonly marker?: string;
}
