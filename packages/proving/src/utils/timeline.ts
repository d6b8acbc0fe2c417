import type { RunEntry, RunEntryType } from '@chicorybend/standins';

/** At the same moment, what ends goes before what starts. */
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
 * Sorts entries by time. Entries may have been added late: a task whose lease lapsed while its worker stood still
 * ended at the end of the lease.
 *
 * @param entries entries of a record
 * @returns entries by time
 */
export function sortByTime(entries: readonly RunEntry[]): readonly RunEntry[] {
  return [...entries].sort(
    (left, right) =>
      left.at - right.at || ORDER_AT_SAME_TIME[left.type] - ORDER_AT_SAME_TIME[right.type],
  );
}

/**
 * Identifies one execution of a task.
 *
 * @param entry start or end of the execution
 * @returns identity
 */
export function executionKeyOf(entry: {
  readonly workerId: string;
  readonly incarnation: string;
  readonly taskId: string;
  readonly attempt: number;
}): string {
  return `${entry.workerId}/${entry.incarnation}/${entry.taskId}#${entry.attempt}`;
}
