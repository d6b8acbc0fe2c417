import test from 'ava';

import { createManualClock } from '@chicorybend/common';
import type { ManualClock, StartRequest, TaskStart } from '@chicorybend/common';

import { createRunRecord, createWorkerState } from '../index.js';
import type { RunRecord, WorkerState, WorkerTaskFaults } from '../index.js';

const CAPACITY = { processors: 4, memoryBytes: 1_000, accelerators: 0 };
const LEASE_MILLISECONDS = 12_000;

interface Fixture {
  readonly clock: ManualClock;
  readonly record: RunRecord;
  readonly faults: WorkerTaskFaults;
  readonly state: WorkerState;
}

function createFixture(): Fixture {
  const clock = createManualClock();
  const record = createRunRecord(() => clock.wallMilliseconds());
  const faults = { failsEveryTask: false, usageLagMilliseconds: 2_000 };
  const state = createWorkerState({
    workerId: 'worker-1',
    capacity: CAPACITY,
    clock,
    record,
    faults,
  });
  return { clock, record, faults, state };
}

function createTaskStart(taskId: string, runMilliseconds: number | null, attempt = 1): TaskStart {
  return {
    taskId,
    attempt,
    team: 'harbour',
    jobPartition: 3,
    jobEpoch: 1,
    resources: { processors: 1, memoryBytes: 10, accelerators: 0 },
    payload: { runMilliseconds, result: `result of ${taskId}`, marker: taskId },
  };
}

function createStartRequest(fixture: Fixture, tasks: TaskStart[], epoch = 1): StartRequest {
  const { workerMilliseconds } = fixture.state.seal({ partition: 0, epoch }).unwrap();
  return {
    partition: 0,
    epoch,
    incarnation: fixture.state.incarnation,
    notAfterWorkerMilliseconds: workerMilliseconds + 1_000,
    leaseMilliseconds: LEASE_MILLISECONDS,
    tasks,
  };
}

test('a start is refused after its not-after time, so that a delayed command has no effect', (t) => {
  const fixture = createFixture();
  const start = createStartRequest(fixture, [createTaskStart('a/0', 100)]);
  fixture.clock.advance(1_001);
  t.is(fixture.state.start(start).unwrapErr().refused, 'past-not-after');
  t.is(fixture.record.entriesOf('task-started').length, 0);
});

test('a command of a former epoch is refused per partition, for every command', (t) => {
  const fixture = createFixture();
  const start = createStartRequest(fixture, [createTaskStart('a/0', null)]);
  fixture.state.start(start).unwrap();
  fixture.state.seal({ partition: 0, epoch: 2 }).unwrap();
  const tasks = [{ taskId: 'a/0', attempt: 1 }];
  const stale = { partition: 0, epoch: 1 };
  const outcomes = [
    fixture.state.seal(stale),
    fixture.state.start(start),
    fixture.state.renew({ ...stale, leaseMilliseconds: LEASE_MILLISECONDS, acknowledged: [] }),
    fixture.state.stop({ ...stale, tasks }),
    fixture.state.checkpoint({ ...stale, tasks }),
    fixture.state.throttle({ ...stale, tasks }),
  ];
  outcomes.forEach((outcome) => {
    t.deepEqual(outcome.unwrapErr(), { refused: 'stale-epoch', highestEpoch: 2 });
  });
  t.true(fixture.state.seal({ partition: 1, epoch: 1 }).isOk());
  t.is(fixture.state.running().length, 1);
});

test('a start for another incarnation is refused, because the restarted worker forgot its attempts', (t) => {
  const fixture = createFixture();
  const start = createStartRequest(fixture, [createTaskStart('a/0', 100)]);
  t.is(
    fixture.state.start({ ...start, incarnation: 'former' }).unwrapErr().refused,
    'other-incarnation',
  );
});

test('a task stops at the end of its lease and is not revived by a late renewal', (t) => {
  const fixture = createFixture();
  fixture.state.start(createStartRequest(fixture, [createTaskStart('a/0', null)])).unwrap();
  fixture.clock.advance(11_000);
  fixture.state
    .renew({ partition: 0, epoch: 1, leaseMilliseconds: LEASE_MILLISECONDS, acknowledged: [] })
    .unwrap();
  fixture.clock.advance(11_999);
  t.is(fixture.state.running().length, 1);
  fixture.clock.advance(1);
  t.is(fixture.state.running().length, 0);
  const answer = fixture.state
    .renew({ partition: 0, epoch: 1, leaseMilliseconds: LEASE_MILLISECONDS, acknowledged: [] })
    .unwrap();
  t.is(answer.finished[0]?.end, 'lease-lapsed');
  t.is(answer.running.length, 0);
});

