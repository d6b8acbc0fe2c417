import test from 'ava';

import { createJobSpecification, createSchedulerCell } from '../core/schedulerCell.js';

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

test('calls are answered within a second after an outage in which reads got no answer', async (t) => {
  const cell = createSchedulerCell();
  cell.startProcess('first');
  await cell.advance(200);
  await cell.call({ specification: createJobSpecification({ count: 1 }) });
  for (let outage = 0; outage < 10; outage += 1) {
    cell.isConfigurationSilent = true;
    await cell.advance(5_000 + 300 * outage);
    const refused = await cell.call({ action: 'status' });
    t.is(refused.kind, 'failed');
    cell.isConfigurationSilent = false;
    await cell.advance(1_000);
    const answered = await cell.call({ action: 'status' });
    t.is(answered.kind, 'status');
  }
});
