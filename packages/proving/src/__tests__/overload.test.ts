import type { StepSpecification } from '@chicorybend/scheduler';
import test from 'ava';

import {
  CONFIGURATION,
  createJobId,
  createJobSpecification,
  createSchedulerCell,
} from '../core/schedulerCell.js';

const BURSTS = 10;
const JOBS_PER_BURST = 2;
const BURST_INTERVAL_MILLISECONDS = 1_500;
const URGENT_RUN_MILLISECONDS = 500;
const BATCH_JOBS = 12;
const URGENT_JOBS = BURSTS * JOBS_PER_BURST;
const BATCH_RUN_MILLISECONDS = 4_000;
/** Objective of an urgent job: one and a half times its run, and 300 ms. */
const OBJECTIVE_MILLISECONDS = 1.5 * URGENT_RUN_MILLISECONDS + 300;

test('bursts of urgent jobs meet their objective while batch jobs wait for all the room there is', async (t) => {
  const [queue] = CONFIGURATION.queues;
  const cell = createSchedulerCell({
    count: 12,
    durationOf: ({ payload }) =>
      payload === 'batch' ? BATCH_RUN_MILLISECONDS : URGENT_RUN_MILLISECONDS,
  });
  cell.configuration = {
    ...CONFIGURATION,
    queues: [
      { ...queue!, stretch: 1.5 },
      { ...queue!, name: 'batch', pathPrefix: '/batch/', priority: 2 },
    ],
  };
  cell.startProcess('first');
  await cell.advance(200);
  const resources = { processors: 4, memoryBytes: 1, accelerators: 0 };
  const submit = (prefix: string, index: number, payload: string, count: number) =>
    cell.call({
      path: `/${prefix}/${createJobId(index)}`,
      specification: { ...createJobSpecification({ count, resources }), payload },
    });
  for (let index = 1; index <= BATCH_JOBS; index += 1) await submit('batch', index, 'batch', 12);
  await cell.advance(1_000);

  const submittedAt = new Map<string, number>();
  for (let burst = 0; burst < BURSTS; burst += 1) {
    for (let job = 0; job < JOBS_PER_BURST; job += 1) {
      const index = 100 + burst * JOBS_PER_BURST + job;
      submittedAt.set(createJobId(index), cell.clock.monotonicMilliseconds());
      await submit('work', index, 'urgent', 4);
    }
    await cell.advance(BURST_INTERVAL_MILLISECONDS);
  }
  await cell.advance(40_000);
  const { history } = cell.fleet;
  const firstBatchEnd = Math.min(
    ...history
      .filter(({ taskId }) => taskId < createJobId(100))
      .map(({ endedAt }) => endedAt ?? Infinity),
  );
  // Until a batch task has ended there is no room that could have been kept.
  const judged = [...submittedAt].filter(([, at]) => at > firstBatchEnd);
  t.true(judged.length >= URGENT_JOBS / 2);
  const late = judged.filter(([jobId, at]) => {
    const runs = history.filter(({ taskId }) => taskId.startsWith(jobId));
    const endedAt = Math.max(...runs.map((run) => run.endedAt ?? Infinity));
    return endedAt - at > OBJECTIVE_MILLISECONDS;
  });
  t.is(late.length, 0, `of ${judged.length} urgent jobs`);
  const done = history.filter(({ kind }) => kind === 'done');
  t.is(done.length, 12 * BATCH_JOBS + 4 * URGENT_JOBS);
  t.deepEqual(cell.fleet.violations(), []);
});

test('a small job starts at once behind a backlog of jobs of its queue that wait for larger room', async (t) => {
  const cell = createSchedulerCell({ count: 4, durationOf: () => 500 });
  cell.startProcess('first');
  await cell.advance(200);
  const submit = (index: number, processors: number) =>
    cell.call({
      path: `/work/${createJobId(index)}`,
      specification: createJobSpecification({
        count: 2,
        resources: { processors, memoryBytes: 1, accelerators: 0 },
      }),
    });
  for (let index = 1; index <= 100; index += 1) await submit(index, 5);
  await submit(1_000, 3);
  await cell.advance(300);
  const small = cell.fleet.history.filter(({ taskId }) => taskId.startsWith(createJobId(1_000)));
  t.is(small.length, 2);
  await cell.advance(30_000);
  t.is(cell.fleet.history.filter(({ kind }) => kind === 'done').length, 202);
  t.deepEqual(cell.fleet.violations(), []);
});

test('advice about an upcoming step is requested before its release, also while no endpoint has room', async (t) => {
  const [queue] = CONFIGURATION.queues;
  const cell = createSchedulerCell({
    count: 2,
    durationOf: ({ payload }) => (payload === 'chain' ? 1_000 : 5_000),
  });
  const advice = { callMilliseconds: 20, endpointMilliseconds: 1, ticketMilliseconds: 2_000 };
  cell.configuration = { ...CONFIGURATION, queues: [{ ...queue!, advice }] };
  const advisedAt = new Map<string, number>();
  const { advise } = cell.fleet.advice;
  Object.assign(cell.fleet.advice, {
    advise(...parameters: Parameters<typeof advise>) {
      advisedAt.set(parameters[0], cell.clock.monotonicMilliseconds());
      return advise(...parameters);
    },
  });
  cell.startProcess('first');
  await cell.advance(200);
  const submit = async (index: number, payload: string, ...steps: Partial<StepSpecification>[]) => {
    const path = `/work/${createJobId(index)}`;
    const resources = { processors: 4, memoryBytes: 1, accelerators: 0 };
    const specification = createJobSpecification(...steps.map((each) => ({ ...each, resources })));
    await cell.call({ path, specification: { ...specification, payload } });
  };
  const runOnly = { estimatedMilliseconds: 1_000 };
  await submit(1, 'chain', { count: 1, ...runOnly }, { count: 1, after: [0], ...runOnly });
  await cell.advance(100);
  await submit(2, 'wide', { count: 3 });
  await cell.advance(3_000);
  const first = cell.fleet.history.find(({ taskId }) => taskId === `${createJobId(1)}.0.0.0`);
  const requestedAt = advisedAt.get(`${createJobId(1)}.0.1`);
  t.truthy(first?.endedAt);
  t.truthy(requestedAt);
  t.true(requestedAt! < first!.endedAt!, 'the request precedes the release');
});
