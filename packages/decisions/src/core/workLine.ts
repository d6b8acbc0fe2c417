import type { QueuedWork, QueuePriority } from '../types/taskQueue.js';
import type { TableEntry } from '../utils/idTable.js';
import { createIndexedHeap } from '../utils/indexedHeap.js';
import type { HeapNode, IndexedHeap } from '../utils/indexedHeap.js';
import type { TeamState } from './teamUsage.js';

/** Work in a queue. */
export interface WorkEntry extends TableEntry<WorkEntry> {
  readonly work: QueuedWork;
  /** Order of addition, for work of the same age. */
  readonly sequence: number;
  readonly line: WorkLine;
  /** Whether it stands in its line, and not among the deferred work. */
  isDue: boolean;
  /** Its place in its line or among the deferred work. */
  node: HeapNode<WorkEntry> | null;
}

/** Due work of one team in one priority, oldest first. */
export interface WorkLine {
  readonly team: TeamState;
  readonly priority: QueuePriority;
  readonly due: IndexedHeap<WorkEntry>;
  /** When the line was last served, in monotonic milliseconds. */
  servedAt: number;
  /** Age of the head, kept here because it is read for every line on every choice. */
  headEnqueuedAt: number;
  headSequence: number;
  /** Since when the head has been passed over, in monotonic milliseconds. */
  passedOverSince: number;
  /** Index among the active lines of its priority, or -1 without due work. */
  position: number;
  agingNode: HeapNode<WorkLine> | null;
}

const isOlder = (left: WorkEntry, right: WorkEntry): boolean =>
  left.work.enqueuedAt < right.work.enqueuedAt ||
  (left.work.enqueuedAt === right.work.enqueuedAt && left.sequence < right.sequence);

/**
 * Creates an entry that has no place yet.
 *
 * @param work work
 * @param sequence order of addition
 * @param line line of the work
 * @returns entry
 */
export function createWorkEntry(work: QueuedWork, sequence: number, line: WorkLine): WorkEntry {
  return { work, sequence, line, isDue: false, node: null, nextInBucket: null };
}

/**
 * Creates an empty line.
 *
 * @param team team
 * @param priority priority
 * @returns line
 */
export function createWorkLine(team: TeamState, priority: QueuePriority): WorkLine {
  return {
    team,
    priority,
    due: createIndexedHeap(isOlder),
    servedAt: -Infinity,
    headEnqueuedAt: 0,
    headSequence: 0,
    passedOverSince: 0,
    position: -1,
    agingNode: null,
  };
}
