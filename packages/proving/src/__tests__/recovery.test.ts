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

test('a lease is renewed while the state is recovered, though that takes longer than the lease', async (t) => {
  const cell = createSchedulerCell({ durationOf: () => 100 });
  await storeEndedJobs(cell);
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
  let terms = 0;
  cell.startProcess('second', () => {
    terms += 1;
  });
  const endsAt = now() + 6_000;
  while (now() < endsAt) {
    const passed = charged + 2;
    charged = 0;
    clock.advance(passed);
    await setImmediate();
  }
  const answer = await cell.call({ action: 'status', path: `/work/${createJobId(JOBS)}` });
  t.deepEqual(answer, { kind: 'status', status: 'completed' });
  t.is(terms, 1);
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
