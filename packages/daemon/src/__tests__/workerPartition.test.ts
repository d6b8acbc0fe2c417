import {
  createLocalCounters,
  createManualClock,
  createSilentLog,
  Err,
  Ok,
} from '@chicorybend/common';
import type { ManualClock, TaskStart } from '@chicorybend/common';
import { createBestFitPolicy, createQuarantine, createWorkerPool } from '@chicorybend/decisions';
import test from 'ava';

import { createWorkerPartition } from '../core/workerPartition.js';
import type { WorkerPartition } from '../core/workerPartition.js';
import type { Reservation } from '../index.js';

import { createTestWorker, TASK_RESOURCES, WORKER_CAPACITY } from './testCell.js';
import type { TestWorker } from './testCell.js';

const STEP_MILLISECONDS = 10;

interface TestPartition {
  readonly clock: ManualClock;
  readonly worker: TestWorker;
  readonly partition: WorkerPartition;
  /** Methods of the calls to job partitions, in order. */
  readonly partitionCalls: string[];
  mayAct: boolean;
}

async function advance(clock: ManualClock, milliseconds: number): Promise<void> {
  for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
    clock.advance(STEP_MILLISECONDS);
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}

/** Opens a partition with one sealed worker. */
async function openPartition(): Promise<TestPartition> {
  const clock = createManualClock();
  const worker = createTestWorker('worker-0', clock);
  const partitionCalls: string[] = [];
  const partition = createWorkerPartition({
    lease: {
      partition: 0,
      epoch: 1,
      journal: { append: async () => Ok(undefined) },
      mayAct: () => setup.mayAct,
    },
    formerOwnerStoppedAt: -60_000,
    pool: createWorkerPool(createBestFitPolicy()),
    quarantine: createQuarantine(),
    client: {
      seal: (address, body) => worker.client.seal(address, body),
      start: (address, body) => worker.client.start(address, body),
      renew: (address, body) => worker.client.renew(address, body),
      command: (address, mode, body) => worker.client.command(address, mode, body),
      close: async () => {},
    },
    callPartition: async (_, method) => {
      partitionCalls.push(method);
      return Err({ kind: 'not-sent', reason: 'unused' });
    },
    clock,
    random: () => 0,
    counters: createLocalCounters(),
    log: createSilentLog(),
  });
  const setup: TestPartition = {
    clock,
    worker,
    partition,
    partitionCalls,
    mayAct: true,
  };
  partition.setWorkers([
    {
      id: 'worker-0',
      role: 'worker',
      state: 'live',
      address: 'http://worker-0',
      dataCentre: 'one',
      rack: 'one',
      capacity: WORKER_CAPACITY,
    },
  ]);
  await advance(clock, 100);
  return setup;
}

function reserve(partition: WorkerPartition, taskId: string): Reservation | undefined {
  const [reservation] = partition.reserve({
    workerPartition: 0,
    jobPartition: 0,
    team: 'harbour',
    taskIds: [taskId],
    resources: TASK_RESOURCES,
    isAllOrNothing: false,
    avoidRacks: [],
    avoidWorkers: [],
    ttlMilliseconds: 2_000,
  });
  return reservation;
}

function createStart(taskId: string): TaskStart {
  return {
    taskId,
    attempt: 1,
    team: 'harbour',
    jobPartition: 0,
    jobEpoch: 1,
    resources: TASK_RESOURCES,
    payload: null,
  };
}

// Guards against commands of a former owner whose partition lease has ended.
test('an owner that may not act refuses starts and stops without sending them', async (t) => {
  const setup = await openPartition();
  const { partition, worker } = setup;
  const { reservationId, workerId } = reserve(partition, '0-a/0')!;
  setup.mayAct = false;
  const start = createStart('0-a/0');
  const results = await partition.start([{ reservationId, workerId, start }]);
  t.is(results[0]?.outcome, 'refused');
  t.is(worker.executions.length, 0);
  const stop = { workerPartition: 0, mode: 'stop' as const, workerId, tasks: [start] };
  t.true((await partition.stop(stop)).isErr());
  t.false(worker.calls.includes('stop'));
  partition.close();
});

// The lost start may have granted a lease, so a lapse counted from the last renewal comes too early and the task could
// run twice.
test('an unanswered start postpones the lapse although the last renewal was long ago', async (t) => {
  const setup = await openPartition();
  const { partition, worker, clock, partitionCalls } = setup;
  await advance(clock, 500);
  setup.mayAct = false;
  await advance(clock, 4_000);
  setup.mayAct = true;
  const { reservationId, workerId } = reserve(partition, '0-a/0')!;
  const { start } = worker.client;
  worker.client.start = async (address, body) => {
    await start(address, body);
    worker.fault = 'silent';
    return Err({ kind: 'lost', reason: 'timeout' });
  };
  await partition.start([{ reservationId, workerId, start: createStart('0-a/0') }]);
  while (worker.running().length > 0) await advance(clock, STEP_MILLISECONDS);
  t.deepEqual(partitionCalls, []);
  const attempt = { taskId: '0-a/0', attempt: 1 };
  t.is(partition.lookup({ workerPartition: 0, workerId, attempt }).kind, 'silent');
  await advance(clock, 3_000);
  t.true(partitionCalls.includes('task.event'));
  t.is(partition.lookup({ workerPartition: 0, workerId, attempt }).kind, 'lapsed');
  partition.close();
});

