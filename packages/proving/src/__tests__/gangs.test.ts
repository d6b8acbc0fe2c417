import test from 'ava';

import { createSchedulerCell, createJobSpecification } from '../core/schedulerCell.js';

test('a gang is stopped at once and restarted as a whole when a member cannot start', async (t) => {
  const cell = createSchedulerCell({
    count: 3,
    capacity: { processors: 2, memoryBytes: 1_000, accelerators: 0 },
    durationOf: () => 6_000,
  });
  cell.startProcess('first');
  await cell.advance(200);
  // Starts on this endpoint take effect too late and without an answer.
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
