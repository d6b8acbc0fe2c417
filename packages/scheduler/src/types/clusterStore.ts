/** Item of the cluster store. */
export interface StoredItem {
  readonly key: string;
  /** Text as it was written. */
  readonly value: string;
  /** Revision of the last write of the key. */
  readonly revision: number;
}

/** Key that must have a revision; revision 0 stands for an absent key. */
export interface WriteCondition {
  readonly key: string;
  readonly revision: number;
}

/** New value of a key. */
export interface StoredValue {
  readonly key: string;
  readonly value: string;
  /** Lease that the key is bound to; absent for a key that stays. */
  readonly leaseId?: number;
}

/** Changes that take effect together or not at all. */
export interface StoreWrite {
  readonly conditions: readonly WriteCondition[];
  readonly puts: readonly StoredValue[];
  readonly removals: readonly string[];
}

/** Largest number of conditions, puts and removals of one write together. */
export const MAXIMUM_WRITE_ENTRIES = 32;

/**
 * Outcome of a write:
 *
 * - `written`: in effect and durable
 * - `conflict`: a condition did not hold; `items` are the present items of the conditions
 * - `no-lease`: a lease named by a put has ended
 * - `refused`: certainly not executed
 * - `unknown`: may have been executed, or may still be executed if its conditions hold
 */
export type WriteOutcome =
  | { readonly kind: 'written'; readonly revision: number }
  | { readonly kind: 'conflict'; readonly items: readonly StoredItem[] }
  | { readonly kind: 'no-lease' }
  | { readonly kind: 'refused'; readonly reason: string }
  | { readonly kind: 'unknown'; readonly reason: string };

/** Outcome of a read. */
export type ReadOutcome<Value> =
  | { readonly kind: 'answered'; readonly value: Value; readonly revision: number }
  | { readonly kind: 'failed'; readonly reason: string };

/**
 * Outcome of waiting for a change: `changed` tells that keys under the prefix changed, `unchanged` that the
 * wait ended without one.
 */
export type ChangeOutcome = 'changed' | 'unchanged' | 'failed';

/** Outcome of granting a lease. */
export type LeaseOutcome =
  | { readonly kind: 'granted'; readonly leaseId: number; readonly ttlMilliseconds: number }
  | { readonly kind: 'failed'; readonly reason: string };

/** Outcome of renewing a lease. */
export type RenewOutcome = 'renewed' | 'ended' | 'failed';

/**
 * Key-value service with conditional writes and leases that all VMs of the system share. Reads are
 * linearizable. Each call ends within the timeout given, in milliseconds.
 */
export interface ClusterStore {
  read(key: string, timeoutMilliseconds: number): Promise<ReadOutcome<StoredItem | null>>;
  /** Reads all items under a prefix. Large results are not a snapshot. */
  list(prefix: string, timeoutMilliseconds: number): Promise<ReadOutcome<readonly StoredItem[]>>;
  /** Waits until a key under the prefix changes after a revision. */
  awaitChange(
    prefix: string,
    afterRevision: number,
    waitMilliseconds: number,
  ): Promise<ChangeOutcome>;
  write(write: StoreWrite, timeoutMilliseconds: number): Promise<WriteOutcome>;
  grantLease(ttlMilliseconds: number, timeoutMilliseconds: number): Promise<LeaseOutcome>;
  renewLease(leaseId: number, timeoutMilliseconds: number): Promise<RenewOutcome>;
  endLease(leaseId: number, timeoutMilliseconds: number): Promise<void>;
}
