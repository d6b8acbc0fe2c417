import { randomUUID } from 'node:crypto';

import { computeBackoff, Err, Ok, sleep } from '@chicorybend/common';
import type {
  CancelTimer,
  Clock,
  Counters,
  PutOutcome,
  Result,
  StoreClient,
  StoreEntry,
} from '@chicorybend/common';

import type { JournalRecord } from '../types/journalRecord.js';
import type { Journal, JournalError } from '../types/partition.js';
import { chunkKey, JOURNAL_SLOTS, slotKey, snapshotHeadKey, splitBySize } from './journalLayout.js';
import type { JournalSegment, SnapshotHead } from './journalLayout.js';
import type { RecoveredJournal } from './journalRecovery.js';

/** Shortest time for which records are collected into one group commit, in milliseconds. */
export const MINIMUM_COMMIT_INTERVAL_MILLISECONDS = 5;
const SEGMENT_BYTES = 512 * 1_024;
const SNAPSHOT_CHUNK_BYTES = 512 * 1_024;
/** A snapshot is taken once this many segments are not covered by one. */
const SNAPSHOT_THRESHOLD_SEGMENTS = 48;
const COMMIT_BACKOFF = { firstMilliseconds: 20, maximumMilliseconds: 1_000 };

export interface JournalOptions {
  readonly partition: number;
  readonly epoch: number;
  readonly recovered: RecoveredJournal;
  readonly store: StoreClient;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly random: () => number;
  /** Time between two commits that keeps the cell within the write budget of the store, in milliseconds. */
  readonly commitIntervalMilliseconds: () => number;
  /** Returns records that reproduce the present state of the services. */
  readonly collectSnapshot: () => readonly JournalRecord[];
  /** Called once, when a write to the store shows that another daemon owns the partition. */
  readonly onFenced: () => void;
}

/** Journal of a partition that this daemon owns. */
export interface OwnedJournal extends Journal {
  /** Accepts no more records, and resolves once the queued ones are committed. */
  flushAndClose(): Promise<void>;
  /** Ends at once. Queued records fail with `not-durable`. */
  abandon(): void;
}

interface QueuedRecord {
  readonly record: JournalRecord;
  readonly resolve: (result: Result<void, JournalError>) => void;
  isCommitting: boolean;
  cancelTimer: CancelTimer;
}

type CommitOutcome = 'durable' | 'fenced' | 'abandoned';