test('a task of a paused worker ends at the end of its lease, before any command is taken', (t) => {
  const fixture = createFixture();
  fixture.state.start(createStartRequest(fixture, [createTaskStart('a/0', 5_000)])).unwrap();
  const startedAt = fixture.clock.wallMilliseconds();
  fixture.state.pause();
  fixture.clock.advance(20_000);
  t.is(fixture.record.entriesOf('task-ended').length, 0);
  fixture.state.resume();
  const [ended] = fixture.record.entriesOf('task-ended');
  t.is(ended?.end, 'lease-lapsed');
  t.is(ended?.at, startedAt + LEASE_MILLISECONDS);
});

test('a started or ended attempt is a duplicate, so that it runs once', (t) => {
  const fixture = createFixture();
  const start = createStartRequest(fixture, [createTaskStart('a/0', 100)]);
  t.is(fixture.state.start(start).unwrap().results[0]?.outcome, 'started');
  t.is(fixture.state.start(start).unwrap().results[0]?.outcome, 'duplicate');
  fixture.clock.advance(100);
  t.is(fixture.state.start(start).unwrap().results[0]?.outcome, 'duplicate');
  t.is(fixture.record.entriesOf('task-started').length, 1);
});

test('results stay until they are acknowledged', (t) => {
  const fixture = createFixture();
  fixture.state.start(createStartRequest(fixture, [createTaskStart('a/0', 100)])).unwrap();
  fixture.clock.advance(100);
  const sealed = fixture.state.seal({ partition: 0, epoch: 2 }).unwrap();
  t.is(sealed.finished[0]?.result, 'result of a/0');
  const renewal = {
    partition: 0,
    epoch: 2,
    leaseMilliseconds: LEASE_MILLISECONDS,
    acknowledged: [{ taskId: 'a/0', attempt: 1 }],
  };
  t.is(fixture.state.renew(renewal).unwrap().finished.length, 0);
});

test('starts beyond the capacity run, so that an overcommitment shows in the record', (t) => {
  const fixture = createFixture();
  const tasks = Array.from({ length: 5 }, (_, index) => createTaskStart(`a/${index}`, 100));
  fixture.state.start(createStartRequest(fixture, tasks)).unwrap();
  t.is(fixture.record.entriesOf('task-started').length, 5);
  t.is(fixture.state.running().length, 5);
});

test('usage is reported with a lag', (t) => {
  const fixture = createFixture();
  fixture.state.start(createStartRequest(fixture, [createTaskStart('a/0', 5_000)])).unwrap();
  t.is(fixture.state.running()[0]?.used.processors, 0);
  fixture.clock.advance(2_000);
  t.is(fixture.state.running()[0]?.used.processors, 1);
});

test('stop, checkpoint and throttle affect running tasks only', (t) => {
  const fixture = createFixture();
  const tasks = ['a/0', 'b/0', 'c/0'].map((taskId) => createTaskStart(taskId, 1_000));
  fixture.state.start(createStartRequest(fixture, tasks)).unwrap();
  const command = { partition: 0, epoch: 1 };
  const stopped = fixture.state
    .stop({
      ...command,
      tasks: [
        { taskId: 'a/0', attempt: 1 },
        { taskId: 'none/0', attempt: 1 },
      ],
    })
    .unwrap();
  t.deepEqual(stopped.affected, [{ taskId: 'a/0', attempt: 1 }]);
  fixture.state.checkpoint({ ...command, tasks: [{ taskId: 'b/0', attempt: 1 }] }).unwrap();
  fixture.clock.advance(500);
  fixture.state.throttle({ ...command, tasks: [{ taskId: 'c/0', attempt: 1 }] }).unwrap();
  fixture.clock.advance(999);
  t.is(fixture.state.running().length, 1);
  fixture.clock.advance(1);
  t.deepEqual(
    fixture.state.finished().map((task) => task.end),
    ['stopped', 'checkpointed', 'succeeded'],
  );
});

test('a worker that fails everything fails tasks that would succeed', (t) => {
  const fixture = createFixture();
  fixture.faults.failsEveryTask = true;
  fixture.state.start(createStartRequest(fixture, [createTaskStart('a/0', 100)])).unwrap();
  fixture.clock.advance(100);
  t.is(fixture.state.finished()[0]?.end, 'failed');
});

test('a crash ends all tasks without a report', (t) => {
  const fixture = createFixture();
  fixture.state.start(createStartRequest(fixture, [createTaskStart('a/0', null)])).unwrap();
  fixture.state.crash();
  t.is(fixture.record.entriesOf('task-ended')[0]?.end, 'crashed');
  t.is(fixture.record.entriesOf('worker-down').length, 1);
  t.is(fixture.state.finished().length, 0);
});
