import { Err } from '@chicorybend/common';
import test from 'ava';

import { createRunningCell, TASK_RESOURCES } from './testCell.js';
import type { TestCell } from './testCell.js';

const LONG_MILLISECONDS = 3_000;

function countExecutions(cell: TestCell): number {
  return cell.workers.flatMap((worker) => worker.executions).length;
}

function countStartCalls(cell: TestCell): number {
  return cell.workers.flatMap((worker) => worker.calls).filter((name) => name === 'start').length;
}

function hasIntent(cell: TestCell): boolean {
  return cell.journal(0).records.some(({ type }) => type === 'task-intent');
}

test('a start is sent only once its intent is durable', async (t) => {
  const { cell } = await createRunningCell({ workers: 1 });
  let wasDurable: boolean | null = null;
  cell.workers[0]!.onStart = () => {
    wasDurable = hasIntent(cell);
  };
  await cell.submit(0, {});
  cell.journal(0).fault = 'down';
  await cell.advance(LONG_MILLISECONDS);
  t.is(countStartCalls(cell), 0);
  cell.journal(0).fault = 'none';
  await cell.advanceUntil(() => countExecutions(cell) === 1);
  t.true(wasDurable);
});

test('nothing is started after another owner has fenced the journal', async (t) => {
  const { cell } = await createRunningCell({ workers: 1 });
  await cell.submit(0, {});
  cell.journal(0).open(99);
  await cell.advance(500);
  const calls: string[] = [];
  cell.onCall = (method) => {
    calls.push(method);
    return 'none';
  };
  await cell.advance(LONG_MILLISECONDS);
  t.is(countStartCalls(cell), 0);
  t.deepEqual(calls, []);
});

test('a task whose intent was not written is placed again and its room is given back', async (t) => {
  const { cell } = await createRunningCell({ workers: 1 });
  await cell.submit(0, {});
  cell.journal(0).fault = 'refusing';
  await cell.advance(200);
  t.is(countStartCalls(cell), 0);
  cell.journal(0).fault = 'none';
  await cell.advanceUntil(() => countExecutions(cell) === 1);
  await cell.advance(6_000);
  const [worker] = (await cell.call(0, 'worker.list', { partition: 0 })).unwrap();
  t.is(worker?.free.processors, 3);
  t.is(cell.usedTasks.get('harbour'), 1);
});

test('an intent with an unknown fate is resolved before the start', async (t) => {
  for (const fault of ['unknown-durable', 'unknown-not-durable'] as const) {
    const { cell } = await createRunningCell({ workers: 1 });
    const jobId = await cell.submit(0, {});
    cell.journal(0).fault = fault;
    await cell.advance(300);
    t.is(countStartCalls(cell), 0, fault);
    cell.journal(0).fault = 'none';
    await cell.advanceUntil(() => countExecutions(cell) === 1);
    await cell.advance(LONG_MILLISECONDS);
    t.is(countExecutions(cell), 1, fault);
    t.is((await cell.read(jobId)).state, 'running', fault);
  }
});

test('an intent with an unknown fate is not replaced by another one of the same attempt', async (t) => {
  const { cell } = await createRunningCell({ workers: 2 });
  await cell.submit(0, {});
  cell.journal(0).fault = 'unknown-durable';
  const intents = () =>
    cell.journal(0).records.flatMap((record) => (record.type === 'task-intent' ? [record] : []));
  await cell.advanceUntil(() => intents().length > 0);
  const index = cell.vms.findIndex(({ id }) => id === intents()[0]?.workerId);
  cell.vms[index] = { ...cell.vms[index]!, state: 'leaving' };
  cell.notifyVmChange();
  await cell.advance(300);
  cell.journal(0).fault = 'none';
  await cell.advanceUntil(() => countExecutions(cell) === 1);
  // A successor would believe the first of two intents and look for the task on the wrong worker.
  const workersOfFirst = intents().filter(({ attempt }) => attempt === 1);
  t.is(new Set(workersOfFirst.map(({ workerId }) => workerId)).size, 1);
  t.is(cell.workers.flatMap((worker) => worker.executions)[0]?.attempt, 2);
});

test('a start whose answer was lost between daemons is looked up and not repeated', async (t) => {
  const { cell } = await createRunningCell({ workers: 2 });
  cell.onCall = (method) => (method === 'worker.start' ? 'lost-after' : 'none');
  const jobId = await cell.submit(0, {});
  await cell.advance(LONG_MILLISECONDS);
  t.is(countExecutions(cell), 1);
  const view = await cell.read(jobId);
  t.is(view.tasks[0]?.state, 'running');
  t.is(view.tasks[0]?.attempt, 1);
});

