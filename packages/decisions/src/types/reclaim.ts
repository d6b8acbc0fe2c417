import type { Resources } from '@chicorybend/common';

import type { QueuePriority } from './taskQueue.js';

/** Ways of taking resources back from a running task, from the mildest to the harshest. */
export type ReclaimKind = 'throttle' | 'checkpoint' | 'stop';

/** Pending work that does not fit, for which resources are reclaimed. */
export interface ReclaimDemand {
  readonly workId: string;
  readonly team: string;
  readonly priority: QueuePriority;
  /** Resources of its task. */
  readonly resources: Resources;
  /** Monotonic time at which it was queued, in milliseconds. */
  readonly enqueuedAt: number;
}

/** A running task that may be throttled, checkpointed or stopped. */
export interface ReclaimableTask {
  readonly taskId: string;
  readonly workerId: string;
  readonly team: string;
  readonly priority: QueuePriority;
  /** Resources that it is charged with. */
  readonly resources: Resources;
  /** Processors that throttling frees; 0 if it cannot be throttled further. */
  readonly throttleableProcessors: number;
  /** Time since its start or last checkpoint, in milliseconds; lost if it is stopped. */
  readonly unsavedMilliseconds: number;
  /** Time that a checkpoint and the later restore take, in milliseconds; null if it cannot checkpoint. */
  readonly checkpointCostMilliseconds: number | null;
}

/** What a team uses against what it is entitled to. */
export interface TeamShare {
  /** Fraction of the fleet in use. */
  readonly dominantShare: number;
  /** Fraction of the fleet that the team is entitled to by its weight. */
  readonly fairShare: number;
}

/** Pending and running work, and the shares of the teams. */
export interface ReclaimInput {
  readonly demands: readonly ReclaimDemand[];
  readonly tasks: readonly ReclaimableTask[];
  /** Free resources of each worker, as in the pool. */
  readonly freeByWorker: Readonly<Record<string, Resources>>;
  readonly teams: Readonly<Record<string, TeamShare>>;
  /** Capacity of the fleet, for dominant shares. */
  readonly capacity: Resources;
}

/** One action that frees resources of a running task. */
export interface ReclaimAction {
  readonly kind: ReclaimKind;
  readonly taskId: string;
  readonly workerId: string;
  /** Pending work for which the resources are freed. */
  readonly forWorkId: string;
  /** Processor time lost, in processor-milliseconds. */
  readonly lostProcessorMilliseconds: number;
}

/** Assigns a loss to each way of reclaiming resources; varies by deployment. */
export interface ReclaimPolicy {
  readonly name: string;
  /** @returns processor time lost, in processor-milliseconds, or null if the task does not allow it */
  computeLoss(task: ReclaimableTask, kind: ReclaimKind): number | null;
}
