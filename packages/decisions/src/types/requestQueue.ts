/** An interactive request that waits for a slot. */
export interface QueuedRequest<Item> {
  readonly team: string;
  readonly item: Item;
  /** Monotonic time in milliseconds at which the caller gives up. */
  readonly deadlineAt: number;
}

/** Bounded queue of interactive requests, fair between teams by their shares. */
export interface RequestQueue<Item> {
  /** @returns false if the team's queue is full */
  push(request: QueuedRequest<Item>): boolean;
  /** Takes the next request whose deadline leaves room for the expected service time. */
  shift(now: number): QueuedRequest<Item> | null;
  /** Takes out requests that can no longer be served in time. */
  removeExpired(now: number): readonly QueuedRequest<Item>[];
  setShares(shares: Readonly<Record<string, number>>): void;
  size(): number;
  sizeOf(team: string): number;
}

/** Verdict of the admission of an interactive request. */
export type AdmissionVerdict =
  { readonly kind: 'admit' } | { readonly kind: 'refuse'; readonly retryAfterMilliseconds: number };

/** Admission by deadline: refuses early what cannot be served in time. */
export interface AdmissionController {
  /**
   * @param queued requests ahead
   * @param slots slots that serve the queue
   * @param remainingMilliseconds time until the caller's deadline
   */
  decide(queued: number, slots: number, remainingMilliseconds: number): AdmissionVerdict;
  /** Learns from a served request. */
  recordServiceTime(milliseconds: number): void;
  /** @returns expected service time in milliseconds */
  expectedServiceMilliseconds(): number;
}
