/** Wall-clock times between which a fault lasted, in milliseconds since the Unix epoch. */
export interface FaultWindow {
  readonly from: number;
  readonly to: number;
}

/** Numbers of calls that the store has taken up to a time. */
export interface StoreSample {
  /** Wall-clock time in milliseconds since the Unix epoch. */
  readonly at: number;
  readonly reads: number;
  readonly writes: number;
  /** Calls that were refused because they came too fast. */
  readonly limited: number;
}

/** What went on while a fault lasted and after it. */
export interface WindowReport {
  /** Requests sent before and during the fault, and how many of them were answered, in [0, 1]. */
  readonly requestsBefore: number;
  readonly answeredPartBefore: number;
  readonly requestsDuring: number;
  readonly answeredPartDuring: number;
  /** Requests of the fault's time without an answer, by the code of the last failure. */
  readonly failuresDuring: Readonly<Record<string, number>>;
  /** Executions of tasks that ended by themselves during the fault. */
  readonly tasksEnded: number;
  /** Executions of tasks and services that ended during the fault because nobody renewed their leases. */
  readonly leasesLapsed: number;
  /** Executions of services that ran when the fault began, and those of them that ended without a stop. */
  readonly servicesRunning: number;
  readonly servicesInterrupted: number;
  /** First answers to submissions of jobs, sent early enough for an answer during the fault. */
  readonly jobsAccepted: number;
  readonly jobsNotRun: number;
  readonly jobsUnknown: number;
  readonly jobsLost: number;
  /** Time from the end of the fault to the next start of a task, in milliseconds; null if there was none. */
  readonly resumedAfterMilliseconds: number | null;
  /** Most calls of the store in one second since the end of the fault. */
  readonly storeReadsPerSecond: number;
  readonly storeWritesPerSecond: number;
  /** Calls that the store refused as too many since the end of the fault. */
  readonly storeCallsLimited: number;
}

/** What must go on while a fault lasts. */
export interface WindowExpectations {
  /** Least part of the requests that is answered, relative to the part before the fault, in [0, 1]. */
  readonly answeredPart: number;
  /** Whether jobs are accepted meanwhile; if not, they must be refused or their outcome unknown. */
  readonly acceptsJobs: boolean;
  /** Time after the fault within which tasks start again, in milliseconds. */
  readonly resumesWithinMilliseconds: number;
}
