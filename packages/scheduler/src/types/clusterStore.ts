/** Item of the cluster store. */
export interface StoredItem {
  readonly key: string;
  /** Text as it was written. */
  readonly value: string;
  /** Revision of the last write of the key. */
  readonly revision: number;
}

/** Requires a key to be at a revision; revision 0 requires it to be absent. */
export interface WriteCondition {
  readonly key: string;
  readonly revision: number;
}

/** New value of a key. */
export interface StoredValue {
  readonly key: string;
  readonly value: string;
  /** Lease that the key is bound to; absent if the key outlives leases. */
  readonly leaseId?: number;
}

/** Conditional write of several keys, applied atomically. */
export interface StoreWrite {
  readonly conditions: readonly WriteCondition[];
  readonly puts: readonly StoredValue[];
  readonly removals: readonly string[];
}

/** Maximum number of conditions, puts and removals of one write, all counted together. */
export const MAXIMUM_WRITE_ENTRIES = 32;

/**
 * Outcome of a write:
 *
 * - `written`: in effect and durable
 * - `conflict`: a condition did not hold; `items` are the current items of the condition keys
 * - `no-lease`: a lease named by a put has ended
 * - `refused`: not executed, and will not be
 * - `unknown`: no answer; the write may have been executed, or may be executed later while its conditions hold
 */
export type WriteOutcome =
  | { readonly kind: 'written'; readonly revision: number }
  | { readonly kind: 'conflict'; readonly items: readonly StoredItem[] }
  | { readonly kind: 'no-lease' }
  | { readonly kind: 'refused'; readonly reason: string }
  | { readonly kind: 'unknown'; readonly reason: string };

export type ReadOutcome<Value> =
  | { readonly kind: 'answered'; readonly value: Value; readonly revision: number }
  | { readonly kind: 'failed'; readonly reason: string };

/** Part of the items under a prefix, in the order of their keys. */
export interface StorePage {
  readonly items: readonly StoredItem[];
  readonly isLast: boolean;
}

/**
 * Outcome of a watch: `changed` if a key under the prefix changed, `unchanged` if the wait ended without a
 * change.
 */
export type ChangeOutcome = 'changed' | 'unchanged' | 'failed';

/** Last write of a key, or its removal. */
export interface StoreChange {
  readonly key: string;
  /** Text as it was written; null if the key was removed. */
  readonly value: string | null;
  readonly revision: number;
}

/** Outcome of reading changes; `gone` means that the store does not keep them any more. */
export type ChangesOutcome =
  | {
      readonly kind: 'answered';
      readonly changes: readonly StoreChange[];
      /** Revision after which the next changes are read. */
      readonly revision: number;
    }
  | { readonly kind: 'gone' }
  | { readonly kind: 'failed'; readonly reason: string };

export type LeaseOutcome =
  | { readonly kind: 'granted'; readonly leaseId: number; readonly ttlMilliseconds: number }
  | { readonly kind: 'failed'; readonly reason: string };

/** Outcome of renewing a lease; `ended` means that the lease no longer exists. */
export type RenewOutcome = 'renewed' | 'ended' | 'failed';

/**
 * Key-value store with conditional writes and leases, shared by all VMs. Reads are linearizable. Each call
 * resolves within its timeout, in milliseconds, unless noted otherwise.
 */
export interface ClusterStore {
  read(key: string, timeoutMilliseconds: number): Promise<ReadOutcome<StoredItem | null>>;
  /**
   * Reads all items under a prefix as {@link ClusterStore.readPage} does. Large results are not a snapshot, and their
   * revision is that of the beginning, so that the changes after it complete them.
   */
  list(prefix: string, timeoutMilliseconds: number): Promise<ReadOutcome<readonly StoredItem[]>>;
  /**
   * Reads a page of the items under a prefix.
   *
   * @param after last key of the page before; empty for the first page
   * @param timeoutMilliseconds maximum time without progress, because a page may be large, in milliseconds
   */
  readPage(
    prefix: string,
    after: string,
    timeoutMilliseconds: number,
  ): Promise<ReadOutcome<StorePage>>;
  /** Reads the changes under a prefix after a revision, in their order. Expirations of leases count as removals. */
  readChanges(
    prefix: string,
    afterRevision: number,
    timeoutMilliseconds: number,
  ): Promise<ChangesOutcome>;
  /** Waits until a key under the prefix changes after `afterRevision`, at most `waitMilliseconds`. */
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
