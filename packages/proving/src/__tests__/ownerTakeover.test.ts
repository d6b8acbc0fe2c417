import test from 'ava';

import {
  advanceUntil,
  CONFIGURATION,
  createSchedulerCell,
  createJobId,
  createJobSpecification,
} from '../core/schedulerCell.js';

test('an end is not acknowledged before it is durable, so that a new owner does not repeat the run', async (t) => {
  const cell = createSchedulerCell({ durationOf: () => 1_000 });
  const first = cell.startProcess('first');
  await cell.advance(200);
  const answer = await cell.call({ specification: createJobSpecification({ count: 3 }) });
  t.is(answer.kind, 'accepted');
  await cell.advance(900);
  // Writes no longer take effect, while the owner keeps its lease and continues to call the endpoints.
  Object.assign(cell.store.faultsOf('first'), {
    lostAnswerFraction: 1,
    unansweredWriteDelayMilliseconds: 1e6,
  });
  await cell.advance(3_000);
  t.true(cell.fleet.history.every(({ kind }) => kind === 'done'));
  first.kill();
  cell.startProcess('second');
  await cell.advance(4_000);
  t.deepEqual(cell.fleet.violations(), []);
  const status = await cell.call({ action: 'status' });
  t.deepEqual(status, { kind: 'status', status: 'completed' });
  t.is(cell.fleet.history.length, 3);
});

test('the leases of runs on a permanently lost endpoint lapse, and the runs are repeated elsewhere', async (t) => {
  const cell = createSchedulerCell({ count: 2, durationOf: () => 8_000 });
  cell.startProcess('first');
  await cell.advance(200);
  await cell.call({ specification: createJobSpecification({ count: 2 }) });
  await cell.advance(500);
  const [run] = cell.fleet.history;
  cell.fleet.kill(run!.endpointId);
  cell.fleet.unlist(run!.endpointId);
  await cell.advance(9_000);
  t.is(cell.fleet.history.filter(({ taskId }) => taskId === run!.taskId).length, 2);
  t.deepEqual(cell.fleet.violations(), []);
});

test('a new owner adopts running tasks and starts those that never reached an endpoint', async (t) => {
  const cell = createSchedulerCell({ durationOf: () => 5_000 });
  const first = cell.startProcess('first');
  await cell.advance(200);
  await cell.call({ specification: createJobSpecification({ count: 4 }) });
  await cell.advance(300);
  first.kill();
  cell.startProcess('second');
  await cell.advance(3_000);
  t.is(cell.fleet.history.length, 4);
  await cell.advance(3_000);
  t.deepEqual(await cell.call({ action: 'status' }), { kind: 'status', status: 'completed' });
  t.deepEqual(cell.fleet.violations(), []);
});

test('a start that takes effect late neither runs the task twice nor loses it', async (t) => {
  const cell = createSchedulerCell({ count: 2, durationOf: () => 1_000 });
  cell.startProcess('first');
  await cell.advance(200);
  cell.fleet.faultsOf('endpoint-0').unansweredStartDelayMilliseconds = 2_500;
  cell.fleet.faultsOf('endpoint-1').unansweredStartDelayMilliseconds = 2_500;
  await cell.call({ specification: createJobSpecification({ count: 2 }) });
  await cell.advance(200);
  cell.fleet.faultsOf('endpoint-0').unansweredStartDelayMilliseconds = null;
  cell.fleet.faultsOf('endpoint-1').unansweredStartDelayMilliseconds = null;
  await cell.advance(8_000);
  t.deepEqual(cell.fleet.violations(), []);
  t.deepEqual(await cell.call({ action: 'status' }), { kind: 'status', status: 'completed' });
});

test('commits apply each change exactly once despite lost answers and late writes', async (t) => {
  let draw = 0;
  const random = () => {
    draw = (draw * 16_807 + 11) % 2_147_483_647;
    return draw / 2_147_483_647;
  };
  const cell = createSchedulerCell({ durationOf: () => 300 }, random);
  cell.startProcess('first');
  await cell.advance(200);
  const faults = cell.store.faultsOf('first');
  faults.lostAnswerFraction = 0.4;
  faults.unansweredWriteDelayMilliseconds = 1_500;
  for (let index = 1; index <= 6; index += 1) {
    const path = `/work/${createJobId(index)}`;
    await cell.call({ path, specification: createJobSpecification({ count: 2 }, { after: [0] }) });
  }
  await cell.advance(9_000);
  faults.lostAnswerFraction = 0;
  await cell.advance(6_000);
  for (let index = 1; index <= 6; index += 1) {
    const answer = await cell.call({ action: 'status', path: `/work/${createJobId(index)}` });
    t.deepEqual(answer, { kind: 'status', status: 'completed' });
  }
  t.deepEqual(cell.fleet.violations(), []);
});

