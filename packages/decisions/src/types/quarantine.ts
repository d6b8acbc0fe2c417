/** Consequence of the end of an execution for its worker and its job. */
export type QuarantineVerdict = 'none' | 'quarantine-worker' | 'hold-job';

/** Distinguishes workers on which every job fails from jobs that fail on every worker. */
export interface Quarantine {
  /**
   * Records the end of an execution.
   *
   * @param workerId worker that ran it
   * @param jobId job that it belongs to
   * @param now monotonic time in milliseconds
   * @returns whether to quarantine the worker, hold the job, or do neither
   */
  recordEnd(workerId: string, jobId: string, hasSucceeded: boolean, now: number): QuarantineVerdict;
  /** @returns whether no task may be started on the worker; false while a probe task is due */
  isQuarantined(workerId: string, now: number): boolean;
  /**
   * Records that a task was started. On a quarantined worker that task is the probe: the worker is
   * quarantined again until the probe ends, or until another backoff has passed.
   *
   * @param now monotonic time in milliseconds
   */
  recordStart?(workerId: string, now: number): void;
  /** Lifts the quarantine of a worker on request of an operator. */
  lift(workerId: string): void;
  /** Clears the hold and the failures of a job on request of an operator. */
  release(jobId: string): void;
}
