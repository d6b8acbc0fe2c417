import { setImmediate } from 'node:timers/promises';

import test from 'ava';

import { createJobId, createJobSpecification, createSchedulerCell } from '../core/schedulerCell.js';
import type { SchedulerCell } from '../core/schedulerCell.js';

const JOBS = 1_200;

/** Copies the records of a completed job under further ids. */
async function storeEndedJobs(cell: SchedulerCell): Promise<void> {
  cell.startProcess('first');
  await cell.advance(200);
  await cell.call({ specification: createJobSpecification({}) });
  await cell.advance(3_000);
  const jobId = createJobId(1);
  ['specification', 'state'].forEach((part) => {
    const { value } = cell.store.get(`chicorybend/job/${jobId}/${part}`)!;
    for (let index = 2; index <= JOBS; index += 1) {
      const copyId = createJobId(index);
      cell.store.put(`chicorybend/job/${copyId}/${part}`, value.replaceAll(jobId, copyId));
    }
  });
  cell.killOwner();
  await cell.advance(1_500);
}

/**
 * Charges time for each job that is restored.
 *
 * @returns function that advances the clock from the moment at which `hasBegun` holds
 */
function chargeRestoredJobs(cell: SchedulerCell) {
  const { clock } = cell;
  const now = clock.monotonicMilliseconds;
  const wallNow = clock.wallMilliseconds;
  let charged = 0;
  // Reading the wall clock, which each job does once when it is restored, stands for the time that this takes.
  Object.assign(clock, {
    monotonicMilliseconds: () => now() + charged,
    wallMilliseconds() {
      if (cell.currentTerm()) charged += 2;
      return wallNow() + charged;
    },
  });
  return async (milliseconds: number, hasBegun = () => true) => {
    let endsAt = hasBegun() ? now() + milliseconds : Infinity;
    while (now() < endsAt) {
      const passed = charged + 2;
      charged = 0;
      clock.advance(passed);
      await setImmediate();
      if (endsAt === Infinity && hasBegun()) endsAt = now() + milliseconds;
    }
  };
}

test('a lease is renewed while the state is recovered, though that takes longer than the lease', async (t) => {
  const cell = createSchedulerCell({ durationOf: () => 100 });
  await storeEndedJobs(cell);
  const advance = chargeRestoredJobs(cell);
  let terms = 0;
  cell.startProcess('second', () => {
    terms += 1;
  });
  await advance(6_000);
  const answer = await cell.call({ action: 'status', path: `/work/${createJobId(JOBS)}` });
  t.deepEqual(answer, { kind: 'status', status: 'completed' });
  t.is(terms, 1);
});

test('a new owner starts work that waits before it has restored the jobs that have ended, and knows those', async (t) => {
  const cell = createSchedulerCell({ durationOf: () => 100 });
  await storeEndedJobs(cell);
  const firstId = createJobId(1);
  const { value } = cell.store.get(`chicorybend/job/${firstId}/specification`)!;
  const waitingId = createJobId(JOBS + 1);
  const specification = value.replaceAll(firstId, waitingId);
  cell.store.put(`chicorybend/job/${waitingId}/specification`, specification);
  const advance = chargeRestoredJobs(cell);
  let startedAt = Infinity;
  cell.startProcess('second', () => {
    startedAt = cell.clock.monotonicMilliseconds();
  });
  const hasStarted = () => cell.fleet.history.some(({ taskId }) => taskId.startsWith(waitingId));
  await advance(400, () => startedAt < Infinity);
  t.true(hasStarted());
  const submission = { path: `/work/${createJobId(JOBS)}` };
  const answer = await cell.call({ ...submission, specification: createJobSpecification({}) });
  t.is(answer.kind, 'accepted');
  await advance(6_000);
  t.deepEqual(await cell.call({ action: 'status', ...submission }), {
    kind: 'status',
    status: 'completed',
  });
  t.is(cell.fleet.history.length, 2, 'the job that has ended does not run again');
});

test('a page of jobs that was lost during a takeover is read again without those before it', async (t) => {
  const cell = createSchedulerCell({ durationOf: () => 100 });
  await storeEndedJobs(cell);
  const { client } = cell.store;
  const pages: string[] = [];
  Object.assign(cell.store, {
    client(name: string) {
      const store = client(name);
      return {
        ...store,
        readPage(...parameters: Parameters<typeof store.readPage>) {
          pages.push(parameters[1]);
          if (pages.length === 2) return Promise.resolve({ kind: 'failed', reason: 'lost' });
          return store.readPage(...parameters);
        },
      };
    },
  });
  cell.startProcess('second');
  await cell.advance(2_000);
  const answer = await cell.call({ action: 'status', path: `/work/${createJobId(JOBS)}` });
  t.deepEqual(answer, { kind: 'status', status: 'completed' });
  t.is(pages.filter((after) => after === '').length, 1);
  t.is(pages.length, Math.ceil((2 * JOBS) / 500) + 1);
});
