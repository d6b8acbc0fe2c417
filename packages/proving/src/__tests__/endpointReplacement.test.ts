import test from 'ava';

import { createJobSpecification, createSchedulerCell } from '../core/schedulerCell.js';

test('runs of an endpoint that another one replaced at its address are repeated before their leases expire', async (t) => {
  const cell = createSchedulerCell({ count: 2, durationOf: () => 2_000 });
  cell.startProcess('first');
  await cell.advance(200);
  await cell.call({ specification: createJobSpecification({ count: 8 }) });
  await cell.advance(500);
  const { endpointId } = cell.fleet.history[0]!;
  cell.fleet.crash(endpointId, { downMilliseconds: 1_000, keepsId: false });
  await cell.advance(2_000);
  const repeated = cell.fleet.history.filter(({ run }) => run > 1);
  t.is(repeated.length, 8);
  t.deepEqual(cell.fleet.violations(), []);
});
