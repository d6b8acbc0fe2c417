import {
  createLocalCounters,
  createStoreClient,
  createSystemClock,
  sleep,
} from '@chicorybend/common';
import type { BenchOptions, BenchRow, StoreClient } from '@chicorybend/common';
import { startStoreStandIn } from '@chicorybend/standins';
import { build } from 'hdr-histogram-js';

import { computeCommitInterval } from '../core/commitPacing.js';
import { createJournal } from '../core/journal.js';
import type { OwnedJournal } from '../core/journal.js';
import { recoverJournal } from '../core/journalRecovery.js';
import type { JournalRecord } from '../types/journalRecord.js';

const PARTITIONS = 12;
/** Task starts per second at the peak; each start needs one durable intent. */
const PEAK_STARTS_PER_SECOND = 6_300;
/** Part of the store's several hundred writes per second that the journals may use. */
const STORE_WRITES_PER_SECOND = 300;
const TICK_MILLISECONDS = 20;
const MILLISECONDS_PER_SECOND = 1_000;
const APPEND_DEADLINE_MILLISECONDS = 5_000;
const P99 = 99;

const clock = createSystemClock();

function createIntent(index: number): JournalRecord {
  return {
    type: 'task-intent',
    taskId: `7-0b6f3c1e-6f5f-7d0e-9b0a-${String(index).padStart(12, '0')}/0`,
    attempt: 1,
    workerId: `worker-${index % 20_000}`,
    workerPartition: index % PARTITIONS,
  };
}

async function openJournal(store: StoreClient, partition: number): Promise<OwnedJournal> {
  const recovered = (await recoverJournal(store, partition, 1, 'bench')).unwrap();
  return createJournal({
    partition,
    epoch: 1,
    recovered,
    store,
    clock,
    counters: createLocalCounters(),
    random: Math.random,
    commitIntervalMilliseconds: () => computeCommitInterval(PARTITIONS, 1, STORE_WRITES_PER_SECOND),
    collectSnapshot: () => [],
    onFenced: () => {},
  });
}

/**
 * Measures the group commit of twelve partitions at the peak of task starts.
 *
 * @param options extent of the run
 * @returns store writes per second and the time until a record is durable
 */
export async function collectJournalRows(options: BenchOptions): Promise<readonly BenchRow[]> {
  const seconds = options.isShort ? 1 : 5;
  const storeStandIn = await startStoreStandIn();
  const store = createStoreClient({ address: storeStandIn.address, clock });
  const journals = await Promise.all(
    Array.from({ length: PARTITIONS }, (_, partition) => openJournal(store, partition)),
  );
  const histogram = build();
  const writesBefore = storeStandIn.counts.writes;
  const appends: Promise<boolean>[] = [];
  const total = PEAK_STARTS_PER_SECOND * seconds;

  async function append(index: number): Promise<boolean> {
    const appendedAt = clock.monotonicMilliseconds();
    const journal = journals[index % PARTITIONS];
    const result = await journal?.append(createIntent(index), APPEND_DEADLINE_MILLISECONDS);
    histogram.recordValue(clock.monotonicMilliseconds() - appendedAt);
    return result?.isOk() ?? false;
  }

  const startedAt = clock.monotonicMilliseconds();
  while (appends.length < total) {
    await sleep(clock, TICK_MILLISECONDS);
    const elapsed = clock.monotonicMilliseconds() - startedAt;
    const due = Math.min(total, (elapsed * PEAK_STARTS_PER_SECOND) / MILLISECONDS_PER_SECOND);
    while (appends.length < due) appends.push(append(appends.length));
  }
  const results = await Promise.all(appends);
  const elapsedSeconds = (clock.monotonicMilliseconds() - startedAt) / MILLISECONDS_PER_SECOND;
  const writes = storeStandIn.counts.writes - writesBefore;
  await store.close();
  await storeStandIn.close();
  const rows: BenchRow[] = [
    {
      name: 'journal: store writes at 6,300 records/s',
      measured: writes / elapsedSeconds,
      bound: STORE_WRITES_PER_SECOND,
      direction: 'at-most',
      unit: 'writes/s',
    },
    {
      name: 'journal: part of the records that became durable',
      measured: results.filter(Boolean).length / results.length,
      bound: 1,
      direction: 'at-least',
      unit: 'ratio',
    },
  ];
  if (options.isShort) return rows;
  return [
    ...rows,
    {
      name: 'journal: time until a record is durable, p99',
      measured: histogram.getValueAtPercentile(P99),
      bound: null,
      direction: 'at-most',
      unit: 'ms',
    },
  ];
}
