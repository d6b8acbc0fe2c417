import test from 'ava';

import { createSchedulerCell, createJobId, createJobSpecification } from '../core/schedulerCell.js';

/** Completes several short jobs, from which the owner learns the usual duration of a run. */
async function completeShortJobs(cell: ReturnType<typeof createSchedulerCell>): Promise<void> {
  for (let index = 1; index <= 4; index += 1) {
    await cell.call({
      path: `/work/${createJobId(index)}`,
      specification: createJobSpecification({ count: 4 }),
    });
    await cell.advance(700);
  }
}

test('tasks that stall on one endpoint are completed elsewhere within about twice the usual duration', async (t) => {
  const cell = createSchedulerCell({ durationOf: () => 500 });
  cell.startProcess('first');
  await cell.advance(200);
  await completeShortJobs(cell);
  cell.fleet.faultsOf('endpoint-0').slowness = Infinity;
  const path = `/work/${createJobId(9)}`;
  await cell.call({ path, specification: createJobSpecification({ count: 20 }) });
  await cell.advance(3_000);
  t.true(cell.fleet.history.some(({ kind }) => kind === 'stopped'));
  t.deepEqual(await cell.call({ action: 'status', path }), { kind: 'status', status: 'completed' });
  t.deepEqual(cell.fleet.violations(), []);
});

test('the tasks of a job that are all long are not restarted as stragglers', async (t) => {
  const cell = createSchedulerCell({
    durationOf: ({ taskId }) => (taskId.startsWith(createJobId(9)) ? 5_000 : 500),
  });
  cell.startProcess('first');
  await cell.advance(200);
  await completeShortJobs(cell);
  const path = `/work/${createJobId(9)}`;
  await cell.call({ path, specification: createJobSpecification({ count: 6 }) });
  await cell.advance(6_000);
  t.is(cell.fleet.history.filter(({ taskId }) => taskId.startsWith(createJobId(9))).length, 6);
  t.deepEqual(await cell.call({ action: 'status', path }), { kind: 'status', status: 'completed' });
});
