import type { JobStatus, StepSpecification } from '@chicorybend/scheduler';

/**
 * Faults of a crash soak: all kinds, or only endpoints that start again under their ids, with orders that are executed
 * late.
 */
export type CrashSoakProfile = 'random' | 'restarts';

/** Tasks of a step that crash their endpoint. */
export interface DeadlyTasks {
  readonly step: number;
  /** Indexes within the step. */
  readonly indexes: readonly number[];
  /** Time from the start of a run to the crash, in milliseconds. */
  readonly delayMilliseconds: number;
}

/** A job of a crash soak. */
export interface CrashSoakJob {
  readonly jobId: string;
  /** When it is submitted, in monotonic milliseconds. */
  readonly submittedAt: number;
  readonly steps: readonly Partial<StepSpecification>[];
  /** Null for a job that can complete. */
  readonly deadly: DeadlyTasks | null;
}

/** What a caller learned about a job of a crash soak. */
export interface CrashSoakJobState {
  readonly job: CrashSoakJob;
  isAccepted: boolean;
  status: JobStatus | null;
}

/** An event of a crash soak, for the trace of a violation. */
export interface CrashSoakEvent {
  /** Monotonic time in milliseconds. */
  readonly at: number;
  readonly text: string;
}

/** Outcome of a crash soak. */
export interface CrashSoakOutcome {
  readonly seed: number;
  readonly violations: readonly string[];
  /** Faults, and the runs of the jobs in the violations, in order of time. */
  readonly trace: readonly string[];
  readonly jobs: number;
  readonly deadlyJobs: number;
  readonly crashes: number;
  readonly runs: number;
  /** Jobs that could complete and were given up after several unrelated crashes under one of their tasks. */
  readonly unluckyJobs: number;
  /** Simulated time, in milliseconds. */
  readonly milliseconds: number;
}
