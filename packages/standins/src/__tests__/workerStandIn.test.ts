import test from 'ava';
import { request } from 'undici';

import type { SealResponse } from '@chicorybend/common';

import { startWorkerStandIn } from '../index.js';
import type { WorkerStandIn } from '../index.js';

const CAPACITY = { processors: 32, memoryBytes: 137_438_953_472, accelerators: 0 };

function startWorker(): Promise<WorkerStandIn> {
  return startWorkerStandIn({ workerId: 'worker-1', capacity: CAPACITY });
}

async function post(worker: WorkerStandIn, command: string, body: unknown, timeout = 5_000) {
  const response = await request(`${worker.address}/${command}`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(body),
    signal: AbortSignal.timeout(timeout),
  });
  return { status: response.statusCode, body: await response.body.json() };
}

async function startUnendingTask(worker: WorkerStandIn): Promise<void> {
  const sealed = (await post(worker, 'seal', { partition: 0, epoch: 1 })).body as SealResponse;
  await post(worker, 'start', {
    partition: 0,
    epoch: 1,
    incarnation: sealed.incarnation,
    notAfterWorkerMilliseconds: sealed.workerMilliseconds + 5_000,
    leaseMilliseconds: 12_000,
    tasks: [
      {
        taskId: 'a/0',
        attempt: 1,
        team: 'harbour',
        jobPartition: 0,
        jobEpoch: 1,
        resources: { processors: 1, memoryBytes: 1, accelerators: 0 },
        payload: { runMilliseconds: null },
      },
    ],
  });
}

test('a worker that restarts on its port has a new incarnation and runs nothing', async (t) => {
  const worker = await startWorker();
  await startUnendingTask(worker);
  const formerIncarnation = worker.incarnation();
  await worker.crash();
  await t.throwsAsync(post(worker, 'seal', { partition: 0, epoch: 1 }));
  await worker.restart();
  const sealed = (await post(worker, 'seal', { partition: 0, epoch: 1 })).body as SealResponse;
  t.not(sealed.incarnation, formerIncarnation);
  t.is(sealed.running.length, 0);
  await worker.close();
});

test('a refusal has status 409 and the highest epoch', async (t) => {
  const worker = await startWorker();
  await post(worker, 'seal', { partition: 0, epoch: 5 });
  t.deepEqual(await post(worker, 'seal', { partition: 0, epoch: 4 }), {
    status: 409,
    body: { refused: 'stale-epoch', highestEpoch: 5 },
  });
  await worker.close();
});

test('a silent worker holds the connection, and the command has no effect', async (t) => {
  const worker = await startWorker();
  worker.faults.isSilent = true;
  await t.throwsAsync(post(worker, 'seal', { partition: 0, epoch: 9 }, 200), {
    any: true,
    name: 'TimeoutError',
  });
  worker.faults.isSilent = false;
  t.is((await post(worker, 'seal', { partition: 0, epoch: 1 })).status, 200);
  await worker.close();
});

test('a paused worker takes the command after it resumes', async (t) => {
  const worker = await startWorker();
  worker.pause();
  const answer = post(worker, 'seal', { partition: 0, epoch: 2 });
  const early = await Promise.race([
    answer,
    new Promise((resolve) => {
      setTimeout(() => resolve('waiting'), 100);
    }),
  ]);
  t.is(early, 'waiting');
  worker.resume();
  t.is((await answer).status, 200);
  await worker.close();
});

test('a lost answer leaves the effect of the command in place', async (t) => {
  const worker = await startWorker();
  worker.faults.lostAnswerFraction = 1;
  await t.throwsAsync(post(worker, 'seal', { partition: 0, epoch: 7 }));
  worker.faults.lostAnswerFraction = 0;
  t.is((await post(worker, 'seal', { partition: 0, epoch: 6 })).status, 409);
  await worker.close();
});
