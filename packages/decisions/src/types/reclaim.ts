import type { Resources } from '@chicorybend/common';

import type { QueuePriority } from './taskQueue.js';

/** Ways of taking resources back from a running task, from the mildest to the harshest. */
export type ReclaimKind = 'throttle' | 'checkpoint' | 'stop';

/** Work that waits and does not fit. */
export interface ReclaimDemand {
  readonly workId: string;
  readonly team: string;
  readonly priority: QueuePriority;
  /** What its task needs. */
  readonly resources: Resources;
  /** Monotonic time in milliseconds. */
  readonly enqueuedAt: number;
}

/** A running task that may have to give way. */
export interface ReclaimableTask {
  readonly taskId: string;
  readonly workerId: string;
  readonly team: string;
  readonly priority: QueuePriority;
  /** What it is charged with. */
  readonly resources: Resources;
  /** Processors that it gives back when throttled; 0 if it cannot be throttled further. */
  readonly throttleableProcessors: number;
  /** Work that would be lost by stopping it: time since its start or last checkpoint, in milliseconds. */
  readonly unsavedMilliseconds: number;
  /** Time that a checkpoint and the later restore cost, in milliseconds; null if it cannot checkpoint. */
  readonly checkpointCostMilliseconds: number | null;
}

/** A team's position against its share. */
export interface TeamShare {
  /** Fraction of the fleet in use. */
  readonly dominantShare: number;
  /** Fraction of the fleet that is the team's by its weight. */
  readonly fairShare: number;
}

/** What is known when resources are to be taken back. */
export interface ReclaimInput {
  readonly demands: readonly ReclaimDemand[];
  readonly tasks: readonly ReclaimableTask[];
  /** Free amounts per worker, as the pool has them. */
  readonly freeByWorker: Readonly<Record<string, Resources>>;
  readonly teams: Readonly<Record<string, TeamShare>>;
  /** Capacity of the fleet, for dominant shares. */
  readonly capacity: Resources;
}

/** One step of taking resources back. */
export interface ReclaimAction {
  readonly kind: ReclaimKind;
  readonly taskId: string;
  readonly workerId: string;
  /** The work that the resources are for. */
  readonly forWorkId: string;
  /** Processor time lost, in processor-milliseconds. */
  readonly lostProcessorMilliseconds: number;
}

/** Values a way of taking resources back; varies by deployment. */
export interface ReclaimPolicy {
  readonly name: string;
  /** @returns work lost by it, in processor-milliseconds, or null if the task does not allow it */
  computeLoss(task: ReclaimableTask, kind: ReclaimKind): number | null;
}
