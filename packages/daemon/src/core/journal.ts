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

/** Shortest time in which records gather to a group, in milliseconds. */
export const MINIMUM_COMMIT_INTERVAL_MILLISECONDS = 5;
const SEGMENT_BYTES = 512 * 1_024;
const SNAPSHOT_CHUNK_BYTES = 512 * 1_024;
/** A snapshot is taken once this many slots hold segments that no snapshot covers. */
const SNAPSHOT_THRESHOLD_SEGMENTS = 48;
const COMMIT_BACKOFF = { firstMilliseconds: 20, maximumMilliseconds: 1_000 };

/** What a journal needs. */
export interface JournalOptions {
  readonly partition: number;
  readonly epoch: number;
  readonly recovered: RecoveredJournal;
  readonly store: StoreClient;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly random: () => number;
  /** Time between two commits that keeps within the store's budget, in milliseconds. */
  readonly commitIntervalMilliseconds: () => number;
  /** Gives the records that stand for the present state. */
  readonly collectSnapshot: () => readonly JournalRecord[];
  /** Called once when another daemon owns the partition. */
  readonly onFenced: () => void;
}

/** A journal that can be ended. */
export interface OwnedJournal extends Journal {
  /** Commits what is queued, then takes nothing more. */
  flushAndClose(): Promise<void>;
  /** Ends at once; queued records are certainly not durable. */
  abandon(): void;
}

interface QueuedRecord {
  readonly record: JournalRecord;
  readonly resolve: (result: Result<void, JournalError>) => void;
  isCommitting: boolean;
  cancelTimer: CancelTimer;
}

type CommitOutcome = 'durable' | 'fenced' | 'abandoned';

/** Lets the continuations of resolved appends run, so that the services' state matches the journal. */
function yieldToEventLoop(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

/**
 * Creates the journal of an owned partition. Records are committed in groups, one commit at a time; each goes to
 * the next segment by compare-and-swap. Once a record has been sent, its outcome is awaited for as long as it
 * takes, because it may be durable.
 *
 * @param options recovered journal and collaborators
 * @returns the journal
 */
export function createJournal(options: JournalOptions): OwnedJournal {
  const { partition, epoch, store, clock, counters, random } = options;
  const slotVersions = [...options.recovered.slotVersions];
  let {
    nextSegment,
    lastSnapshotSegment: lastSnapshotSegment,
    snapshotHead,
    snapshotHeadVersion,
  } = options.recovered;
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

  /** Takes queued records up to the size of a segment. */
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

  /** Writes one segment and waits until its outcome is certain. */
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
      abandoned: Err({ kind: 'unknown', reason: 'the partition was given up' }),
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

  /** Stores a snapshot of the services' state, so that the covered slots can be used again. */
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
    // The writes of the snapshot count against the store's budget like commits.
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
        resolve(Err({ kind: 'not-durable', reason: 'the store took no commit in time' }));
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
      rejectQueue({ kind: 'not-durable', reason: 'the partition was given up' });
    },
  };
}
