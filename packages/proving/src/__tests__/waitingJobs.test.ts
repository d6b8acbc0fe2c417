import test from 'ava';

import { createJobId, createJobSpecification, createSchedulerCell } from '../core/schedulerCell.js';

test('a job whose starts never reach their endpoint counts as waiting until it runs', async (t) => {
  const cell = createSchedulerCell({ count: 1, durationOf: () => 5_000 });
  const readWaiting = () => cell.call({ action: 'status', path: '/work/' });
  const readStatus = () => cell.call({ action: 'status', path: `/work/${createJobId(1)}` });
  cell.startProcess('first');
  await cell.advance(600);
  cell.fleet.faultsOf('endpoint-0').isCutOff = true;
  await cell.call({ specification: createJobSpecification({}) });
  await cell.advance(3_000);
  t.is(cell.fleet.history.length, 0);
  t.deepEqual(await readWaiting(), { kind: 'waiting', count: 1 });
  t.deepEqual(await readStatus(), { kind: 'status', status: 'pending' });
  cell.fleet.faultsOf('endpoint-0').isCutOff = false;
  await cell.advance(3_000);
  t.is(cell.fleet.history.length, 1);
  t.deepEqual(await readWaiting(), { kind: 'waiting', count: 0 });
  t.deepEqual(await readStatus(), { kind: 'status', status: 'running' });
});

test('a job whose only run ends before its endpoint confirms it no longer counts as waiting', async (t) => {
  const cell = createSchedulerCell({ count: 1, durationOf: () => 1 });
  cell.startProcess('first');
  await cell.advance(600);
  await cell.call({ specification: createJobSpecification({}, { after: [0] }) });
  await cell.advance(2_000);
  t.deepEqual(await cell.call({ action: 'status', path: '/work/' }), { kind: 'waiting', count: 0 });
});
