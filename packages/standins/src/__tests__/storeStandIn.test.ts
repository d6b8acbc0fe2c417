import test from 'ava';

import { createStoreClient, createSystemClock } from '@chicorybend/common';

import { startStoreStandIn } from '../index.js';

test('a compare-and-swap whose answer is lost is resolved by reading, not written twice', async (t) => {
  const store = await startStoreStandIn();
  const client = createStoreClient({ address: store.address, clock: createSystemClock() });
  store.faults.lostAnswerFraction = 1;
  const outcome = await client.put({ key: 'a', data: 1, expectedVersion: 0 });
  store.faults.lostAnswerFraction = 0;
  t.is(outcome.unwrap().kind, 'written');
  const secondOutcome = await client.put({ key: 'a', data: 2, expectedVersion: 0 });
  t.is(secondOutcome.unwrap().kind, 'conflict');
  await client.close();
  await store.close();
});

test('keys under a lease disappear when it is not renewed', async (t) => {
  const store = await startStoreStandIn();
  const client = createStoreClient({ address: store.address, clock: createSystemClock() });
  t.teardown(async () => {
    await client.close();
    await store.close();
  });
  // Long enough for the reading below on a busy machine.
  const leaseId = (await client.grantLease(2_000)).unwrap();
  await client.put({ key: 'session', data: {}, expectedVersion: 0, leaseId });
  t.truthy((await client.get('session')).unwrap());
  await new Promise((resolve) => {
    setTimeout(resolve, 2_100);
  });
  t.is((await client.get('session')).unwrap(), null);
  t.false((await client.renewLease(leaseId)).unwrap());
});

test('a write to a store that is down is reported as unresolved, because it may have been sent', async (t) => {
  const store = await startStoreStandIn();
  const client = createStoreClient({ address: store.address, clock: createSystemClock() });
  store.faults.isDown = true;
  const outcome = await client.put(
    { key: 'a', data: 1, expectedVersion: 0 },
    { deadlineMilliseconds: 300 },
  );
  t.is(outcome.unwrapErr().kind, 'unresolved');
  await client.close();
  await store.close();
});
