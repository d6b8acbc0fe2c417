import test from 'ava';

import { waitUntil } from './interactiveStubs.js';
import { startStubbedOwnership } from './ownershipStubs.js';

const PARTITIONS = 3;

test('a lease from before a lapse of the authority does not act in the time until the next turn', async (t) => {
  const cell = await startStubbedOwnership(t, PARTITIONS);
  await waitUntil(() => cell.ownership.servedPartitions().length === PARTITIONS);
  const before = [...cell.leases];
  t.true(before.every((lease) => lease.mayAct()));
  // The authority lapsed and came back between two turns, in which another daemon may have taken over.
  cell.generation += 1;
  t.true(before.every((lease) => !lease.mayAct()));
  await waitUntil(() => cell.leases.length === 2 * PARTITIONS);
  t.true(before.every((lease) => !lease.mayAct()));
  const claimedAgain = cell.leases.slice(PARTITIONS);
  t.true(claimedAgain.every((lease) => lease.mayAct() && lease.epoch === 2));
});
