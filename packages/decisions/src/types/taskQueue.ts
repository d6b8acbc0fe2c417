import type { Resources } from '@chicorybend/common';

/** Priority of a queue. */
export type QueuePriority = 'urgent' | 'normal' | 'overnight';

/** Work that waits for a placement: one task, or a whole gang. */
export interface WorkItem {
  /** Task id, or the job id of a gang. */
  readonly workId: string;
  readonly jobId: string;
  readonly team: string;
  readonly priority: QueuePriority;
  /** Resources of each task. */
  readonly resources: Resources;
  /** Tasks that must be placed together; 1 unless a gang. */
  readonly taskCount: number;
  /** Monotonic time in milliseconds. */
  readonly enqueuedAt: number;
  /** Monotonic time before which it is not tried again, in milliseconds. */
  readonly notBefore: number;
}

/** Settings of a queue. */
export interface TaskQueueOptions {
  /** How long the head of a team's queue may be passed over, in milliseconds. */
  readonly agingMilliseconds: number;
}

/** Pending work of one partition, ordered by priority, fair share and age. */
export interface TaskQueue {
  add(work: WorkItem): void;
  /** @returns whether the work was queued */
  remove(workId: string): boolean;
  /**
   * Takes the next work off the queue in the policy's order.
   *
   * @param now monotonic time in milliseconds
   * @param isEligible tells whether a team may start work now (limits); others are passed over
   * @returns work, or null if none is due
   */
  take(now: number, isEligible: (team: string) => boolean): WorkItem | null;
  /** Changes the order of the work that waits and of what is added. */
  setPolicy(policy: QueueOrderPolicy, options: TaskQueueOptions): void;
  /** Sets the weights of the teams. */
  setShares(shares: Readonly<Record<string, number>>): void;
  /** Sets what each team uses across the fleet, as last heard. */
  setUsage(usage: Readonly<Record<string, Resources>>): void;
  /** Sets the capacity of the fleet, for dominant shares. */
  setCapacity(capacity: Resources): void;
  /** Counts a start towards its team until the next `setUsage`. */
  recordStart(work: WorkItem): void;
  size(): number;
  /** @returns work waiting per team */
  waitingCountByTeam(): Readonly<Record<string, number>>;
}

/** Names of the orders that the configuration can choose. */
export type QueueOrderName = 'waiting-time-first' | 'share-first';

/** Orders teams against one another; varies by deployment. */
export interface QueueOrderPolicy {
  readonly name: QueueOrderName;
  /**
   * Ranks the head of a team's queue; the lowest rank goes first within a priority.
   *
   * @param dominantShare the team's dominant share divided by its part of all weights: 1 when it
   *   uses exactly its share
   * @param waitedMilliseconds how long the head of its queue has waited
   * @returns rank
   */
  rank(dominantShare: number, waitedMilliseconds: number): number;
}
