import type { Resources } from '@chicorybend/common';

/** Payload of a task for the worker stand-in. */
export interface TaskPayload {
  /** Run time in milliseconds; null runs until stopped. */
  readonly runMilliseconds: number | null;
  /** Ends as failed. */
  readonly fails?: boolean;
  /** Reported as the task's result. */
  readonly result?: unknown;
  /** What the task really uses; the declared resources by default. */
  readonly uses?: Resources;
  /** Copied into the record of what ran. */
  readonly marker?: string;
}

/** Payload of a request for the endpoint stand-in. */
export interface RequestPayload {
  /** Service time in milliseconds. */
  readonly serviceMilliseconds: number;
  /** Sent back in the answer. */
  readonly result?: unknown;
  /** Copied into the record of what ran. */
  readonly marker?: string;
}
