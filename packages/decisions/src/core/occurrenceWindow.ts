/** Maximum number of occurrences of a job that wait for their first start; later ones would only use memory. */
const MAXIMUM_WAITING_OCCURRENCES = 64;

/** Occurrences of a recurring job that have been opened and are not complete. */
export interface OpenOccurrences {
  /** Number of their tasks, whatever their state. */
  readonly tasks: number;
  /** Number of occurrences of which no task has been started. */
  readonly waiting: number;
}

/** Size of a recurring job. */
export interface OccurrenceSize {
  readonly tasksPerOccurrence: number;
  /** Maximum number of tasks of all open occurrences. */
  readonly maximumOpenTasks: number;
}

/**
 * Decides whether the next due occurrence of a job is opened. Occurrences that are not open use no memory, so that a
 * job may be any number of occurrences behind its schedule. They are opened in the order of their due times as the
 * earlier ones are started and completed.
 *
 * @param open open occurrences of the job
 * @returns whether the occurrence is opened now; always, if no other one is open
 */
export function canOpenOccurrence(
  open: OpenOccurrences,
  { tasksPerOccurrence, maximumOpenTasks }: OccurrenceSize,
): boolean {
  if (open.tasks === 0) return true;
  const hasRoom = open.tasks + tasksPerOccurrence <= maximumOpenTasks;
  return hasRoom && open.waiting < MAXIMUM_WAITING_OCCURRENCES;
}
