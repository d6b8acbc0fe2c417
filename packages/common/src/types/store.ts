import type { Result } from 'ts-results-es';

/** Entry of the platform's key-value service. */
export interface StoreEntry<Data = unknown> {
  readonly key: string;
  readonly data: Data;
  /** Grows with each write of the key. 0 stands for an absent key. */
  readonly version: number;
}

/** Why a call to the store gave no answer. */
export interface StoreError {
  /**
   * - `unavailable`: not answered; a write certainly had no effect
   * - `rate-limited`: refused by the store's rate limit; no effect
   * - `too-large`: value over the store's limit; no effect
   * - `unresolved`: a write was sent and it is not known whether it had an effect
   */
  readonly kind: 'unavailable' | 'rate-limited' | 'too-large' | 'unresolved';
  readonly message: string;
}

/** Outcome of a compare-and-swap. */
export type PutOutcome =
  | { readonly kind: 'written'; readonly version: number }
  /** The key's version was not the expected one. */
  | {
      readonly kind: 'conflict';
      readonly current: StoreEntry | null;
      /**
       * False if an earlier attempt of this write got no answer, so that the write may have taken effect
       * and been overwritten since.
       */
      readonly isDefinite: boolean;
    };

/** A compare-and-swap. */
export interface PutRequest {
  readonly key: string;
  readonly data: unknown;
  /** Version that the key must have; 0 if it must be absent. */
  readonly expectedVersion: number;
  /** The key disappears when this lease ends. */
  readonly leaseId?: string;
}

/** Limits of one call to the store. */
export interface StoreCallOptions {
  /** Total time for the call, its retries and the resolution of a lost answer, in milliseconds. */
  readonly deadlineMilliseconds?: number;
}

/** Client of the platform's key-value service. Lost answers of writes are resolved by reading. */
export interface StoreClient {
  get<Data>(
    key: string,
    options?: StoreCallOptions,
  ): Promise<Result<StoreEntry<Data> | null, StoreError>>;
  put(request: PutRequest, options?: StoreCallOptions): Promise<Result<PutOutcome, StoreError>>;
  /** Deletes a key if it has the expected version; an absent key counts as deleted. */
  delete(
    key: string,
    expectedVersion: number,
    options?: StoreCallOptions,
  ): Promise<Result<boolean, StoreError>>;
  list<Data>(
    prefix: string,
    options?: StoreCallOptions,
  ): Promise<Result<readonly StoreEntry<Data>[], StoreError>>;
  grantLease(
    ttlMilliseconds: number,
    options?: StoreCallOptions,
  ): Promise<Result<string, StoreError>>;
  /** @returns whether the lease still existed and was extended */
  renewLease(leaseId: string, options?: StoreCallOptions): Promise<Result<boolean, StoreError>>;
  revokeLease(leaseId: string, options?: StoreCallOptions): Promise<Result<void, StoreError>>;
  /** Calls made since the start, by kind, for the control cost. */
  readonly calls: { reads: number; writes: number };
  /** Ends open connections. */
  close(): Promise<void>;
}

/** Largest value that the platform's store holds, in bytes. */
export const STORE_VALUE_LIMIT_BYTES = 1_048_576;

/** Wire types of the store: `POST /v1/<operation>` with a JSON body. */
export interface StoreWire {
  get: { request: { key: string }; response: { entry: StoreWireEntry | null } };
  put: {
    request: { key: string; value: string; expectedVersion: number; leaseId?: string };
    response:
      { written: true; version: number } | { written: false; current: StoreWireEntry | null };
  };
  delete: { request: { key: string; expectedVersion: number }; response: { deleted: boolean } };
  list: { request: { prefix: string }; response: { entries: StoreWireEntry[] } };
  'lease-grant': { request: { ttlMilliseconds: number }; response: { leaseId: string } };
  'lease-renew': { request: { leaseId: string }; response: { renewed: boolean } };
  'lease-revoke': { request: { leaseId: string }; response: { revoked: boolean } };
  /** Long poll: answers when a key under the prefix changes after the revision, or when the wait ends. */
  watch: {
    request: { prefix: string; afterRevision: number; waitMilliseconds: number };
    response: { revision: number; changedKeys: string[] };
  };
}

/** Entry on the wire; the value is a JSON text `{"writeId": ..., "data": ...}`. */
export interface StoreWireEntry {
  key: string;
  value: string;
  version: number;
}
