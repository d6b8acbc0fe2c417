import type { JobRequest, TaskEnd } from '@chicorybend/common';
import { InvariantError } from '@chicorybend/common';
import test from 'ava';
import fc from 'fast-check';

import { applyRecord, createJobsState, createSnapshotRecords } from '../core/jobState.js';
import type { JobsState } from '../core/jobState.js';
import { stateOfJob } from '../core/taskRules.js';
import type { JournalRecord } from '../index.js';

import { NON_IDEMPOTENT_JOB, TASK_RESOURCES } from './testCell.js';

const NOW = 1_700_000_000_000;

function accept(jobId: string, request: Partial<JobRequest>): JournalRecord {
  return {
    type: 'job-accepted',
    jobId,
    team: 'harbour',
    idempotencyKey: jobId,
    bodyHash: 'a',
    request: { ...NON_IDEMPOTENT_JOB, ...request },
    acceptedAt: NOW,
  };
}

function intend(taskId: string, attempt: number): JournalRecord {
  return { type: 'task-intent', taskId, attempt, workerId: `w${attempt}`, workerPartition: 0 };
}

function end(taskId: string, attempt: number, how: TaskEnd | 'lost'): JournalRecord {
  return {
    type: 'task-ended',
    taskId,
    attempt,
    workerId: `w${attempt}`,
    end: how,
    result: null,
    startedAt: NOW,
    endedAt: how === 'lost' ? NOW : NOW + 1_000,
    peak: TASK_RESOURCES,
  };
}

function fold(records: readonly JournalRecord[]): JobsState {
  const state = createJobsState();
  records.forEach((record) => applyRecord(state, record));
  return state;
}

test('a second intent for a task that may have run breaks an invariant', (t) => {
  const records = [accept('0-a', {}), intend('0-a/0', 1), end('0-a/0', 1, 'failed')];
  t.throws(() => fold([accept('0-a', {}), intend('0-a/0', 1), intend('0-a/0', 2)]), {
    instanceOf: InvariantError,
    message: /one-place/,
  });
  t.throws(() => fold([...records, intend('0-a/0', 2)]), { instanceOf: InvariantError });
});

test('an idempotent task is tried three times, then its job has failed', (t) => {
  const records = [accept('0-a', { idempotent: true, tasks: 2 })];
  [1, 2].forEach((attempt) => {
    records.push(intend('0-a/0', attempt), end('0-a/0', attempt, 'failed'));
  });
  t.is(fold(records).jobs.get('0-a')?.tasks[0]?.state, 'pending');
  records.push(intend('0-a/0', 3), end('0-a/0', 3, 'failed'));
  const job = fold(records).jobs.get('0-a')!;
  t.is(stateOfJob(job), 'failed');
  t.is(job.tasks[1]?.state, 'cancelled');
});

/** Valid histories: each step is applied only if its task can take it. */
const historyArbitrary = fc
  .array(
    fc.record({
      job: fc.integer({ min: 0, max: 2 }),
      task: fc.integer({ min: 0, max: 2 }),
      step: fc.constantFrom(
        'intent',
        'not-started',
        'succeeded',
        'failed',
        'stopped',
        'lost',
        'cancel',
      ),
    }),
    { maxLength: 60 },
  )
  .map((steps) => {
    const state = createJobsState();
    const records: JournalRecord[] = [];
    const push = (record: JournalRecord) => {
      records.push(record);
      applyRecord(state, record);
    };
    (['batch', 'gang', 'service'] as const).forEach((kind, index) => {
      push(accept(`0-${index}`, { kind, tasks: 3, idempotent: index !== 0 }));
    });
    steps.forEach(({ job, task, step }) => {
      const jobId = `0-${job}`;
      const found = state.jobs.get(jobId)!.tasks[task]!;
      const { taskId, attempt } = found;
      if (step === 'cancel') push({ type: 'job-cancelled', jobId, cancelledAt: NOW });
      else if (step === 'intent') {
        if (found.state === 'pending') push(intend(taskId, attempt + 1));
      } else if (found.state === 'intended') {
        if (step === 'not-started') push({ type: 'task-not-started', taskId, attempt });
        else push(end(taskId, attempt, step));
      }
    });
    return records;
  });

test('a snapshot at any place, followed by any overlapping records, gives the same state', (t) => {
  fc.assert(
    fc.property(historyArbitrary, fc.nat(), fc.nat(), (records, first, second) => {
      const cut = first % (records.length + 1);
      const overlap = second % (cut + 1);
      const snapshot = createSnapshotRecords(fold(records.slice(0, cut)), NOW);
      const resumed = createSnapshotRecords(
        fold([...snapshot, ...records.slice(cut - overlap)]),
        NOW,
      );
      t.deepEqual(resumed, createSnapshotRecords(fold(records), NOW));
    }),
    { numRuns: 300 },
  );
});
