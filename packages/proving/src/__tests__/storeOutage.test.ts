import test from 'ava';

import { createJobSpecification, createSchedulerCell } from './schedulerCell.js';

test('a cancellation of a job that has ended is acknowledged without a write', async (t) => {
  const cell = createSchedulerCell({ durationOf: () => 300 });
  cell.startProcess('first');
  await cell.advance(200);
  await cell.call({ specification: createJobSpecification({ count: 2 }) });
  await cell.advance(1_000);
  t.deepEqual(await cell.call({ action: 'status' }), { kind: 'status', status: 'completed' });
  const writes = cell.store.writeCount();
  cell.store.faultsOf('first').outage = 'silent';
  const sentAt = cell.clock.monotonicMilliseconds();
  t.deepEqual(await cell.call({ action: 'cancel' }), { kind: 'cancelled' });
  t.true(cell.clock.monotonicMilliseconds() - sentAt < 100);
  t.is(cell.store.writeCount(), writes);
});

test('a repeated cancellation is acknowledged only once the first one is durable', async (t) => {
  const cell = createSchedulerCell({ durationOf: () => 5_000 });
  cell.startProcess('first');
  await cell.advance(200);
  await cell.call({ specification: createJobSpecification({ count: 2 }) });
  await cell.advance(200);
  cell.store.faultsOf('first').outage = 'silent';
  const first = await cell.call({ action: 'cancel' });
  t.is(first.kind, 'failed');
  // The lease of the owner has ended meanwhile, and the next term does not know the cancellation.
  cell.store.faultsOf('first').outage = null;
  await cell.advance(2_000);
  t.deepEqual(await cell.call({ action: 'status' }), { kind: 'status', status: 'running' });
  t.deepEqual(await cell.call({ action: 'cancel' }), { kind: 'cancelled' });
  t.deepEqual(await cell.call({ action: 'status' }), { kind: 'status', status: 'cancelled' });
});
