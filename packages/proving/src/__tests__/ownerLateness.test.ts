import type { CallerAnswer } from '@chicorybend/scheduler';
import test from 'ava';

import { limitCalls } from '../core/limitedCalls.js';
import { createJobId, createJobSpecification, createSchedulerCell } from '../core/schedulerCell.js';
import type { SchedulerCell } from '../core/schedulerCell.js';

const STALL_MILLISECONDS = 700;
/** An endpoint that is silent is noticed after its holds have been excused a few times. */
const NOTICED_MILLISECONDS = 8_000;

function readCounter({ metrics }: SchedulerCell, name: string): number {
  return Number(new RegExp(`^chicorybend_${name}_total (\\d+)$`, 'm').exec(metrics.expose())![1]);
}

/** The process handles nothing for the given part of the time. */
async function stallFor(
  cell: SchedulerCell,
  milliseconds: number,
  stall: number,
  between: number,
): Promise<void> {
  const endsAt = cell.clock.monotonicMilliseconds() + milliseconds;
  while (cell.clock.monotonicMilliseconds() < endsAt) {
    cell.clock.advance(stall);
    await cell.advance(between);
  }
}

test('an owner that is late takes no endpoint for silent, and notices one that is', async (t) => {
  const cell = createSchedulerCell({ count: 6, durationOf: () => 2_000 });
  limitCalls(cell);
  cell.startProcess('owner');
  await cell.advance(1_000);
  const specification = createJobSpecification({ count: 12, estimatedMilliseconds: 2_000 });
  for (let index = 1; index <= 5; index += 1) {
    await cell.call({ path: `/work/${createJobId(index)}`, specification });
  }
  await stallFor(cell, 14_000, STALL_MILLISECONDS, 200);
  t.is(readCounter(cell, 'holds_failed'), 0);
  t.is(readCounter(cell, 'starts_unanswered'), 0);
  t.true(readCounter(cell, 'calls_discounted') > 0);
  t.is(cell.fleet.history.length, 5 * 12, 'no task runs twice');
  cell.fleet.faultsOf('endpoint-0').isCutOff = true;
  await stallFor(cell, NOTICED_MILLISECONDS, STALL_MILLISECONDS, 200);
  t.true(readCounter(cell, 'holds_failed') > 0);
  t.deepEqual(cell.fleet.violations(), []);
});

function submit(cell: SchedulerCell, index: number): Promise<CallerAnswer> {
  return cell.currentTerm()!.handle({
    action: 'submit',
    host: 'cell.example',
    path: `/work/${createJobId(index)}`,
    key: 'key-1',
    specification: createJobSpecification({}),
    bodyBytes: 100,
  });
}

function codeOf(answer: CallerAnswer): string {
  return answer.kind === 'failed' ? `${answer.failure.code} ${answer.failure.run}` : answer.kind;
}

test('an owner that is late most of the time says so at once, and does not blame the store', async (t) => {
  const cell = createSchedulerCell({ durationOf: () => 60_000 });
  cell.startProcess('owner');
  await cell.advance(1_000);
  await stallFor(cell, 2_500, 180, 4);
  const first = submit(cell, 2);
  await cell.advance(1_000);
  t.is(codeOf(await first), 'accepted', 'an owner without other work refuses nothing');
  await stallFor(cell, 2_500, 180, 4);
  const pending = submit(cell, 1);
  await cell.advance(2_000);
  const answer = await pending;
  t.is(codeOf(answer), 'owner-overloaded not-run');
  t.true(answer.kind === 'failed' && answer.failure.retryAfterMilliseconds! >= 1_000);
  const path = `/work/${createJobId(1)}`;
  t.is((await cell.call({ action: 'status', path })).kind, 'no-job');
  t.is((await cell.call({ path, specification: createJobSpecification({}) })).kind, 'accepted');
});

test('a job whose write was not sent when the term ended is not answered as unknown', async (t) => {
  const cell = createSchedulerCell();
  cell.startProcess('first');
  await cell.advance(1_000);
  cell.store.faultsOf('first').latencyMilliseconds = 140;
  const answers = [submit(cell, 1)];
  await cell.advance(50);
  answers.push(submit(cell, 2));
  await cell.advance(20);
  cell.killOwner();
  cell.startProcess('second');
  await cell.advance(4_000);
  t.deepEqual((await Promise.all(answers)).map(codeOf), [
    'acceptance-unknown unknown',
    'not-ready not-run',
  ]);
  const path = `/work/${createJobId(2)}`;
  t.is((await cell.call({ action: 'status', path })).kind, 'no-job');
});
