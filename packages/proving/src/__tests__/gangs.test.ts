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

test('members that fail in the same run count as one failure of their gang', async (t) => {
  const cell = createSchedulerCell({ durationOf: () => 1_000 });
  cell.startProcess('first');
  await cell.advance(200);
  await cell.call({ specification: createJobSpecification({ count: 4, isGang: true }) });
  await cell.advance(300);
  const first = [...cell.fleet.history];
  t.is(first.length, 4);
  first.slice(0, 2).forEach(({ endpointId, taskId }) => cell.fleet.failRun(endpointId, taskId));
  await cell.advance(4_000);
  t.deepEqual(await cell.call({ action: 'status' }), { kind: 'status', status: 'completed' });
  t.is(cell.fleet.history.filter(({ run }) => run === 2).length, 4);
  t.deepEqual(cell.fleet.violations(), []);
});

test('failures in one run of a gang count once also when a new owner learns of the later ones', async (t) => {
  const cell = createSchedulerCell({
    capacity: { processors: 1, memoryBytes: 1_000, accelerators: 0 },
    durationOf: () => 2_500,
  });
  const former = cell.startProcess('first');
  await cell.advance(200);
  await cell.call({ specification: createJobSpecification({ count: 4, isGang: true }) });
  await cell.advance(300);
  const [failedFirst, failedLater, ...others] = cell.fleet.history;
  others.forEach(({ endpointId }) => {
    cell.fleet.faultsOf(endpointId).isCutOff = true;
  });
  cell.fleet.faultsOf(failedLater!.endpointId).isCutOff = true;
  cell.fleet.failRun(failedFirst!.endpointId, failedFirst!.taskId);
  cell.fleet.failRun(failedLater!.endpointId, failedLater!.taskId);
  await cell.advance(200);
  former.kill();
  [failedLater!, ...others].forEach(({ endpointId }) => {
    cell.fleet.faultsOf(endpointId).isCutOff = false;
  });
  cell.startProcess('second');
  await cell.advance(12_000);
  t.deepEqual(await cell.call({ action: 'status' }), { kind: 'status', status: 'completed' });
  t.deepEqual(cell.fleet.violations(), []);
});

test('a gang is given up after as many failed runs as its queue allows', async (t) => {
  const cell = createSchedulerCell({ durationOf: () => 1_000 });
  cell.startProcess('first');
  await cell.advance(200);
  await cell.call({ specification: createJobSpecification({ count: 4, isGang: true }) });
  for (let run = 1; run <= 2; run += 1) {
    await cell.advance(600);
    cell.fleet.history
      .filter((entry) => entry.run === run)
      .slice(run)
      .forEach(({ endpointId, taskId }) => cell.fleet.failRun(endpointId, taskId));
  }
  await cell.advance(1_000);
  t.deepEqual(await cell.call({ action: 'status' }), { kind: 'status', status: 'failed' });
  t.is(Math.max(...cell.fleet.history.map(({ run }) => run)), 2);
});