test('a task whose start got no answer runs elsewhere within a second', async (t) => {
  const cell = createSchedulerCell({ durationOf: () => 400 });
  cell.startProcess('first');
  await cell.advance(200);
  for (let index = 1; index <= 5; index += 1) {
    await cell.call({
      path: `/work/${createJobId(index)}`,
      specification: createJobSpecification({ count: 8 }),
    });
    await cell.advance(600);
  }
  cell.fleet.faultsOf('endpoint-0').unansweredStartDelayMilliseconds = 4_000;
  const path = `/work/${createJobId(9)}`;
  await cell.call({ path, specification: createJobSpecification({ count: 32 }) });
  await cell.advance(1_300);
  t.deepEqual(await cell.call({ action: 'status', path }), { kind: 'status', status: 'completed' });
  await cell.advance(5_000);
  t.deepEqual(cell.fleet.violations(), []);
});

test('reads that are lost during a takeover are retried within half a second', async (t) => {
  const cell = createSchedulerCell();
  const faults = cell.store.faultsOf('first');
  const first = cell.startProcess('first', () => {
    faults.outage = 'silent';
  });
  while (!first.term()) await cell.advance(2);
  await cell.advance(100);
  faults.outage = null;
  await cell.advance(400);
  const answer = await cell.call({ specification: createJobSpecification({ count: 1 }) });
  t.is(answer.kind, 'accepted');
});

test('a VM with less capacity claims ownership only if no other VM does', async (t) => {
  const cell = createSchedulerCell();
  const first = cell.startProcess('first');
  await cell.advance(200);
  const weak = cell.startProcess('weak', undefined, 150);
  const strong = cell.startProcess('strong');
  await cell.advance(200);
  first.kill();
  await cell.advance(2_000);
  t.is(weak.term(), null);
  t.not(strong.term(), null);
  strong.kill();
  await cell.advance(2_000);
  t.not(weak.term(), null);
});

test('a new owner stops the runs of a job that was cancelled under the former one', async (t) => {
  const cell = createSchedulerCell({ durationOf: () => Infinity });
  const first = cell.startProcess('first');
  await cell.advance(200);
  await cell.call({ specification: createJobSpecification({ count: 4, isLongRunning: true }) });
  await cell.advance(300);
  const endpointIds = new Set(cell.fleet.history.map(({ endpointId }) => endpointId));
  endpointIds.forEach((endpointId) => {
    cell.fleet.faultsOf(endpointId).isCutOff = true;
  });
  t.deepEqual(await cell.call({ action: 'cancel' }), { kind: 'cancelled' });
  first.kill();
  endpointIds.forEach((endpointId) => {
    cell.fleet.faultsOf(endpointId).isCutOff = false;
  });
  cell.startProcess('second');
  await cell.advance(2_500);
  t.deepEqual(
    cell.fleet.history.map(({ kind }) => kind),
    ['stopped', 'stopped', 'stopped', 'stopped'],
  );
});

test('a failure that a new owner learns of before the configuration counts against the configured limit', async (t) => {
  const cell = createSchedulerCell({ durationOf: () => 800 });
  const first = cell.startProcess('first');
  await cell.advance(200);
  await cell.call({ specification: createJobSpecification({ count: 1 }) });
  await cell.advance(300);
  const [run] = cell.fleet.history;
  first.kill();
  cell.fleet.failRun(run!.endpointId, run!.taskId);
  cell.isConfigurationReadable = false;
  const second = cell.startProcess('second');
  while (!second.term()) await cell.advance(2);
  await cell.advance(400);
  cell.isConfigurationReadable = true;
  await cell.advance(4_000);
  t.deepEqual(await cell.call({ action: 'status' }), { kind: 'status', status: 'completed' });
  t.deepEqual(
    cell.fleet.history.map(({ kind }) => kind),
    ['failed', 'done'],
  );
});

test('a job runs to its end under the settings of its acceptance after its queue and team are removed', async (t) => {
  const cell = createSchedulerCell({ count: 1, durationOf: () => 600 });
  const [team] = CONFIGURATION.teams;
  cell.configuration = {
    ...CONFIGURATION,
    teams: [{ ...team!, limit: { processors: 2, memoryBytes: 0, accelerators: 0 } }],
  };
  const first = cell.startProcess('first');
  await cell.advance(200);
  await cell.call({ specification: createJobSpecification({ count: 6 }) });
  await cell.advance(100);
  cell.configuration = { ...CONFIGURATION, version: 2, queues: [], teams: [] };
  await cell.advance(700);
  first.kill();
  cell.startProcess('second');
  await cell.advance(6_000);
  t.is(cell.fleet.history.filter(({ kind }) => kind === 'done').length, 6);
  cell.fleet.history.forEach((run) => {
    const others = cell.fleet.history.filter(
      (other) => other.startedAt <= run.startedAt && (other.endedAt ?? Infinity) > run.startedAt,
    );
    t.true(others.length <= 2, 'the team stays within its limit');
  });
});

test('a claim whose answer was lost is taken up before its lease could expire', async (t) => {
  const cell = createSchedulerCell();
  const first = cell.startProcess('first');
  cell.store.faultsOf('first').lostAnswerFraction = 1;
  await cell.advance(60);
  cell.store.faultsOf('first').lostAnswerFraction = 0;
  await cell.advance(440);
  t.is(first.term() === null, false);
  const answer = await cell.call({ specification: createJobSpecification({ count: 1 }) });
  t.is(answer.kind, 'accepted');
});

