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
  /** Methods of the calls to other partitions. */
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

/** Opens a partition with one worker, which has been sealed. */
async function openPartition(): Promise<TestPartition> {
  const clock = createManualClock();
  const worker = createTestWorker('worker-0', clock);
  const calls: string[] = [];
  const own = createWorkerPartition({
    lease: {
      partition: 0,
      epoch: 1,
      journal: { append: async () => Ok(undefined) },
      mayAct: () => bench.mayAct,
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
      calls.push(method);
      return Err({ kind: 'not-sent', reason: 'unused' });
    },
    clock,
    random: () => 0,
    counters: createLocalCounters(),
    log: createSilentLog(),
  });
  const bench: TestPartition = {
    clock,
    worker,
    partition: own,
    partitionCalls: calls,
    mayAct: true,
  };
  own.setWorkers([
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
  return bench;
}

function reserve(own: WorkerPartition, taskId: string): Reservation | undefined {
  const [reservation] = own.reserve({
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

test('an owner that may not act refuses starts and stops before it sends them', async (t) => {
  const bench = await openPartition();
  const { partition: own, worker } = bench;
  const { reservationId, workerId } = reserve(own, '0-a/0')!;
  bench.mayAct = false;
  const start = createStart('0-a/0');
  const results = await own.start([{ reservationId, workerId, start }]);
  t.is(results[0]?.outcome, 'refused');
  t.is(worker.executions.length, 0);
  const stop = { workerPartition: 0, mode: 'stop' as const, workerId, tasks: [start] };
  t.true((await own.stop(stop)).isErr());
  t.false(worker.calls.includes('stop'));
  own.close();
});

test('a start without an answer holds up the lapse even if the last renewal is long ago', async (t) => {
  const bench = await openPartition();
  const { partition: own, worker, clock, partitionCalls: calls } = bench;
  await advance(clock, 500);
  bench.mayAct = false;
  await advance(clock, 4_000);
  bench.mayAct = true;
  const { reservationId, workerId } = reserve(own, '0-a/0')!;
  const { start } = worker.client;
  worker.client.start = async (address, body) => {
    await start(address, body);
    worker.fault = 'silent';
    return Err({ kind: 'lost', reason: 'timeout' });
  };
  await own.start([{ reservationId, workerId, start: createStart('0-a/0') }]);
  while (worker.running().length > 0) await advance(clock, STEP_MILLISECONDS);
  t.deepEqual(calls, []);
  const attempt = { taskId: '0-a/0', attempt: 1 };
  t.is(own.lookup({ workerPartition: 0, workerId, attempt }).kind, 'silent');
  await advance(clock, 3_000);
  t.true(calls.includes('task.event'));
  t.is(own.lookup({ workerPartition: 0, workerId, attempt }).kind, 'lapsed');
  own.close();
});

test('a reservation that expired gives its room back and its start is refused', async (t) => {
  const { partition: own, worker, clock } = await openPartition();
  const { reservationId, workerId } = reserve(own, '0-a/0')!;
  t.is(own.load().freeTotal.processors, 3);
  await advance(clock, 2_100);
  t.is(own.load().freeTotal.processors, 4);
  const results = await own.start([{ reservationId, workerId, start: createStart('0-a/0') }]);
  t.is(results[0]?.outcome, 'refused');
  t.is(worker.executions.length, 0);
  own.close();
});

test('a reservation is good for its own task only and only once', async (t) => {
  const { partition: own, worker } = await openPartition();
  const { reservationId, workerId } = reserve(own, '0-a/0')!;
  const other = await own.start([{ reservationId, workerId, start: createStart('0-b/0') }]);
  t.is(other[0]?.outcome, 'refused');
  const late = await own.start([{ reservationId, workerId, start: createStart('0-a/0') }]);
  t.is(late[0]?.outcome, 'refused');
  t.is(worker.executions.length, 0);
  t.is(own.load().freeTotal.processors, 4);
  own.close();
});

test('a worker that has seen a later epoch is not declared lapsed by its former owner', async (t) => {
  const { partition: own, worker, clock, partitionCalls: calls } = await openPartition();
  const { reservationId, workerId } = reserve(own, '0-a/0')!;
  await own.start([{ reservationId, workerId, start: createStart('0-a/0') }]);
  await worker.client.seal('', { partition: 0, epoch: 2 });
  await advance(clock, 30_000);
  t.deepEqual(calls, []);
  own.close();
});

test('a start without an answer may have run if its worker restarted', async (t) => {
  const { partition: own, worker, clock, partitionCalls: calls } = await openPartition();
  const { reservationId, workerId } = reserve(own, '0-a/0')!;
  const { start } = worker.client;
  worker.client.start = async (address, body) => {
    await start(address, body);
    return Err({ kind: 'lost', reason: 'timeout' });
  };
  await own.start([{ reservationId, workerId, start: createStart('0-a/0') }]);
  worker.restart();
  await advance(clock, 3_000);
  t.true(calls.includes('task.event'));
  const attempt = { taskId: '0-a/0', attempt: 1 };
  t.is(own.lookup({ workerPartition: 0, workerId, attempt }).kind, 'lapsed');
  own.close();
});

// Guards against a lease or an end that waits for the long interval of a worker without tasks.
test('a worker is renewed every second from its first task to the acknowledgement of its end', async (t) => {
  const { partition: own, worker, clock, partitionCalls: calls } = await openPartition();
  const countRenewals = (): number => worker.calls.filter((name) => name === 'renew').length;
  await advance(clock, 4_500);
  t.is(countRenewals(), 2);
  const { reservationId, workerId } = reserve(own, '0-a/0')!;
  await own.start([{ reservationId, workerId, start: createStart('0-a/0') }]);
  await advance(clock, 1_020);
  // The first renewal comes after a random part of the interval.
  const first = countRenewals();
  t.true(first === 3 || first === 4, String(first));
  await advance(clock, 4_080);
  t.is(countRenewals(), first + 4);
  worker.finish('0-a/0', 'succeeded');
  await advance(clock, 1_020);
  t.true(calls.includes('task.event'));
  const seen = countRenewals();
  // The owner of the job does not answer, so that the end is not acknowledged.
  await advance(clock, 4_080);
  t.is(countRenewals(), seen + 4);
  own.close();
});

test('the load tells running tasks and their resources per team', async (t) => {
  const { partition: own } = await openPartition();
  const { reservationId, workerId } = reserve(own, '0-a/0')!;
  await own.start([{ reservationId, workerId, start: createStart('0-a/0') }]);
  const load = own.load();
  t.deepEqual(load.runningByTeam, { harbour: 1 });
  t.deepEqual(load.usedByTeam, { harbour: TASK_RESOURCES });
  own.close();
});

test('a worker that failed tasks of three jobs gets nothing until a probe is due, then one task', async (t) => {
  const { partition: own, worker, clock } = await openPartition();
  async function run(taskId: string, end: 'failed' | 'succeeded'): Promise<void> {
    const { reservationId, workerId } = reserve(own, taskId)!;
    await own.start([{ reservationId, workerId, start: createStart(taskId) }]);
    worker.finish(taskId, end);
    await advance(clock, 1_100);
  }
  await run('0-a/0', 'failed');
  await run('0-b/0', 'failed');
  await run('0-c/0', 'failed');
  t.is(reserve(own, '0-d/0'), undefined);
  t.is(own.list()[0]?.state, 'quarantined');
  await advance(clock, 20_000);
  t.is(reserve(own, '0-d/0'), undefined);
  await advance(clock, 12_000);
  const { reservationId, workerId } = reserve(own, '0-d/0')!;
  t.is(reserve(own, '0-e/0'), undefined);
  await own.start([{ reservationId, workerId, start: createStart('0-d/0') }]);
  t.is(reserve(own, '0-e/0'), undefined);
  worker.finish('0-d/0', 'succeeded');
  await advance(clock, 1_100);
  t.truthy(reserve(own, '0-e/0'));
  t.truthy(reserve(own, '0-f/0'));
  own.close();
});