test('a start that was lost on its way is looked up and then made', async (t) => {
  const { cell } = await createRunningCell({ workers: 1 });
  let remaining = 1;
  cell.onCall = (method) => {
    if (method !== 'worker.start' || remaining === 0) return 'none';
    remaining -= 1;
    return 'lost-before';
  };
  const jobId = await cell.submit(0, {});
  await cell.advance(LONG_MILLISECONDS);
  t.is(countExecutions(cell), 1);
  t.is((await cell.read(jobId)).tasks[0]?.attempt, 2);
});

test('a start that the worker did not answer is looked up and not repeated', async (t) => {
  const { cell } = await createRunningCell({ workers: 2 });
  cell.workers.forEach((worker) => {
    const own = worker.client;
    const { start } = own;
    const lossy = worker;
    own.start = async (address, body) => {
      lossy.fault = 'answers-lost';
      const outcome = await start(address, body);
      lossy.fault = 'none';
      return outcome;
    };
  });
  const jobId = await cell.submit(0, {});
  await cell.advance(LONG_MILLISECONDS);
  t.is(countExecutions(cell), 1);
  t.is((await cell.read(jobId)).tasks[0]?.state, 'running');
});

test('a start that reaches the worker after its next renewal is not repeated', async (t) => {
  const { cell } = await createRunningCell({ workers: 2 });
  cell.workers.forEach(({ client }) => {
    const own = client;
    const { start } = client;
    own.start = async (address, body) => {
      own.start = start;
      cell.clock.setTimer(() => {
        start(address, body).catch(() => {});
      }, 900);
      return Err({ kind: 'lost', reason: 'timeout' });
    };
  });
  const jobId = await cell.submit(0, {});
  await cell.advance(5_000);
  t.is(countExecutions(cell), 1);
  t.is((await cell.read(jobId)).tasks[0]?.state, 'running');
});

test('a start that reaches the worker after its not-after time is refused and made again', async (t) => {
  const { cell } = await createRunningCell({ workers: 1 });
  const [worker] = cell.workers;
  const { start } = worker!.client;
  const late: string[] = [];
  worker!.client.start = async (address, body) => {
    worker!.client.start = start;
    const deliver = async () => {
      const outcome = await start(address, body);
      late.push(outcome.isErr() ? outcome.error.kind : 'processed');
    };
    cell.clock.setTimer(() => {
      deliver().catch(() => {});
    }, 1_500);
    return Err({ kind: 'lost', reason: 'timeout' });
  };
  const jobId = await cell.submit(0, {});
  await cell.advance(5_000);
  t.deepEqual(late, ['refused']);
  t.is(countExecutions(cell), 1);
  t.is((await cell.read(jobId)).tasks[0]?.attempt, 2);
});

test('a start that is late at the owner of the worker is refused once it was answered as absent', async (t) => {
  const { cell } = await createRunningCell({ workers: 1 });
  const taskId = '0-late/0';
  const reserved = await cell.call(0, 'worker.reserve', {
    workerPartition: 0,
    jobPartition: 0,
    team: 'harbour',
    taskIds: [taskId],
    resources: TASK_RESOURCES,
    isAllOrNothing: false,
    avoidRacks: [],
    avoidWorkers: [],
    ttlMilliseconds: 5_000,
  });
  const [reservation] = reserved.unwrap();
  const { reservationId, workerId } = reservation!;
  const attempt = { taskId, attempt: 1 };
  const found = await cell.call(0, 'worker.lookup', { workerPartition: 0, workerId, attempt });
  t.deepEqual(found.unwrap(), { kind: 'absent' });
  const start = {
    ...attempt,
    team: 'harbour',
    jobPartition: 0,
    jobEpoch: 1,
    resources: TASK_RESOURCES,
    payload: null,
  };
  const starts = [{ reservationId, workerId, start }];
  const outcome = await cell.call(0, 'worker.start', { workerPartition: 0, starts });
  t.is(outcome.unwrap()[0]?.outcome, 'refused');
  t.is(countExecutions(cell), 0);
});

