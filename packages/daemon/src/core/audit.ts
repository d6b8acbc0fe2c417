import { randomUUID } from 'node:crypto';

import { Ok } from '@chicorybend/common';
import type { Result, StoreClient, StoreEntry, StoreError } from '@chicorybend/common';

import type { AuditEntry, AuditPointer, StoredRoot } from '../types/configurationRecords.js';

/** Entries per page; a page is read with one call of the store. */
export const AUDIT_ENTRIES_PER_PAGE = 100;
/** Number of pages that are retained: 20,000 entries, more than a day at 18,000 changes per day. */
export const AUDIT_RETAINED_PAGES = 200;
const KEY_NUMBER_DIGITS = 10;
const AUDIT_KEY_PREFIX = 'configuration/audit/';

/** Content of an entry, without its position in the trail. */
export type AuditEntryContent = Omit<AuditEntry, 'sequence' | 'entryId' | 'previousEntryId'>;

/** Result of reading the trail; entries are newest first. */
export interface AuditReadResult {
  readonly entries: readonly AuditEntry[];
  /** Whether older entries exist that were not returned, because of the limit or because they were deleted. */
  readonly isTruncated: boolean;
}

/**
 * Audit trail in the store: a linked list whose newest entry is named by the configuration root, and whose entries
 * name their predecessors. An entry is written before the root that names it, and joins the trail with that root's
 * compare-and-swap. So every operation has an entry, and the entry of an operation that did not take effect is not
 * part of the trail.
 */
export interface AuditTrail {
  /**
   * Writes the entry that follows the root's newest one. It is not part of the trail until a root names it.
   *
   * @param root root that the operation is based on
   * @returns pointer for the next root
   */
  prepare(root: StoredRoot, content: AuditEntryContent): Promise<Result<AuditPointer, StoreError>>;
  /** Checks whether an entry is part of the trail that ends at the root. */
  contains(root: StoredRoot, pointer: AuditPointer): Promise<Result<boolean, StoreError>>;
  /** Reads up to `limit` entries that match the predicate, newest first. */
  read(
    root: StoredRoot,
    limit: number,
    isMatch?: (entry: AuditEntry) => boolean,
  ): Promise<Result<AuditReadResult, StoreError>>;
  /** Deletes the oldest page if there are more than are retained; after an error of the store the next call retries. */
  trim(root: StoredRoot): Promise<void>;
}

function pageOf(sequence: number): number {
  return Math.floor(sequence / AUDIT_ENTRIES_PER_PAGE);
}

function pagePrefix(page: number): string {
  return `${AUDIT_KEY_PREFIX}${String(page).padStart(KEY_NUMBER_DIGITS, '0')}/`;
}

function entryKey(sequence: number, entryId: string): string {
  return `${pagePrefix(pageOf(sequence))}${String(sequence).padStart(KEY_NUMBER_DIGITS, '0')}-${entryId}`;
}

export function createAuditTrail(store: StoreClient): AuditTrail {
  /** Lower pages were deleted by this daemon; the next root records this number as its first page. */
  let firstRetainedPage = 0;

  async function readPage(
    page: number,
  ): Promise<Result<ReadonlyMap<string, AuditEntry>, StoreError>> {
    const listed = await store.list<AuditEntry>(pagePrefix(page));
    return listed.map(
      (entries) =>
        new Map(
          entries.map((entry: StoreEntry<AuditEntry>) => [entry.data.entryId, entry.data] as const),
        ),
    );
  }

  /** Visits the entries from the newest one backwards, until the visitor returns false. */
  async function walk(
    pointer: AuditPointer | null,
    visit: (entry: AuditEntry) => boolean,
  ): Promise<Result<void, StoreError>> {
    let nextId = pointer?.entryId ?? null;
    let page = pageOf(pointer?.sequence ?? 0);
    while (nextId !== null && page >= (pointer?.firstPage ?? 0)) {
      const entries = await readPage(page);
      if (entries.isErr()) return entries;
      for (let entry = entries.value.get(nextId); entry;) {
        if (!visit(entry)) return Ok(undefined);
        nextId = entry.previousEntryId;
        entry = nextId === null ? undefined : entries.value.get(nextId);
      }
      page -= 1;
    }
    return Ok(undefined);
  }

  return {
    async prepare(root, content) {
      const sequence = (root.audit?.sequence ?? 0) + 1;
      const entryId = randomUUID();
      const entry: AuditEntry = {
        ...content,
        sequence,
        entryId,
        previousEntryId: root.audit?.entryId ?? null,
      };
      const key = entryKey(sequence, entryId);
      const written = await store.put({ key, data: entry, expectedVersion: 0 });
      const firstPage = Math.max(root.audit?.firstPage ?? 0, firstRetainedPage);
      return written.map(() => ({ sequence, entryId, firstPage }));
    },
    async contains(root, pointer) {
      let isFound = false;
      const walked = await walk(root.audit, (entry) => {
        isFound = entry.entryId === pointer.entryId;
        return !isFound && entry.sequence > pointer.sequence;
      });
      return walked.map(() => isFound);
    },
    async read(root, limit, isMatch = () => true) {
      const entries: AuditEntry[] = [];
      let oldest = 1;
      const walked = await walk(root.audit, (entry) => {
        oldest = entry.sequence;
        if (isMatch(entry)) entries.push(entry);
        return entries.length < limit;
      });
      return walked.map(() => ({ entries, isTruncated: oldest > 1 }));
    },
    async trim(root) {
      if (!root.audit) return;
      const page = Math.max(root.audit.firstPage, firstRetainedPage);
      if (pageOf(root.audit.sequence) - page < AUDIT_RETAINED_PAGES) return;
      const listed = await store.list(pagePrefix(page));
      if (listed.isErr()) return;
      for (const entry of listed.value) {
        const deleted = await store.delete(entry.key, entry.version);
        if (deleted.isErr()) return;
      }
      firstRetainedPage = page + 1;
    },
  };
}