/** Lets callers of resolved appends update their state first, so that a snapshot contains the committed records. */
function yieldToEventLoop(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

/**
 * Creates the journal of an owned partition. Records are committed in groups, one group at a time. Each group is
 * written as the next segment by compare-and-swap, which fails if another daemon owns the partition. Once a record has
 * been sent, its outcome is awaited without a time limit, because it may be durable.
 */
export function createJournal(options: JournalOptions): OwnedJournal {
  const { partition, epoch, store, clock, counters, random } = options;
  const slotVersions = [...options.recovered.slotVersions];
  let { nextSegment, lastSnapshotSegment, snapshotHead, snapshotHeadVersion } = options.recovered;
  let queue: QueuedRecord[] = [];
  let state: 'open' | 'finishing' | 'fenced' | 'abandoned' = 'open';
  let isCommitLoopRunning = false;
  let lastCommitAt = -Infinity;

  function rejectQueue(error: JournalError): void {
    const rejected = queue;
    queue = [];
    rejected.forEach((item) => {
      item.cancelTimer();
      item.resolve(Err(error));
    });
  }

  function fence(): void {
    if (state === 'fenced') return;
    state = 'fenced';
    counters.increment('journal.fenced');
    rejectQueue({ kind: 'not-durable', reason: 'another daemon owns the partition' });
    options.onFenced();
  }

  /** Removes records from the queue up to the size of one segment. */
  function dequeueGroup(): QueuedRecord[] {
    const [records = []] = splitBySize(
      queue.map((item) => item.record),
      SEGMENT_BYTES,
    );
    const group = queue.slice(0, records.length);
    queue = queue.slice(records.length);
    group.forEach((item) => {
      item.isCommitting = true;
      item.cancelTimer();
    });
    return group;
  }

  function isOwnCommit(outcome: PutOutcome, commitId: string): boolean {
    if (outcome.kind === 'written') return true;
    const current = outcome.current as StoreEntry<JournalSegment> | null;
    return current?.data.commitId === commitId;
  }

  /** Writes one segment, and repeats the write until its outcome is certain or the journal is abandoned. */
  async function commitSegment(records: readonly JournalRecord[]): Promise<CommitOutcome> {
    const slot = nextSegment % JOURNAL_SLOTS;
    const data: JournalSegment = { segment: nextSegment, epoch, commitId: randomUUID(), records };
    for (let attempt = 0; ; attempt += 1) {
      counters.increment('journal.commits');
      const outcome = await store.put({
        key: slotKey(partition, nextSegment),
        data,
        expectedVersion: slotVersions[slot] ?? 0,
      });
      if (outcome.isOk()) {
        if (!isOwnCommit(outcome.value, data.commitId)) return 'fenced';
        slotVersions[slot] =
          outcome.value.kind === 'written'
            ? outcome.value.version
            : (outcome.value.current?.version ?? 0);
        nextSegment += 1;
        return 'durable';
      }
      if (state === 'abandoned') return 'abandoned';
      counters.increment('journal.commit-retries');
      await sleep(clock, computeBackoff(COMMIT_BACKOFF, attempt, random));
    }
  }

  function resolveAppends(group: readonly QueuedRecord[], outcome: CommitOutcome): void {
    const results: Record<CommitOutcome, Result<void, JournalError>> = {
      durable: Ok(undefined),
      fenced: Err({ kind: 'fenced', reason: 'another daemon owns the partition' }),
      abandoned: Err({
        kind: 'unknown',
        reason: 'the partition was closed while the commit was in flight',
      }),
    };
    group.forEach((item) => item.resolve(results[outcome]));
  }

  async function writeChunks(snapshotId: string): Promise<number | null> {
    const chunks = splitBySize(options.collectSnapshot(), SNAPSHOT_CHUNK_BYTES);
    for (let index = 0; index < chunks.length; index += 1) {
      const written = await store.put({
        key: chunkKey(partition, snapshotId, index),
        data: { records: chunks[index] },
        expectedVersion: 0,
      });
      if (written.isErr() || written.value.kind === 'conflict') return null;
    }
    return chunks.length;
  }

  async function deleteChunks(head: SnapshotHead | null): Promise<void> {
    for (let index = 0; index < (head?.chunks ?? 0); index += 1) {
      const key = chunkKey(partition, head?.snapshotId ?? '', index);
      const entry = await store.get(key);
      if (entry.isOk() && entry.value) await store.delete(key, entry.value.version);
    }
  }

  /** Stores a snapshot of the state of the services, so that the slots that it covers can be overwritten. */
  async function takeSnapshot(): Promise<void> {
    await yieldToEventLoop();
    const lastCoveredSegment = nextSegment - 1;
    const snapshotId = randomUUID();
    const chunks = await writeChunks(snapshotId);
    if (chunks === null) return;
    const head: SnapshotHead = { through: lastCoveredSegment, snapshotId, chunks };
    const written = await store.put({
      key: snapshotHeadKey(partition),
      data: head,
      expectedVersion: snapshotHeadVersion,
    });
    if (written.isErr()) return;
    if (written.value.kind === 'conflict') {
      const current = written.value.current as StoreEntry<SnapshotHead> | null;
      if (current?.data.snapshotId !== snapshotId) {
        fence();
        return;
      }
    }
    const previousHead = snapshotHead;
    snapshotHead = head;
    lastSnapshotSegment = lastCoveredSegment;
    snapshotHeadVersion =
      written.value.kind === 'written'
        ? written.value.version
        : (written.value.current?.version ?? 0);
    counters.increment('journal.snapshots');
    await deleteChunks(previousHead);
    // The writes of the snapshot count against the write budget, so the next commit is delayed accordingly.
    const writes = chunks + 1 + (previousHead?.chunks ?? 0);
    lastCommitAt =
      clock.monotonicMilliseconds() + (writes - 1) * options.commitIntervalMilliseconds();
  }

  function isRingFull(): boolean {
    return nextSegment - lastSnapshotSegment > JOURNAL_SLOTS;
  }

  async function takeSnapshotIfDue(): Promise<void> {
    if (nextSegment - 1 - lastSnapshotSegment < SNAPSHOT_THRESHOLD_SEGMENTS) return;
    await takeSnapshot();
    if (isRingFull() && state === 'open') await sleep(clock, COMMIT_BACKOFF.maximumMilliseconds);
  }

  async function commitNextGroup(): Promise<void> {
    const wait =
      lastCommitAt + options.commitIntervalMilliseconds() - clock.monotonicMilliseconds();
    await sleep(clock, Math.max(MINIMUM_COMMIT_INTERVAL_MILLISECONDS, wait));
    await takeSnapshotIfDue();
    if (isRingFull() || queue.length === 0) return;
    const group = dequeueGroup();
    lastCommitAt = clock.monotonicMilliseconds();
    counters.increment('journal.records', group.length);
    const outcome = await commitSegment(group.map((item) => item.record));
    resolveAppends(group, outcome);
    if (outcome === 'fenced') fence();
  }

  async function commitQueue(): Promise<void> {
    if (isCommitLoopRunning) return;
    isCommitLoopRunning = true;
    while (queue.length > 0 && (state === 'open' || state === 'finishing')) await commitNextGroup();
    isCommitLoopRunning = false;
  }

  function append(
    record: JournalRecord,
    deadlineMilliseconds: number,
  ): Promise<Result<void, JournalError>> {
    if (state !== 'open') {
      const reason = 'the partition is not served here';
      return Promise.resolve(Err({ kind: state === 'fenced' ? 'fenced' : 'not-durable', reason }));
    }
    return new Promise((resolve) => {
      const item: QueuedRecord = { record, resolve, isCommitting: false, cancelTimer: () => {} };
      item.cancelTimer = clock.setTimer(() => {
        if (item.isCommitting) return;
        queue = queue.filter((queued) => queued !== item);
        resolve(Err({ kind: 'not-durable', reason: 'not sent to the store before the deadline' }));
      }, deadlineMilliseconds);
      queue.push(item);
      void commitQueue();
    });
  }

  return {
    append,
    async flushAndClose() {
      if (state === 'open') state = 'finishing';
      while (isCommitLoopRunning) await sleep(clock, MINIMUM_COMMIT_INTERVAL_MILLISECONDS);
    },
    abandon() {
      if (state !== 'fenced') state = 'abandoned';
      rejectQueue({ kind: 'not-durable', reason: 'the partition was closed before the commit' });
    },
  };
}
