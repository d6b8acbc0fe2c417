import type { WorkItem, QueuePriority } from '../types/taskQueue.js';
import type { TableEntry } from '../utils/idTable.js';
import { createIndexedHeap } from '../utils/indexedHeap.js';
import type { HeapNode, IndexedHeap } from '../utils/indexedHeap.js';
import type { TeamState } from './teamUsage.js';

/** A queued work item, with its positions in the data structures of the queue. */
export interface QueueEntry extends TableEntry<QueueEntry> {
  readonly item: WorkItem;
  /** Order of addition, which decides between items enqueued at the same time. */
  readonly sequence: number;
  readonly teamQueue: TeamQueue;
  /** Whether the entry is in its team queue; otherwise it is deferred until `notBefore`. */
  isDue: boolean;
  /** Node in the heap of the team queue or of the deferred entries. */
  heapNode: HeapNode<QueueEntry> | null;
}

/** Due work items of one team at one priority, oldest first. */
export interface TeamQueue {
  readonly team: TeamState;
  readonly priority: QueuePriority;
  readonly dueEntries: IndexedHeap<QueueEntry>;
  /** Monotonic time at which an item was last taken from this queue, in milliseconds. */
  lastServedAt: number;
  /** `enqueuedAt` of the head, copied here because every choice reads it for every team queue. */
  headEnqueuedAt: number;
  headSequence: number;
  /** Monotonic time since which the head could have been taken but was not, in milliseconds. */
  passedOverSince: number;
  /** Index among the active queues of the same priority, or -1 without due items. */
  activeIndex: number;
  agingHeapNode: HeapNode<TeamQueue> | null;
}

const isOlder = (left: QueueEntry, right: QueueEntry): boolean =>
  left.item.enqueuedAt < right.item.enqueuedAt ||
  (left.item.enqueuedAt === right.item.enqueuedAt && left.sequence < right.sequence);

/**
 * Creates an entry that is in no heap yet.
 *
 * @param sequence order of addition
 */
export function createQueueEntry(
  item: WorkItem,
  sequence: number,
  teamQueue: TeamQueue,
): QueueEntry {
  return { item, sequence, teamQueue, isDue: false, heapNode: null, nextInBucket: null };
}

export function createTeamQueue(team: TeamState, priority: QueuePriority): TeamQueue {
  return {
    team,
    priority,
    dueEntries: createIndexedHeap(isOlder),
    lastServedAt: -Infinity,
    headEnqueuedAt: 0,
    headSequence: 0,
    passedOverSince: 0,
    activeIndex: -1,
    agingHeapNode: null,
  };
}
