import test from 'ava';

import { createSchedulerCell, jobId, jobOf } from './schedulerCell.js';

/** Lets the owner learn the usual time of a run. */
async function learn(cell: ReturnType<typeof createSchedulerCell>): Promise<void> {
  for (let index = 1; index <= 4; index += 1) {
    await cell.call({ path: `/work/${jobId(index)}`, specification: jobOf({ count: 4 }) });
    await cell.pass(700);
  }
}

test('tasks that stand still on one endpoint end elsewhere, within about two usual times', async (t) => {
  const cell = createSchedulerCell({ durationOf: () => 500 });
  cell.startProcess('first');
  await cell.pass(200);
  await learn(cell);
  cell.fleet.faultsOf('endpoint-0').slowness = Infinity;
  const path = `/work/${jobId(9)}`;
  await cell.call({ path, specification: jobOf({ count: 20 }) });
  await cell.pass(3_000);
  t.true(cell.fleet.history.some(({ kind }) => kind === 'stopped'));
  t.deepEqual(await cell.call({ action: 'status', path }), { kind: 'status', status: 'completed' });
  t.deepEqual(cell.fleet.violations(), []);
});

test('a job whose tasks are all long is not moved about', async (t) => {
  const cell = createSchedulerCell({
    durationOf: ({ taskId }) => (taskId.startsWith(jobId(9)) ? 5_000 : 500),
  });
  cell.startProcess('first');
  await cell.pass(200);
  await learn(cell);
  const path = `/work/${jobId(9)}`;
  await cell.call({ path, specification: jobOf({ count: 6 }) });
  await cell.pass(6_000);
  t.is(cell.fleet.history.filter(({ taskId }) => taskId.startsWith(jobId(9))).length, 6);
  t.deepEqual(await cell.call({ action: 'status', path }), { kind: 'status', status: 'completed' });
});