test('a start of a lower epoch of the job partition is refused', async (t) => {
  const { cell } = await createRunningCell({ workers: 1 });
  const taskIds = ['0-newer/0', '0-older/0'];
  const reserved = await cell.call(0, 'worker.reserve', {
    workerPartition: 0,
    jobPartition: 5,
    team: 'harbour',
    taskIds,
    resources: TASK_RESOURCES,
    isAllOrNothing: true,
    avoidRacks: [],
    avoidWorkers: [],
    ttlMilliseconds: 5_000,
  });
  const reservations = reserved.unwrap();
  async function start(index: number, jobEpoch: number): Promise<string | undefined> {
    const { reservationId, workerId, taskId } = reservations[index]!;
    const task = {
      taskId,
      attempt: 1,
      team: 'harbour',
      jobPartition: 5,
      jobEpoch,
      resources: TASK_RESOURCES,
      payload: null,
    };
    const starts = [{ reservationId, workerId, start: task }];
    const outcome = await cell.call(0, 'worker.start', { workerPartition: 0, starts });
    return outcome.unwrap()[0]?.outcome;
  }
  t.is(await start(0, 8), 'started');
  t.is(await start(1, 7), 'refused');
  t.is(countExecutions(cell), 1);
});

test('a former owner of a worker partition that still believes in its lease starts nothing', async (t) => {
  const { cell, daemon } = await createRunningCell({ workers: 1 });
  const successor = cell.createDaemon('second');
  await cell.takeOver(successor, 0);
  await cell.advance(500);
  t.false(daemon.isPaused);
  const before = countStartCalls(cell);
  await cell.advance(2_000);
  t.is(countStartCalls(cell), before);
  t.is(daemon.workers.loads()[0]?.freeTotal.processors, 0);
});

test('a paused owner sends nothing to workers', async (t) => {
  const { cell, daemon } = await createRunningCell({ workers: 2 });
  await cell.submit(0, { tasks: 3 });
  await cell.advanceUntil(() => countExecutions(cell) === 3);
  daemon.isPaused = true;
  await cell.advance(100);
  const before = cell.workers.map((worker) => worker.calls.length);
  await cell.advance(LONG_MILLISECONDS);
  t.deepEqual(
    cell.workers.map((worker) => worker.calls.length),
    before,
  );
});

test('a paused owner answers calls for its partitions with not-owner', async (t) => {
  const { cell, daemon } = await createRunningCell({ workers: 1 });
  const jobId = await cell.submit(0, {});
  daemon.isPaused = true;
  const body = { jobId, team: 'harbour' };
  const outcomes = [
    await cell.call(0, 'job.read', body),
    await cell.call(0, 'job.cancel', body),
    await cell.call(0, 'worker.list', { partition: 0 }),
    await cell.call(0, 'worker.start', { workerPartition: 0, starts: [] }),
  ];
  outcomes.forEach((outcome) => {
    const code = outcome.isErr() && outcome.error.kind === 'refused' && outcome.error.failure.code;
    t.is(code, 'not-owner');
  });
});

test('an owner that was paused while the intent became durable does not send the start', async (t) => {
  const { cell, daemon } = await createRunningCell({ workers: 1 });
  await cell.submit(0, {});
  cell.journal(0).fault = 'down';
  await cell.advance(200);
  daemon.isPaused = true;
  const calls: string[] = [];
  cell.onCall = (method) => {
    calls.push(method);
    return 'none';
  };
  cell.journal(0).fault = 'none';
  await cell.advanceUntil(() => hasIntent(cell));
  await cell.advance(LONG_MILLISECONDS);
  t.deepEqual(calls, []);
  daemon.isPaused = false;
  await cell.advanceUntil(() => countExecutions(cell) === 1);
  t.is(cell.workers[0]!.executions[0]?.attempt, 2);
});

test('a team at its upper limit starts no more until a task has ended', async (t) => {
  const { cell } = await createRunningCell({ workers: 2 });
  cell.taskLimits.set('harbour', 2);
  await cell.submit(0, { tasks: 4 });
  await cell.advance(LONG_MILLISECONDS);
  t.is(countExecutions(cell), 2);
  const [first] = cell.workers.flatMap((worker) => worker.running());
  cell.workers.forEach((worker) => worker.finish(first!.taskId, 'succeeded'));
  await cell.advanceUntil(() => countExecutions(cell) === 3);
  t.is(cell.usedTasks.get('harbour'), 2);
});

test('no worker is overcommitted by more tasks than fit', async (t) => {
  const { cell } = await createRunningCell({ workers: 2 });
  const jobId = await cell.submit(0, { tasks: 20 });
  await cell.advance(LONG_MILLISECONDS);
  t.deepEqual(
    cell.workers.map((worker) => worker.running().length),
    [4, 4],
  );
  const view = await cell.read(jobId);
  t.is(view.tasks.filter(({ state }) => state === 'pending').length, 12);
  t.is(view.tasks.find(({ state }) => state === 'pending')?.waitsFor, 'room on a worker');
});
