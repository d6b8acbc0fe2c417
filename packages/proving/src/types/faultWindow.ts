/** Wall-clock times between which a fault lasted, in milliseconds since the Unix epoch. */
export interface FaultWindow {
  readonly from: number;
  readonly to: number;
}

/** Cumulative numbers of store calls at one time. */
export interface StoreSample {
  /** Wall-clock time in milliseconds since the Unix epoch. */
  readonly at: number;
  readonly reads: number;
  readonly writes: number;
  /** Calls that the store refused because of its rate limit. */
  readonly limited: number;
}

/** What callers, tasks and services experienced during a fault, and the recovery after it. */
export interface WindowReport {
  /** Requests sent before and during the fault, and the fractions of them that were answered, in [0, 1]. */
  readonly requestsBefore: number;
  readonly answeredPartBefore: number;
  readonly requestsDuring: number;
  readonly answeredPartDuring: number;
  /** Number of requests sent during the fault and not answered, by the code of the last failure. */
  readonly failuresDuring: Readonly<Record<string, number>>;
  /** Task executions that succeeded or failed during the fault. */
  readonly tasksEnded: number;
  /** Task and service executions that ended during the fault because their leases were not renewed. */
  readonly leasesLapsed: number;
  /** Service executions running when the fault began, and those of them that ended during it without being stopped. */
  readonly servicesRunning: number;
  readonly servicesInterrupted: number;
  /** Jobs submitted early enough for an answer during the fault, by the outcome of their first call. */
  readonly jobsAccepted: number;
  readonly jobsNotRun: number;
  readonly jobsUnknown: number;
  readonly jobsLost: number;
  /** Time from the end of the fault to the next task start, in milliseconds; null if no task started. */
  readonly resumedAfterMilliseconds: number | null;
  /** Highest number of store calls in any one second after the end of the fault. */
  readonly storeReadsPerSecond: number;
  readonly storeWritesPerSecond: number;
  /** Calls that the store refused because of its rate limit after the end of the fault. */
  readonly storeCallsLimited: number;
}

/** Minimum service during and after a fault. */
export interface WindowExpectations {
  /** Minimum fraction of requests answered during the fault, relative to the fraction before it, in [0, 1]. */
  readonly answeredPart: number;
  /** Whether jobs must be accepted during the fault; if false, none may be accepted. */
  readonly acceptsJobs: boolean;
  /** Time after the end of the fault within which a task must start, in milliseconds. */
  readonly resumesWithinMilliseconds: number;
}
