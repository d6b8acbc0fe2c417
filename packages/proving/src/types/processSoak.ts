import type { FleetRun } from '@chicorybend/standins';

import type { CrashSoakJob } from './crashSoak.js';

/** A job of a process soak. */
export interface ProcessSoakJob extends CrashSoakJob {
  /** Time from its acceptance to its cancellation, in milliseconds; null if it is not cancelled. */
  readonly cancelAfterMilliseconds: number | null;
}

/** How a link is cut: silently in both directions or one, or with resets. */
export type LinkCut = 'silent' | 'reset' | 'silent-to-endpoint' | 'silent-to-caller';

/** A planned fault. The run decides which endpoint, run or process it hits. */
export type ProcessSoakFault = {
  /** Time since the start of the load, in milliseconds. */
  readonly at: number;
  /** Selects the target, in [0, 1). */
  readonly pick: number;
  /** How long it lasts, in milliseconds. */
  readonly milliseconds: number;
} & (
  | {
      /** Cuts off the endpoint of the next long task soon after its start, and again after its next starts. */
      readonly kind: 'cut';
      readonly link: LinkCut;
      /** Whether the endpoint does not reach the store either. */
      readonly isUnlisted: boolean;
      readonly afterStartMilliseconds: number;
      readonly cuts: number;
    }
  | { readonly kind: 'pause' }
  | { readonly kind: 'delay'; readonly delayMilliseconds: number }
  | { readonly kind: 'crash'; readonly keepsId: boolean }
  | {
      /** Signals a process, and starts or resumes it at the end of the fault. */
      readonly kind: 'process';
      readonly signal: 'SIGKILL' | 'SIGSTOP' | 'SIGTERM';
      readonly target: 'owner' | 'any';
    }
  | { readonly kind: 'store'; readonly fault: 'silent' | 'slow' | 'answers-lost' }
);

/** Load and faults of a process soak. */
export interface ProcessSoakPlan {
  readonly jobs: readonly ProcessSoakJob[];
  readonly faults: readonly ProcessSoakFault[];
  /** Whether an endpoint that a task has crashed comes back under its id; otherwise under another. */
  readonly keepsIds: boolean;
}

/** State of a job that a caller was shown; `unknown` if the job was not found. */
export type ShownState = 'pending' | 'running' | 'completed' | 'failed' | 'cancelled' | 'unknown';

/** What the caller of a job saw. Times are monotonic, in milliseconds. */
export interface ProcessSoakJobRecord {
  readonly job: ProcessSoakJob;
  acceptedAt: number | null;
  cancelSentAt: number | null;
  cancelAcknowledgedAt: number | null;
  /** Changes of the state. */
  readonly states: { readonly at: number; readonly state: ShownState }[];
  /** State after all faults have ended; null if no process answered. */
  finalState: ShownState | null;
}

/** End of a scheduler process. */
export interface ProcessExitRecord {
  readonly process: string;
  /** Monotonic time in milliseconds. */
  readonly at: number;
  /** Signal that the soak had sent to end the process; null if there was none. */
  readonly sentSignal: NodeJS.Signals | null;
  readonly code: number | null;
}

/** What callers and stand-ins saw in a process soak. */
export interface ProcessSoakRecord {
  readonly jobs: readonly ProcessSoakJobRecord[];
  readonly runs: readonly FleetRun[];
  readonly exits: readonly ProcessExitRecord[];
  /** Monotonic time of the final states, in milliseconds. */
  readonly endedAt: number;
}

/** A broken rule. */
export interface ProcessSoakViolation {
  readonly rule: 'LOST' | 'TWICE' | 'BUDGET' | 'UNASKED' | 'FAULT';
  /** Monotonic time in milliseconds. */
  readonly at: number;
  /** Null for a violation of a process. */
  readonly jobId: string | null;
  readonly text: string;
}
