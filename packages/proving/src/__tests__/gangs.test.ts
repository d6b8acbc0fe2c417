import test from 'ava';

import { createSchedulerCell, createJobSpecification } from './schedulerCell.js';

test('a gang that a member cannot join is stopped at once and started again as a whole', async (t) => {
  const cell = createSchedulerCell({
    count: 3,
    capacity: { processors: 2, memoryBytes: 1_000, accelerators: 0 },
    durationOf: () => 6_000,
  });
  cell.startProcess('first');
  await cell.advance(200);
  // The start on one endpoint is carried out too late to count.
  cell.fleet.faultsOf('endpoint-2').unansweredStartDelayMilliseconds = 2_500;
  await cell.call({ specification: createJobSpecification({ count: 6, isGang: true }) });
  await cell.advance(2_500);
  const first = cell.fleet.history.filter(({ run }) => run === 1);
  t.true(first.length > 0);
  t.true(first.every(({ kind }) => kind === 'stopped'));
  cell.fleet.faultsOf('endpoint-2').unansweredStartDelayMilliseconds = null;
  await cell.advance(12_000);
  t.deepEqual(await cell.call({ action: 'status' }), { kind: 'status', status: 'completed' });
  t.deepEqual(cell.fleet.violations(), []);
});
