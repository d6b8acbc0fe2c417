/** What the end of an execution says about its worker and its job. */
export type QuarantineVerdict = 'none' | 'quarantine-worker' | 'hold-job';

/** Tells workers that fail everything from jobs that fail everywhere. */
export interface Quarantine {
  /**
   * Learns from an execution.
   *
   * @param workerId worker that ran it
   * @param jobId job that it belongs to
   * @param hasSucceeded how it ended
   * @param now monotonic time in milliseconds
   * @returns what to do
   */
  recordEnd(workerId: string, jobId: string, hasSucceeded: boolean, now: number): QuarantineVerdict;
  /** @returns whether new work must not go to the worker; false when a probe task is due */
  isQuarantined(workerId: string, now: number): boolean;
  /**
   * Notes that a task was started. On a quarantined worker it is the probe: the worker counts as
   * quarantined again until the probe ends, or until another backoff has passed.
   */
  recordStart?(workerId: string, now: number): void;
  /** Lifts the quarantine of a worker, for an operator. */
  lift(workerId: string): void;
  /** Forgets the failures of a held job, for an operator. */
  release(jobId: string): void;
}