test('ownership that a weak VM yields goes to another one, and returns only if nobody else claims it', async (t) => {
  const cell = createSchedulerCell({ durationOf: () => 3_000 });
  const weak = cell.startProcess('weak', undefined, 150);
  await cell.advance(1_000);
  await cell.call({ specification: createJobSpecification({ count: 4 }) });
  await cell.advance(100);
  const strong = cell.startProcess('strong');
  await cell.advance(100);
  void weak.election.yieldOwnership('test');
  await cell.advance(200);
  t.is(weak.term(), null);
  t.not(strong.term(), null);
  strong.kill();
  await cell.advance(3_000);
  t.not(weak.term(), null);
  await cell.advance(3_000);
  t.deepEqual(await cell.call({ action: 'status' }), { kind: 'status', status: 'completed' });
  t.is(cell.fleet.history.length, 4);
  t.deepEqual(cell.fleet.violations(), []);
});

test('a former owner that is cut off from the store does not deny jobs that its successor has accepted', async (t) => {
  const cell = createSchedulerCell();
  const first = cell.startProcess('first');
  await cell.advance(200);
  cell.store.faultsOf('first').outage = 'silent';
  const second = cell.startProcess('second');
  await cell.advance(2_000);
  const former = first.term();
  t.truthy(former, 'the former owner has not learnt of its successor');
  const path = `/work/${createJobId(1)}`;
  const request = { host: 'cell.example', path, key: 'key-1', specification: null, bodyBytes: 100 };
  let accepted: unknown = null;
  const specification = createJobSpecification({ count: 1 });
  void second
    .term()!
    .handle({ ...request, action: 'submit', specification })
    .then((answer) => {
      accepted = answer;
    });
  await cell.advance(200);
  t.deepEqual(accepted, { kind: 'accepted' });
  const answer = await former!.handle({ ...request, action: 'status' });
  t.is(answer.kind, 'failed');
});

test('a record that cannot be read does not keep a new owner from recovering the other jobs', async (t) => {
  const cell = createSchedulerCell({ durationOf: () => 800 });
  const first = cell.startProcess('first');
  await cell.advance(200);
  await cell.call({ specification: createJobSpecification({ count: 2 }) });
  await cell.advance(200);
  const broken = `chicorybend/job/${createJobId(7)}`;
  cell.store.put(`${broken}/specification`, '{"jobId":');
  cell.store.put(`${broken}/state`, '[]');
  first.kill();
  cell.startProcess('second');
  await cell.advance(4_000);
  t.deepEqual(await cell.call({ action: 'status' }), { kind: 'status', status: 'completed' });
  t.truthy(cell.store.get(`${broken}/specification`), 'the record is kept');
});

test('a job that the owner forgets while it is killed does not run again', async (t) => {
  const cell = createSchedulerCell({ durationOf: () => 100 });
  cell.startProcess('first');
  await cell.advance(200);
  const jobIds = Array.from({ length: 40 }, (_, index) => createJobId(index));
  await Promise.all(
    jobIds.map((jobId) =>
      cell.call({ path: `/work/${jobId}`, specification: createJobSpecification({}) }),
    ),
  );
  await cell.advance(10_000);
  t.is(cell.fleet.history.length, jobIds.length);
  const isForgetting = () =>
    jobIds.some((jobId) => !cell.store.get(`chicorybend/job/${jobId}/state`));
  await advanceUntil(cell, isForgetting, 130_000);
  t.true(isForgetting());
  cell.killOwner();
  cell.startProcess('second');
  await cell.advance(4_000);
  t.is(cell.fleet.history.length, jobIds.length);
});

test('a job that is sent again after its removal runs, also if the owner is lost before the former state is removed', async (t) => {
  const cell = createSchedulerCell({ durationOf: () => 100 });
  cell.startProcess('first');
  await cell.advance(200);
  await cell.call({ specification: createJobSpecification({}) });
  await cell.advance(110_000);
  const key = `chicorybend/job/${createJobId(1)}`;
  const formerState = cell.store.get(`${key}/state`)!.value;
  await advanceUntil(cell, () => !cell.store.get(`${key}/state`), 20_000);
  await cell.call({ specification: createJobSpecification({}) });
  cell.killOwner();
  cell.store.put(`${key}/state`, formerState);
  cell.startProcess('second');
  await cell.advance(4_000);
  t.is(cell.fleet.history.length, 2);
  t.deepEqual(await cell.call({ action: 'status' }), { kind: 'status', status: 'completed' });
});

test('a new owner removes the states of jobs whose removal its predecessor has begun', async (t) => {
  const cell = createSchedulerCell({ durationOf: () => 100 });
  cell.startProcess('first');
  await cell.advance(200);
  const key = `chicorybend/job/${createJobId(7)}/state`;
  cell.store.put(key, '{}');
  cell.killOwner();
  cell.startProcess('second');
  await cell.advance(3_000);
  t.is(cell.store.get(key), null);
});
