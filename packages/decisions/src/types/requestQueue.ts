/** An interactive request that waits for a slot. */
export interface QueuedRequest<Item> {
  readonly team: string;
  readonly item: Item;
  /** Monotonic time at which the caller gives up, in milliseconds. */
  readonly deadlineAt: number;
}

/** Bounded queue of interactive requests that serves teams in proportion to their shares. */
export interface RequestQueue<Item> {
  /** @returns false, without queueing the request, if the queue of its team is full */
  push(request: QueuedRequest<Item>): boolean;
  /**
   * Removes and returns the next request whose deadline leaves time for the expected service time.
   *
   * @param now monotonic time in milliseconds
   * @returns the request, or null if none is queued
   */
  shift(now: number): QueuedRequest<Item> | null;
  /** Removes and returns all requests that can no longer be served in time. */
  removeExpired(now: number): readonly QueuedRequest<Item>[];
  setShares(shares: Readonly<Record<string, number>>): void;
  size(): number;
  sizeOf(team: string): number;
}

/** Whether an interactive request is admitted, or refused with the time after which to retry. */
export type AdmissionVerdict =
  { readonly kind: 'admit' } | { readonly kind: 'refuse'; readonly retryAfterMilliseconds: number };

/** Admission control by deadline: refuses requests at once that cannot be served in time. */
export interface AdmissionController {
  /**
   * @param queued number of requests that are served earlier
   * @param slots number of slots that serve the queue
   * @param remainingMilliseconds time until the caller's deadline
   */
  decide(queued: number, slots: number, remainingMilliseconds: number): AdmissionVerdict;
  /** Updates the expected service time with that of a served request; ignores NaN and negative values. */
  recordServiceTime(milliseconds: number): void;
  /** @returns expected service time in milliseconds */
  expectedServiceMilliseconds(): number;
}
