import test from 'ava';

import { waitUntil } from './interactiveStubs.js';
import { startStubbedOwnership } from './ownershipStubs.js';

const PARTITIONS = 3;
const REFRESHES = 60;
const REFRESH_INTERVAL_MILLISECONDS = 25;

/**
 * Each attempt of an overlapping reading that times out costs the store a connection, and delays the renewal of the
 * session in the pool of the client.
 */
test('during a store outage, requested readings of the owner records do not overlap', async (t) => {
  const cell = await startStubbedOwnership(t, PARTITIONS);
  await waitUntil(() => cell.ownership.servedPartitions().length === PARTITIONS);
  cell.store.faults.isDown = true;
  for (let count = 0; count < REFRESHES; count += 1) {
    cell.ownership.refreshOwner(0);
    await new Promise((resolve) => {
      setTimeout(resolve, REFRESH_INTERVAL_MILLISECONDS);
    });
  }
  // One of the regular pass, and one on request.
  t.true(cell.mostOpenListings() <= 2, `${cell.mostOpenListings()} readings at the same time`);
});

test('a reading on request follows one that failed', async (t) => {
  const cell = await startStubbedOwnership(t, PARTITIONS);
  await waitUntil(() => cell.ownership.servedPartitions().length === PARTITIONS);
  cell.ownership.stop();
  cell.store.faults.isDown = true;
  cell.ownership.refreshOwner(0);
  await new Promise((resolve) => {
    setTimeout(resolve, 2_500);
  });
  cell.store.faults.isDown = false;
  const before = cell.store.counts.reads;
  cell.ownership.refreshOwner(0);
  await waitUntil(() => cell.store.counts.reads > before);
  t.true(cell.store.counts.reads > before);
});
