import type { CallerAnswer, JobSpecification } from '@chicorybend/scheduler';
import test from 'ava';

import {
  CONFIGURATION,
  createJobId,
  createJobSpecification,
  createSchedulerCell,
} from '../core/schedulerCell.js';

const RUN_MILLISECONDS = 500;
const TASK = { resources: { processors: 4, memoryBytes: 1, accelerators: 0 } };

/** @returns cell of 16 processors whose run times are known in both queues, and functions that submit jobs */
async function createLearntCell(stretch = 2) {
  const [queue] = CONFIGURATION.queues;
  const cell = createSchedulerCell({
    count: 2,
    durationOf: ({ payload }) => (payload === 'lasting' ? Infinity : RUN_MILLISECONDS),
    resourcesOf: () => TASK.resources,
  });
  const batch = { ...queue!, name: 'batch', pathPrefix: '/batch/', priority: 2, stretch };
  cell.configuration = { ...CONFIGURATION, queues: [queue!, batch] };
  cell.startProcess('owner');
  await cell.advance(200);
  let jobs = 0;
  function submit(prefix: string, specification: JobSpecification): Promise<CallerAnswer> {
    jobs += 1;
    return cell.call({ path: `/${prefix}/${createJobId(jobs)}`, specification });
  }
  const work = (count: number) => createJobSpecification({ ...TASK, count });
  await submit('work', work(12));
  await submit('batch', work(12));
  await cell.advance(6_000);
  return { cell, submit, work, lastPath: () => `/batch/${createJobId(jobs)}` };
}

function codeOf(answer: CallerAnswer): string {
  return answer.kind === 'failed' ? answer.failure.code : answer.kind;
}

test('a job that would end too late behind urgent work is refused, not run, and accepted once it fits', async (t) => {
  const { cell, submit, work, lastPath } = await createLearntCell();
  for (let index = 0; index < 6; index += 1) {
    t.is(codeOf(await submit('work', work(20))), 'accepted');
  }
  await cell.advance(500);
  const answer = await submit('batch', work(1));
  t.is(codeOf(answer), 'overloaded');
  t.true(answer.kind === 'failed' && answer.failure.run === 'not-run');
  const retry = answer.kind === 'failed' ? answer.failure.retryAfterMilliseconds! : 0;
  t.true(retry >= 1_000 && retry < 20_000, `${retry} ms`);
  t.is(codeOf(await cell.call({ action: 'status', path: lastPath() })), 'no-job');
  t.is(codeOf(await submit('work', work(1))), 'accepted', 'urgent work');
  const path = `/batch/${createJobId(2)}`;
  t.is(codeOf(await cell.call({ path, specification: work(12) })), 'accepted', 'known id');
  const schedule = {
    startAt: cell.clock.wallMilliseconds(),
    intervalMilliseconds: 1_000,
    repetitions: 2,
  };
  t.is(codeOf(await submit('batch', { ...work(1), schedule })), 'accepted', 'with a schedule');
  const steps = createJobSpecification({ ...TASK, isLongRunning: true });
  const lasting = { ...steps, payload: 'lasting' };
  t.is(codeOf(await submit('batch', lasting)), 'accepted', 'long-running');
  cell.killOwner();
  cell.startProcess('next');
  await cell.advance(2_500);
  t.is(codeOf(await submit('batch', work(1))), 'accepted', 'right after a takeover');
  await cell.advance(20_000);
  t.is(codeOf(await submit('batch', work(1))), 'accepted', 'the urgent work is done');
  t.deepEqual(cell.fleet.violations(), []);
});

test('a queue without an objective refuses no job for its wait', async (t) => {
  const { cell, submit, work } = await createLearntCell(0);
  for (let index = 0; index < 6; index += 1) await submit('work', work(20));
  await cell.advance(500);
  t.is(codeOf(await submit('batch', work(1))), 'accepted');
});
