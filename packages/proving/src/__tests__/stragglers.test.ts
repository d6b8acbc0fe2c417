import test from 'ava';

import { createSchedulerCell, createJobId, createJobSpecification } from './schedulerCell.js';

/** Lets the owner learn the usual time of a run. */
async function completeShortJobs(cell: ReturnType<typeof createSchedulerCell>): Promise<void> {
  for (let index = 1; index <= 4; index += 1) {
    await cell.call({
      path: `/work/${createJobId(index)}`,
      specification: createJobSpecification({ count: 4 }),
    });
    await cell.advance(700);
  }
}

test('tasks that stand still on one endpoint end elsewhere, within about two usual times', async (t) => {
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

test('a job whose tasks are all long is not moved about', async (t) => {
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
