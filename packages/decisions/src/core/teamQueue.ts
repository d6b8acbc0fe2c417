import type { WorkItem, QueuePriority } from '../types/taskQueue.js';
import type { TableEntry } from '../utils/idTable.js';
import { createIndexedHeap } from '../utils/indexedHeap.js';
import type { HeapNode, IndexedHeap } from '../utils/indexedHeap.js';
import type { TeamState } from './teamUsage.js';

/** Work in a queue. */
export interface QueueEntry extends TableEntry<QueueEntry> {
  readonly item: WorkItem;
  /** Order of addition, for work of the same age. */
  readonly sequence: number;
  readonly teamQueue: TeamQueue;
  /** Whether it stands in its line, and not among the deferred work. */
  isDue: boolean;
  /** Its place in its line or among the deferred work. */
  heapNode: HeapNode<QueueEntry> | null;
}

/** Due work of one team in one priority, oldest first. */
export interface TeamQueue {
  readonly team: TeamState;
  readonly priority: QueuePriority;
  readonly dueEntries: IndexedHeap<QueueEntry>;
  /** When the line was last served, in monotonic milliseconds. */
  lastServedAt: number;
  /** Age of the head, kept here because it is read for every line on every choice. */
  headEnqueuedAt: number;
  headSequence: number;
  /** Since when the head has been passed over, in monotonic milliseconds. */
  passedOverSince: number;
  /** Index among the active lines of its priority, or -1 without due work. */
  activeIndex: number;
  agingHeapNode: HeapNode<TeamQueue> | null;
}

const isOlder = (left: QueueEntry, right: QueueEntry): boolean =>
  left.item.enqueuedAt < right.item.enqueuedAt ||
  (left.item.enqueuedAt === right.item.enqueuedAt && left.sequence < right.sequence);

/**
 * Creates an entry that has no place yet.
 *
 * @param work work
 * @param sequence order of addition
 * @param line line of the work
 * @returns entry
 */
export function createQueueEntry(work: WorkItem, sequence: number, line: TeamQueue): QueueEntry {
  return {
    item: work,
    sequence,
    teamQueue: line,
    isDue: false,
    heapNode: null,
    nextInBucket: null,
  };
}

/**
 * Creates an empty line.
 *
 * @param team team
 * @param priority priority
 * @returns line
 */
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
