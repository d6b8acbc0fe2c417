import type { ResourceDimension } from '@chicorybend/common';

/** A broken guarantee of the scheduler, found by a check. Times are wall-clock milliseconds since the Unix epoch. */
export type Violation =
  | {
      readonly kind: 'worker-overcommitted';
      readonly workerId: string;
      readonly at: number;
      readonly dimension: ResourceDimension;
      readonly used: number;
      readonly capacity: number;
    }
  /** Two executions of one task at the same time. */
  | {
      readonly kind: 'task-overlap';
      readonly taskId: string;
      readonly at: number;
      readonly executions: readonly { readonly workerId: string; readonly attempt: number }[];
    }
  /** One attempt was executed more than once. */
  | {
      readonly kind: 'attempt-repeated';
      readonly taskId: string;
      readonly attempt: number;
      readonly workerIds: readonly string[];
    }
  | {
      readonly kind: 'non-idempotent-task-repeated';
      readonly taskId: string;
      readonly marker: string;
      readonly executions: number;
    }
  | {
      readonly kind: 'non-idempotent-request-repeated';
      readonly marker: string;
      readonly executions: number;
    }
  /** More tasks were started for one accepted submission than it has. */
  | {
      readonly kind: 'job-duplicated';
      readonly marker: string;
      readonly tasks: number;
      readonly started: number;
    }
  | {
      readonly kind: 'wrong-answer';
      readonly marker: string;
      readonly reason: string;
    }
  /** Work ran although every answer to its caller said that it was not run. */
  | {
      readonly kind: 'ran-despite-refusal';
      readonly marker: string;
      readonly code: string;
      readonly executions: number;
    }
  /** An accepted job did not reach a final state, or reports task successes without an execution. */
  | {
      readonly kind: 'accepted-job-lost';
      readonly marker: string;
      readonly reason: string;
    }
  /** A task or request started on a VM long after the VM list showed it as leaving or no longer showed it. */
  | {
      readonly kind: 'leaving-vm-used';
      readonly vmId: string;
      readonly at: number;
      readonly leavingMilliseconds: number;
    }
  /** A request ran or was answered under a key that was revoked well before it was sent. */
  | {
      readonly kind: 'revoked-key-served';
      readonly marker: string;
      readonly keyId: string;
      readonly revokedMilliseconds: number;
    }
  | {
      readonly kind: 'team-over-limit';
      readonly team: string;
      readonly dimension: 'tasks' | 'requests';
      readonly at: number;
      readonly running: number;
      readonly limit: number;
    }
  | {
      readonly kind: 'endpoint-slots-exceeded';
      readonly endpointId: string;
      readonly at: number;
      readonly running: number;
      readonly slots: number;
    }
  | {
      readonly kind: 'endpoint-connections-exceeded';
      readonly endpointId: string;
      readonly at: number;
      readonly open: number;
      readonly connections: number;
    };

/** Kind of a {@link Violation}. */
export type ViolationKind = Violation['kind'];
