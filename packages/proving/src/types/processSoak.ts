import type { Resources } from '@chicorybend/common';
import type { FleetRun } from '@chicorybend/standins';

import type { CrashSoakJob } from './crashSoak.js';

/** Queue of a job; the advice service takes long for steps of the slow one. */
export type SoakQueue = 'quick' | 'slow';

/** A job of a process soak. */
export interface ProcessSoakJob extends CrashSoakJob {
  readonly queue: SoakQueue;
  /** Time from its acceptance to its cancellation, in milliseconds; null if it is not cancelled. */
  readonly cancelAfterMilliseconds: number | null;
}

/** How a link is cut: silently in both directions or one, or with resets. */
export type LinkCut = 'silent' | 'reset' | 'silent-to-endpoint' | 'silent-to-caller';

/** How the advice service behaves: it does not answer, takes longer, or refuses calls (429 and 503). */
export type AdviceServiceFault = 'silent' | 'slow' | 'busy' | 'unavailable';

/** A planned fault of the ways to advice; several hit few VMs at a time, so that the others can carry the load. */
export type AdviceFault =
  | {
      /** Pauses processes that are not the owner. */
      readonly kind: 'vm-pause';
      /** Number of VMs. */
      readonly count: number;
    }
  | {
      readonly kind: 'advice';
      readonly fault: AdviceServiceFault;
      /** Number of VMs; null for all. */
      readonly count: number | null;
      /** Further duration of a call to the slow service, in milliseconds. */
      readonly delayMilliseconds: number;
    }
  | {
      /** Cuts VMs off the advice service. */
      readonly kind: 'advice-link';
      readonly link: LinkCut;
      readonly count: number;
    }
  | {
      /** Silences connections of VMs that are not the owner to the owner. */
      readonly kind: 'peer-link';
      /** `open`: those that are open go silent for good, and new ones work; `all`: all until the fault ends. */
      readonly connections: 'open' | 'all';
      readonly count: number;
    };

/** Endpoints that a restart hits together: one, some next to each other, or all of a rack. */
export type RestartTarget = 'one' | 'several' | 'rack';

/** Selects endpoints that are next to each other. */
export interface RestartGroup {
  /** Selects the first one, in [0, 1). */
  readonly pick: number;
  readonly target: RestartTarget;
}

/** A planned fault of endpoints that start again under their ids. */
export type RestartFault =
  | {
      /** Crashes endpoints behind a cut, which come back under their ids, and cuts them off again soon after. */
      readonly kind: 'restart';
      readonly target: RestartTarget;
      /** Whether the endpoints do not reach the store during the cuts either. */
      readonly isUnlisted: boolean;
      /** Time until the endpoints are back, in milliseconds; less than that of the first cut. */
      readonly downMilliseconds: number;
      readonly firstCutMilliseconds: number;
      /** Time between the two cuts, in milliseconds; the duration of the fault is that of the second one. */
      readonly gapMilliseconds: number;
    }
  | {
      /** Orders to the endpoints get no answer and are carried out late, also during a cut or after a restart. */
      readonly kind: 'late';
      readonly target: RestartTarget;
      /** Fraction of the orders, in [0, 1]. */
      readonly fraction: number;
      /** Decides which orders are late, and by how much. */
      readonly seed: number;
    };

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
  | {
      /** Cuts a VM off the store. */
      readonly kind: 'store-link';
      readonly link: LinkCut;
      readonly target: 'owner' | 'any';
    }
  | {
      /** Replaces a key, or adds or removes a queue; this is no fault, and lasts. */
      readonly kind: 'configuration';
      readonly change: 'key' | 'queue';
    }
  | AdviceFault
  | RestartFault
);

/**
 * `all`: faults of every kind. `advice`: those of the ways to advice, under a load of many short jobs. `restarts`:
 * restarts under the same id and late orders, under a load of long and lasting tasks. `configuration`: changes of keys
 * and queues while VMs, first the owner, are lost, paused or cut off the store.
 */
export type ProcessSoakProfile = 'all' | 'advice' | 'restarts' | 'configuration';

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
  /** Statuses of the answers to its submission; 0 for none in time. */
  readonly submissionStatuses: number[];
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

/** Time in which jobs may stand still, in monotonic milliseconds. */
export interface SoakDisturbance {
  readonly from: number;
  /** Infinity while it lasts. */
  until: number;
}

/** What callers and stand-ins saw in a process soak. */
export interface ProcessSoakRecord {
  readonly jobs: readonly ProcessSoakJobRecord[];
  readonly runs: readonly FleetRun[];
  readonly exits: readonly ProcessExitRecord[];
  /** Changes of the owner, and faults other than those of the ways of single VMs to advice. */
  readonly disturbances: readonly SoakDisturbance[];
  /** The endpoints, which are equal; advice allows all of them for every step. */
  readonly endpoints: { readonly count: number; readonly capacity: Resources };
  /** Monotonic time of the final states, in milliseconds. */
  readonly endedAt: number;
}

/** A version of the configuration that was confirmed. */
export interface ConfigurationVersion {
  /** Monotonic time in milliseconds. */
  readonly at: number;
  readonly queues: readonly string[];
  readonly keys: readonly string[];
}

/** Answer of a VM to a call that only tells which configuration is in force. Times are monotonic, in milliseconds. */
export interface ConfigurationProbe {
  readonly vm: string;
  readonly queue: string;
  readonly key: string;
  readonly sentAt: number;
  readonly answeredAt: number;
  readonly status: number;
}

/** What is needed to judge by which configuration calls were answered. */
export interface ConfigurationRecord {
  /** In the order of time. */
  readonly versions: readonly ConfigurationVersion[];
  readonly probes: readonly ConfigurationProbe[];
  /** Times in which a VM, its link to the store, or the store was disturbed, by the name of the VM. */
  readonly vmDisturbances: ReadonlyMap<string, readonly SoakDisturbance[]>;
}

/** A broken rule. */
export interface ProcessSoakViolation {
  readonly rule: 'LOST' | 'TWICE' | 'BUDGET' | 'UNASKED' | 'REFUSED' | 'CONFIG' | 'FAULT';
  /** Monotonic time in milliseconds. */
  readonly at: number;
  /** Null for a violation of a process. */
  readonly jobId: string | null;
  readonly text: string;
}