test('an expired reservation frees its capacity, and its start is refused', async (t) => {
  const { partition, worker, clock } = await openPartition();
  const { reservationId, workerId } = reserve(partition, '0-a/0')!;
  t.is(partition.load().freeTotal.processors, 3);
  await advance(clock, 2_100);
  t.is(partition.load().freeTotal.processors, 4);
  const results = await partition.start([{ reservationId, workerId, start: createStart('0-a/0') }]);
  t.is(results[0]?.outcome, 'refused');
  t.is(worker.executions.length, 0);
  partition.close();
});

test('a reservation serves only its own task, and only once', async (t) => {
  const { partition, worker } = await openPartition();
  const { reservationId, workerId } = reserve(partition, '0-a/0')!;
  const other = await partition.start([{ reservationId, workerId, start: createStart('0-b/0') }]);
  t.is(other[0]?.outcome, 'refused');
  const late = await partition.start([{ reservationId, workerId, start: createStart('0-a/0') }]);
  t.is(late[0]?.outcome, 'refused');
  t.is(worker.executions.length, 0);
  t.is(partition.load().freeTotal.processors, 4);
  partition.close();
});

// The later owner renews the leases, so that the former one cannot know when they end.
test('a former owner does not declare executions lapsed on a worker that has seen a later epoch', async (t) => {
  const { partition, worker, clock, partitionCalls } = await openPartition();
  const { reservationId, workerId } = reserve(partition, '0-a/0')!;
  await partition.start([{ reservationId, workerId, start: createStart('0-a/0') }]);
  await worker.client.seal('', { partition: 0, epoch: 2 });
  await advance(clock, 30_000);
  t.deepEqual(partitionCalls, []);
  partition.close();
});

// Guards against an execution that is dropped without a report although it may have run.
test('an unanswered start is reported as lapsed if its worker restarts', async (t) => {
  const { partition, worker, clock, partitionCalls } = await openPartition();
  const { reservationId, workerId } = reserve(partition, '0-a/0')!;
  const { start } = worker.client;
  worker.client.start = async (address, body) => {
    await start(address, body);
    return Err({ kind: 'lost', reason: 'timeout' });
  };
  await partition.start([{ reservationId, workerId, start: createStart('0-a/0') }]);
  worker.restart();
  await advance(clock, 3_000);
  t.true(partitionCalls.includes('task.event'));
  const attempt = { taskId: '0-a/0', attempt: 1 };
  t.is(partition.lookup({ workerPartition: 0, workerId, attempt }).kind, 'lapsed');
  partition.close();
});

// Guards against leases and ends that wait for the longer poll interval of an idle worker.
test('a worker is renewed every second from its first task until the end is acknowledged', async (t) => {
  const { partition, worker, clock, partitionCalls } = await openPartition();
  const countRenewals = (): number => worker.calls.filter((name) => name === 'renew').length;
  await advance(clock, 4_500);
  t.is(countRenewals(), 2);
  const { reservationId, workerId } = reserve(partition, '0-a/0')!;
  await partition.start([{ reservationId, workerId, start: createStart('0-a/0') }]);
  await advance(clock, 1_020);
  // The first renewal comes after a random fraction of the interval.
  const first = countRenewals();
  t.true(first === 3 || first === 4, String(first));
  await advance(clock, 4_080);
  t.is(countRenewals(), first + 4);
  worker.finish('0-a/0', 'succeeded');
  await advance(clock, 1_020);
  t.true(partitionCalls.includes('task.event'));
  const seen = countRenewals();
  // The owner of the job does not answer, so that the end is not acknowledged.
  await advance(clock, 4_080);
  t.is(countRenewals(), seen + 4);
  partition.close();
});

test('the load contains running tasks and their resources per team', async (t) => {
  const { partition } = await openPartition();
  const { reservationId, workerId } = reserve(partition, '0-a/0')!;
  await partition.start([{ reservationId, workerId, start: createStart('0-a/0') }]);
  const load = partition.load();
  t.deepEqual(load.runningByTeam, { harbour: 1 });
  t.deepEqual(load.usedByTeam, { harbour: TASK_RESOURCES });
  partition.close();
});

test('a worker that failed tasks of three jobs gets no task until its probe is due, then one at a time', async (t) => {
  const { partition, worker, clock } = await openPartition();
  async function run(taskId: string, end: 'failed' | 'succeeded'): Promise<void> {
    const { reservationId, workerId } = reserve(partition, taskId)!;
    await partition.start([{ reservationId, workerId, start: createStart(taskId) }]);
    worker.finish(taskId, end);
    await advance(clock, 1_100);
  }
  await run('0-a/0', 'failed');
  await run('0-b/0', 'failed');
  await run('0-c/0', 'failed');
  t.is(reserve(partition, '0-d/0'), undefined);
  t.is(partition.list()[0]?.state, 'quarantined');
  await advance(clock, 20_000);
  t.is(reserve(partition, '0-d/0'), undefined);
  await advance(clock, 12_000);
  const { reservationId, workerId } = reserve(partition, '0-d/0')!;
  t.is(reserve(partition, '0-e/0'), undefined);
  await partition.start([{ reservationId, workerId, start: createStart('0-d/0') }]);
  t.is(reserve(partition, '0-e/0'), undefined);
  worker.finish('0-d/0', 'succeeded');
  await advance(clock, 1_100);
  t.truthy(reserve(partition, '0-e/0'));
  t.truthy(reserve(partition, '0-f/0'));
  partition.close();
});
