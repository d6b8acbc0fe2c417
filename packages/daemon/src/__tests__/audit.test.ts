import { createStoreClient, createSystemClock } from '@chicorybend/common';
import { startStoreStandIn } from '@chicorybend/standins';
import test from 'ava';

import { AUDIT_ENTRIES_PER_PAGE, AUDIT_RETAINED_PAGES, createAuditTrail } from '../core/audit.js';
import type { AuditEntryContent } from '../core/audit.js';
import type { AuditPointer, StoredRoot } from '../types/configurationRecords.js';

const ENTRY_CONTENT: AuditEntryContent = {
  operator: 'anna',
  daemonId: 'a',
  action: 'configuration.apply',
  subject: null,
  at: 1,
  fromRevision: 1,
  toRevision: 2,
  sections: [],
  differences: [],
  omittedDifferences: 0,
};

function rootWith(audit: AuditPointer | null): StoredRoot {
  return {
    revision: 1,
    sections: {},
    changedBy: 'anna',
    changedAt: 1,
    changedSections: [],
    lastChanges: {},
    audit,
  };
}

test('the trail is read across pages, and deleted pages are not read again', async (t) => {
  const standIn = await startStoreStandIn({ writesPerSecond: 100_000, readsPerSecond: 100_000 });
  const store = createStoreClient({ address: standIn.address, clock: createSystemClock() });
  t.teardown(async () => {
    await store.close();
    await standIn.close();
  });
  const trail = createAuditTrail(store);
  let pointer: AuditPointer | null = null;
  const count = AUDIT_ENTRIES_PER_PAGE + 20;
  for (let index = 0; index < count; index += 1) {
    pointer = (await trail.prepare(rootWith(pointer), ENTRY_CONTENT)).unwrap();
  }
  const result = (await trail.read(rootWith(pointer), 1_000)).unwrap();
  t.deepEqual(
    result.entries.map((entry) => entry.sequence),
    Array.from({ length: count }, (_, index) => count - index),
  );
  t.false(result.isTruncated);

  const pointerPastRetention = {
    sequence: AUDIT_RETAINED_PAGES * AUDIT_ENTRIES_PER_PAGE + 1,
    entryId: pointer?.entryId ?? '',
    firstPage: 0,
  };
  await trail.trim(rootWith(pointerPastRetention));
  t.is(standIn.state.list('configuration/audit/').length, 21, 'only the second page is left');
  const next = (await trail.prepare(rootWith(pointerPastRetention), ENTRY_CONTENT)).unwrap();
  t.is(next.firstPage, 1);
  const kept = (
    await trail.read(rootWith({ ...(pointer ?? pointerPastRetention), firstPage: 1 }), 1_000)
  ).unwrap();
  t.is(kept.entries.length, 21);
  t.true(kept.isTruncated);
});
