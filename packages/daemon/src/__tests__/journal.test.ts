import { createLocalCounters, createStoreClient, createSystemClock } from '@chicorybend/common';
import type { StoreClient } from '@chicorybend/common';
import { startStoreStandIn } from '@chicorybend/standins';
import type { StoreStandIn } from '@chicorybend/standins';
import test from 'ava';
import type { ExecutionContext } from 'ava';

import { createJournal } from '../core/journal.js';
import type { OwnedJournal } from '../core/journal.js';
import { recoverJournal } from '../core/journalRecovery.js';
import type { JournalRecord } from '../index.js';

interface Fixture {
  readonly store: StoreStandIn;
  readonly client: StoreClient;
  open(epoch: number, state: JournalRecord[]): Promise<OwnedJournal>;
}

const clock = createSystemClock();

function createRecord(index: number): JournalRecord {
  return { type: 'job-cancelled', jobId: `job-${index}` };
}

async function createFixture(t: ExecutionContext): Promise<Fixture> {
  const store = await startStoreStandIn({ writesPerSecond: 5_000, readsPerSecond: 5_000 });
  const client = createStoreClient({ address: store.address, clock });
  t.teardown(async () => {
    await client.close();
    await store.close();
  });
  return {
    store,
    client,
    async open(epoch, state) {
      const recovered = (await recoverJournal(client, 0, epoch, `owner-${epoch}`)).unwrap();
      state.push(...recovered.records);
      return createJournal({
        partition: 0,
        epoch,
        recovered,
        store: client,
        clock,
        counters: createLocalCounters(),
        random: Math.random,
        commitIntervalMilliseconds: () => 5,
        collectSnapshot: () => state,
        onFenced: () => {},
      });
    },
  };
}

function jobIds(records: readonly JournalRecord[]): string[] {
  return records.flatMap((record) => (record.type === 'job-cancelled' ? [record.jobId] : []));
}

async function appendAll(journal: OwnedJournal, state: JournalRecord[], indexes: number[]) {
  for (const index of indexes) {
    const record = createRecord(index);
    const result = await journal.append(record, 2_000);
    if (result.isOk()) state.push(record);
  }
}

test('records survive the loss of the owner, over many segments and snapshots', async (t) => {
  const fixture = await createFixture(t);
  const state: JournalRecord[] = [];
  const journal = await fixture.open(1, state);
  const indexes = Array.from({ length: 150 }, (_, index) => index);
  await appendAll(journal, state, indexes);
  const recovered: JournalRecord[] = [];
  await fixture.open(2, recovered);
  t.deepEqual(
    jobIds(recovered),
    indexes.map((index) => `job-${index}`),
  );
});

test('a former owner that was paused is fenced by its first commit, and its record is not kept', async (t) => {
  const fixture = await createFixture(t);
  const formerState: JournalRecord[] = [];
  const former = await fixture.open(1, formerState);
  await appendAll(former, formerState, [1, 2]);
  const state: JournalRecord[] = [];
  const journal = await fixture.open(2, state);
  const late = await former.append(createRecord(99), 2_000);
  t.is(late.unwrapErr().kind, 'fenced');
  await appendAll(journal, state, [3]);
  const recovered: JournalRecord[] = [];
  await fixture.open(3, recovered);
  t.deepEqual(jobIds(recovered), ['job-1', 'job-2', 'job-3']);
});

test('a former owner that missed a whole round of the ring is still fenced', async (t) => {
  const fixture = await createFixture(t);
  const former = await fixture.open(1, []);
  const state: JournalRecord[] = [];
  const journal = await fixture.open(2, state);
  await appendAll(
    journal,
    state,
    Array.from({ length: 130 }, (_, index) => index),
  );
  const late = await former.append(createRecord(99), 2_000);
  t.is(late.unwrapErr().kind, 'fenced');
});

test('each record is durable once although answers of the store are lost', async (t) => {
  const fixture = await createFixture(t);
  const state: JournalRecord[] = [];
  const journal = await fixture.open(1, state);
  fixture.store.faults.lostAnswerFraction = 0.5;
  await appendAll(
    journal,
    state,
    Array.from({ length: 20 }, (_, index) => index),
  );
  fixture.store.faults.lostAnswerFraction = 0;
  const recovered: JournalRecord[] = [];
  await fixture.open(2, recovered);
  t.deepEqual(
    jobIds(recovered),
    Array.from({ length: 20 }, (_, index) => `job-${index}`),
  );
});

test('a record that could not be sent during an outage is certainly not durable', async (t) => {
  const fixture = await createFixture(t);
  const state: JournalRecord[] = [];
  const journal = await fixture.open(1, state);
  fixture.store.faults.isDown = true;
  const first = journal.append(createRecord(1), 300);
  await new Promise((resolve) => {
    setTimeout(resolve, 100);
  });
  const second = await journal.append(createRecord(2), 300);
  t.is(second.unwrapErr().kind, 'not-durable');
  fixture.store.faults.isDown = false;
  t.true((await first).isOk(), 'a record that was sent is awaited until its outcome is certain');
  const recovered: JournalRecord[] = [];
  await fixture.open(2, recovered);
  t.deepEqual(jobIds(recovered), ['job-1']);
});
