import type { RunEntry, RunEntryType } from '@chicorybend/standins';

/** At equal times, ends sort before starts, so that a freed slot can be reused in the same millisecond. */
const ORDER_AT_SAME_TIME: Readonly<Record<RunEntryType, number>> = {
  'task-ended': 0,
  'request-ended': 0,
  'worker-down': 1,
  'worker-up': 2,
  'endpoint-up': 2,
  connections: 3,
  'vm-listed': 3,
  'task-started': 4,
  'request-started': 4,
};

/**
 * Returns entries in the order of their times. They may have been recorded late: if the lease of a task lapses while
 * its worker is paused, the entry is written after the pause with the time at which the lease ended.
 */
export function sortByTime(entries: readonly RunEntry[]): readonly RunEntry[] {
  return [...entries].sort(
    (left, right) =>
      left.at - right.at || ORDER_AT_SAME_TIME[left.type] - ORDER_AT_SAME_TIME[right.type],
  );
}

/**
 * Returns a key that identifies one execution of a task.
 *
 * @param entry start or end of the execution
 */
export function executionKeyOf(entry: {
  readonly workerId: string;
  readonly incarnation: string;
  readonly taskId: string;
  readonly attempt: number;
}): string {
  return `${entry.workerId}/${entry.incarnation}/${entry.taskId}#${entry.attempt}`;
}
