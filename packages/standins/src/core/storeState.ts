import { randomUUID } from 'node:crypto';

import type { StoreWireEntry } from '@chicorybend/common';

interface StoredEntry extends StoreWireEntry {
  leaseId: string | null;
  revision: number;
}

interface Lease {
  ttlMilliseconds: number;
  expiresAt: number;
}

/** Content of the store stand-in: keys with versions, leases and a revision. */
export interface StoreState {
  get(key: string): StoreWireEntry | null;
  put(
    key: string,
    value: string,
    expectedVersion: number,
    leaseId?: string,
  ): { written: true; version: number } | { written: false; current: StoreWireEntry | null };
  delete(key: string, expectedVersion: number): boolean;
  list(prefix: string): StoreWireEntry[];
  grantLease(ttlMilliseconds: number): string;
  renewLease(leaseId: string): boolean;
  revokeLease(leaseId: string): boolean;
  /** Ends expired leases; called before each operation. */
  expireLeases(): void;
  readonly revision: () => number;
  changedKeys(prefix: string, afterRevision: number): string[];
}

function toWire(entry: StoredEntry): StoreWireEntry {
  return { key: entry.key, value: entry.value, version: entry.version };
}

/**
 * Creates the content of a store.
 *
 * @param nowMilliseconds monotonic time in milliseconds
 * @returns the content
 */
export function createStoreState(nowMilliseconds: () => number): StoreState {
  const entries = new Map<string, StoredEntry>();
  const changeRevisions = new Map<string, number>();
  const leases = new Map<string, Lease>();
  let revision = 0;

  function recordChange(key: string): number {
    revision += 1;
    changeRevisions.set(key, revision);
    return revision;
  }

  function removeEntry(key: string): void {
    entries.delete(key);
    recordChange(key);
  }

  function endLease(leaseId: string): boolean {
    const existed = leases.delete(leaseId);
    [...entries.values()]
      .filter((entry) => entry.leaseId === leaseId)
      .forEach((entry) => removeEntry(entry.key));
    return existed;
  }

  return {
    revision: () => revision,
    get(key) {
      const entry = entries.get(key);
      return entry ? toWire(entry) : null;
    },
    put(key, value, expectedVersion, leaseId) {
      const entry = entries.get(key);
      const isLeaseUnknown = leaseId !== undefined && !leases.has(leaseId);
      if ((entry?.version ?? 0) !== expectedVersion || isLeaseUnknown) {
        return { written: false, current: entry ? toWire(entry) : null };
      }
      // Versions come from the revision, so that a key deleted and created again has a new version.
      const version = recordChange(key);
      entries.set(key, { key, value, version, leaseId: leaseId ?? null, revision: version });
      return { written: true, version };
    },
    delete(key, expectedVersion) {
      const entry = entries.get(key);
      if (!entry) return true;
      if (entry.version !== expectedVersion) return false;
      removeEntry(key);
      return true;
    },
    list(prefix) {
      return [...entries.values()]
        .filter((entry) => entry.key.startsWith(prefix))
        .sort((left, right) => (left.key < right.key ? -1 : 1))
        .map(toWire);
    },
    grantLease(ttlMilliseconds) {
      const leaseId = randomUUID();
      leases.set(leaseId, { ttlMilliseconds, expiresAt: nowMilliseconds() + ttlMilliseconds });
      return leaseId;
    },
    renewLease(leaseId) {
      const lease = leases.get(leaseId);
      if (!lease) return false;
      lease.expiresAt = nowMilliseconds() + lease.ttlMilliseconds;
      return true;
    },
    revokeLease: endLease,
    expireLeases() {
      const now = nowMilliseconds();
      [...leases.entries()]
        .filter(([, lease]) => lease.expiresAt <= now)
        .forEach(([leaseId]) => endLease(leaseId));
    },
    changedKeys(prefix, afterRevision) {
      return [...changeRevisions.entries()]
        .filter(([key, changedAt]) => key.startsWith(prefix) && changedAt > afterRevision)
        .map(([key]) => key);
    },
  };
}
