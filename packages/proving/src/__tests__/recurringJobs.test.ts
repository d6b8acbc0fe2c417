import test from 'ava';

import {
  advanceUntil,
  createJobId,
  createJobSpecification,
  createSchedulerCell,
  DEFAULT_STEP,
  MAXIMUM_VALUE_BYTES,
} from '../core/schedulerCell.js';
import type { SchedulerCell } from '../core/schedulerCell.js';

const RECURRING = `/work/${createJobId(1)}`;
const OTHER = `/work/${createJobId(2)}`;
const WEEK_MILLISECONDS = 7 * 86_400_000;
const INTERVAL_MILLISECONDS = 4_500;

/** Submits a job of one task per occurrence whose first occurrence was due in the past. */
function submitRecurring(cell: SchedulerCell, overdueMilliseconds: number, repetitions: number) {
  return cell.call({
    path: RECURRING,
    specification: {
      ...createJobSpecification({}),
      schedule: {
        startAt: cell.clock.wallMilliseconds() - overdueMilliseconds,
        intervalMilliseconds: INTERVAL_MILLISECONDS,
        repetitions,
      },
    },
  });
}

async function startCell(durationMilliseconds: number): Promise<SchedulerCell> {
  const cell = createSchedulerCell({ durationOf: () => durationMilliseconds });
  cell.startProcess('first');
  await cell.advance(600);
  return cell;
}

async function statusOf(cell: SchedulerCell, path: string) {
  return cell.call({ action: 'status', path });
}

function storedState(cell: SchedulerCell): string {
  return cell.store.get(`chicorybend/job/${createJobId(1)}/state`)?.value ?? '';
}

// A job dated back by a week ended each owner out of memory, and made its state too large for the store.
test('a job with a hundred thousand overdue occurrences leaves the owner able to serve others', async (t) => {
  const cell = await startCell(500);
  const answer = await submitRecurring(cell, WEEK_MILLISECONDS, 268_800);
  t.deepEqual(answer, { kind: 'accepted' });
  await cell.advance(1_000);
  t.true(storedState(cell).length < MAXIMUM_VALUE_BYTES);
  t.true(cell.fleet.history.length > 0);
  t.deepEqual(await statusOf(cell, RECURRING), { kind: 'status', status: 'running' });

  cell.killOwner();
  cell.startProcess('second');
  await cell.advance(3_000);
  await cell.call({ path: OTHER, specification: createJobSpecification({}) });
  await cell.advance(2_000);
  t.deepEqual(await statusOf(cell, OTHER), { kind: 'status', status: 'completed' });

  t.deepEqual(await cell.call({ action: 'cancel', path: RECURRING }), { kind: 'cancelled' });
  await cell.advance(1_000);
  const starts = cell.fleet.history.length;
  await cell.advance(1_000);
  t.is(cell.fleet.history.length, starts);
});

test('overdue occurrences all run once, in the order of their due times, also across a change of the owner', async (t) => {
  const occurrences = 400;
  const cell = await startCell(100);
  await submitRecurring(cell, occurrences * INTERVAL_MILLISECONDS, occurrences);
  await cell.advance(500);
  cell.killOwner();
  cell.startProcess('second');
  const isCompleted = () => cell.fleet.history.length === occurrences;
  await advanceUntil(cell, isCompleted, 20_000);
  await cell.advance(500);
  t.deepEqual(await statusOf(cell, RECURRING), { kind: 'status', status: 'completed' });
  t.deepEqual(cell.fleet.violations(), []);
  const started = cell.fleet.history.map(({ taskId }) => Number(taskId.split('.')[1]));
  t.is(new Set(started).size, occurrences);
  started.forEach((occurrence, position) => t.true(Math.abs(occurrence - position) <= 64));
});

test('a job whose tasks cannot all be kept at once is refused at once', async (t) => {
  const cell = await startCell(100);
  const submit = (count: number, isLongRunning: boolean, repetitions: number) =>
    cell.call({
      path: `/work/${createJobId(3)}`,
      specification: {
        ...createJobSpecification({ count, isLongRunning, resources: DEFAULT_STEP.resources }),
        schedule: { startAt: 0, intervalMilliseconds: 1, repetitions },
      },
    });
  const tooLarge = await submit(20_000, false, 1);
  t.is(tooLarge.kind === 'failed' && tooLarge.failure.code, 'job-too-large');
  t.is(tooLarge.kind === 'failed' && tooLarge.failure.run, 'not-run');
  const tooMany = await submit(1, true, 20_000);
  t.is(tooMany.kind === 'failed' && tooMany.failure.code, 'job-too-large');
  t.deepEqual(await submit(1, false, 20_000), { kind: 'accepted' });
});
