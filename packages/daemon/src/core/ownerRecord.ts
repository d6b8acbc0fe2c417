import type { StoreEntry } from '@chicorybend/common';

/** Prefix of the owner records. */
export const OWNER_PREFIX = 'owners/';

/** Value of the store key `owners/<partition>`. It has no lease, so that the epoch is never lost. */
export interface OwnerRecord {
  readonly daemonId: string;
  readonly incarnation: string;
  readonly epoch: number;
  /** Whether the former owner passed the partition on in a planned handover. */
  readonly isHandover: boolean;
}

/** An owner record with the version of its key. */
export interface VersionedOwner extends OwnerRecord {
  readonly version: number;
}

/**
 * @param partition partition number
 * @returns key of the owner record
 */
export function ownerKey(partition: number): string {
  return `${OWNER_PREFIX}${partition}`;
}

/**
 * Reads owner records from a listing.
 *
 * @param entries entries under {@link OWNER_PREFIX}
 * @returns owners by partition
 */
export function parseOwners(
  entries: readonly StoreEntry<OwnerRecord>[],
): Map<number, VersionedOwner> {
  return new Map(
    entries.map((entry) => [
      Number(entry.key.slice(OWNER_PREFIX.length)),
      { ...entry.data, version: entry.version },
    ]),
  );
}
