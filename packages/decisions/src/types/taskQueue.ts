import type { Resources } from '@chicorybend/common';

/** Priority of a queue. */
export type QueuePriority = 'urgent' | 'normal' | 'overnight';

/** A unit that is queued and placed as a whole: one task, or all tasks of a gang. */
export interface WorkItem {
  /** Task id, or the job id of a gang. */
  readonly workId: string;
  readonly jobId: string;
  readonly team: string;
  readonly priority: QueuePriority;
  /** Resources of each task. */
  readonly resources: Resources;
  /** Number of tasks that must be placed together; 1 unless the item is a gang. */
  readonly taskCount: number;
  /** Monotonic time of queueing, in milliseconds; the age of the item counts from it. */
  readonly enqueuedAt: number;
  /** Monotonic time before which the item is not taken, in milliseconds. */
  readonly notBefore: number;
}

/** Settings of a queue. */
export interface TaskQueueOptions {
  /** How long the head of a team's queue may be passed over before it is overdue, in milliseconds. */
  readonly agingMilliseconds: number;
}

/** Pending work items of one partition, ordered by priority, fair share and age. */
export interface TaskQueue {
  /** Queues an item; replaces the queued item with the same `workId`, if any. */
  add(item: WorkItem): void;
  /** @returns whether the item was queued */
  remove(workId: string): boolean;
  /**
   * Removes and returns the next due item of an eligible team.
   *
   * @param now monotonic time in milliseconds
   * @param isEligible tells whether a team is within its limits; items of other teams stay queued
   * @returns the item, or null if no eligible team has a due item
   */
  take(now: number, isEligible: (team: string) => boolean): WorkItem | null;
  /** Changes the order of all queued and future items. */
  setPolicy(policy: QueueOrderPolicy, options: TaskQueueOptions): void;
  /** Sets the weights of the teams. */
  setShares(shares: Readonly<Record<string, number>>): void;
  /** Sets the last reported usage of each team across the fleet; teams left out use nothing. */
  setUsage(usage: Readonly<Record<string, Resources>>): void;
  /** Sets the capacity of the fleet, from which dominant shares are computed. */
  setCapacity(capacity: Resources): void;
  /** Adds a started item to the usage of its team until the next `setUsage`. */
  recordStart(item: WorkItem): void;
  size(): number;
  /** @returns number of queued items by team; teams without any are left out */
  waitingCountByTeam(): Readonly<Record<string, number>>;
}

/** Names of the queue orders that the configuration can select. */
export type QueueOrderName = 'waiting-time-first' | 'share-first';

/** Order of the teams within a priority; each deployment selects one. */
export interface QueueOrderPolicy {
  readonly name: QueueOrderName;
  /**
   * Ranks the head of a team's queue; the lowest rank goes first within a priority.
   *
   * @param weightedShare the team's dominant share divided by its fraction of all weights: 1 when it
   *   uses exactly its share
   * @param waitedMilliseconds how long the head of its queue has waited
   */
  rank(weightedShare: number, waitedMilliseconds: number): number;
}
