import test from 'ava';
import type { ExecutionContext } from 'ava';

import type { StepSpecification } from '@chicorybend/scheduler';

import {
  CONFIGURATION,
  createJobId,
  createJobSpecification,
  createSchedulerCell,
} from '../core/schedulerCell.js';
import type { SchedulerCell } from '../core/schedulerCell.js';

const ENDPOINTS = 4;
const GANG = createJobId(1);
const LASTING = createJobId(2);
const BATCH_RUN_MILLISECONDS = 3_000;
/** The gang comes before batch jobs, and is not urgent. */
const GANG_PRIORITY = 1;
const BATCH_PRIORITY = 2;

async function createCell(): Promise<SchedulerCell> {
  const [queue] = CONFIGURATION.queues;
  const cell = createSchedulerCell({
    count: ENDPOINTS,
    durationOf: ({ payload }) => (payload === 'lasting' ? Infinity : BATCH_RUN_MILLISECONDS),
  });
  cell.configuration = {
    ...CONFIGURATION,
    queues: [
      queue!,
      { ...queue!, name: 'rebuild', pathPrefix: '/rebuild/', priority: GANG_PRIORITY },
      { ...queue!, name: 'batch', pathPrefix: '/batch/', priority: BATCH_PRIORITY },
    ],
  };
  cell.startProcess('first');
  await cell.advance(300);
  return cell;
}

async function submit(
  t: ExecutionContext,
  cell: SchedulerCell,
  path: string,
  step: Partial<StepSpecification>,
): Promise<void> {
  const payload = step.isLongRunning ? 'lasting' : '';
  const specification = { ...createJobSpecification(step), payload };
  t.is((await cell.call({ path, specification })).kind, 'accepted');
}

function processors(count: number): Pick<StepSpecification, 'resources'> {
  return { resources: { processors: count, memoryBytes: 1, accelerators: 0 } };
}

function submitGang(t: ExecutionContext, cell: SchedulerCell): Promise<void> {
  return submit(t, cell, `/rebuild/${GANG}`, {
    count: 2 * ENDPOINTS,
    isGang: true,
    estimatedMilliseconds: BATCH_RUN_MILLISECONDS,
    ...processors(4),
  });
}

/** @returns by job, the time from its submission to its first start, in milliseconds; Infinity if there is none */
function waitsOf(cell: SchedulerCell, submittedAt: ReadonlyMap<string, number>): number[] {
  return [...submittedAt].map(([jobId, at]) => {
    const starts = cell.fleet.history.filter(({ taskId }) => taskId.startsWith(jobId));
    return Math.min(...starts.map(({ startedAt }) => startedAt)) - at;
  });
}

/** Submits a batch job at each interval. @returns by job, when it was submitted, in monotonic milliseconds */
async function submitStream(
  t: ExecutionContext,
  cell: SchedulerCell,
  firstJob: number,
  jobs: number,
  intervalMilliseconds: number,
): Promise<Map<string, number>> {
  const submittedAt = new Map<string, number>();
  for (let index = firstJob; index < firstJob + jobs; index += 1) {
    submittedAt.set(createJobId(index), cell.clock.monotonicMilliseconds());
    await submit(t, cell, `/batch/${createJobId(index)}`, {
      estimatedMilliseconds: BATCH_RUN_MILLISECONDS,
      ...processors(2),
    });
    await cell.advance(intervalMilliseconds);
  }
  return submittedAt;
}

test('a gang that does not fit beside long-running tasks keeps no room from other work', async (t) => {
  const cell = await createCell();
  await submit(t, cell, `/work/${LASTING}`, { isLongRunning: true, ...processors(4) });
  await cell.advance(500);
  await submitGang(t, cell);
  const submittedAt = await submitStream(t, cell, 100, 6, 200);
  await cell.advance(2_000);
  const longest = Math.max(...waitsOf(cell, submittedAt));
  t.true(longest < 500, `${longest} ms`);
  t.false(cell.fleet.history.some(({ taskId }) => taskId.startsWith(GANG)));
});

test('a gang that does not fit beside a long-running task of its team keeps no room from other work', async (t) => {
  const cell = await createCell();
  const [team] = CONFIGURATION.teams;
  const limit = { processors: 8 * ENDPOINTS, memoryBytes: 0, accelerators: 0 };
  cell.configuration = { ...cell.configuration, version: 2, teams: [{ ...team!, limit }] };
  await cell.advance(1_000);
  await submit(t, cell, `/work/${LASTING}`, { isLongRunning: true, ...processors(0.5) });
  await cell.advance(500);
  await submit(t, cell, `/rebuild/${GANG}`, {
    count: 2 * ENDPOINTS,
    isGang: true,
    ...processors(3.95),
  });
  const submittedAt = await submitStream(t, cell, 100, 6, 200);
  await cell.advance(2_000);
  const longest = Math.max(...waitsOf(cell, submittedAt));
  t.true(longest < 500, `${longest} ms`);
});

test('a gang of whole endpoints starts in the end, and what its waiting costs others is bounded', async (t) => {
  const cell = await createCell();
  const before = await submitStream(t, cell, 100, 10, 400);
  const gangSubmittedAt = cell.clock.monotonicMilliseconds();
  await submit(t, cell, `/rebuild/${GANG}`, {
    count: ENDPOINTS,
    isGang: true,
    estimatedMilliseconds: BATCH_RUN_MILLISECONDS,
    ...processors(8),
  });
  const beside = await submitStream(t, cell, 200, 50, 400);
  const gangWait = Math.max(...waitsOf(cell, new Map([[GANG, gangSubmittedAt]])));
  await cell.advance(20_000);
  const longestBefore = Math.max(...waitsOf(cell, before));
  const longestBeside = Math.max(...waitsOf(cell, beside));
  t.log(`gang ${gangWait} ms, batch before ${longestBefore} ms, batch beside ${longestBeside} ms`);
  // The first reservation, the pause after it, and the runs in its way when the second one begins.
  t.true(gangWait < 11_000 + BATCH_RUN_MILLISECONDS + 1_000, `${gangWait} ms`);
  // The runs in the way of the gang, and its own run.
  t.true(longestBeside < 2 * BATCH_RUN_MILLISECONDS + 2_000, `${longestBeside} ms`);
  t.deepEqual(cell.fleet.violations(), []);
});

test('a long-running task does not wait for the room of a gang', async (t) => {
  const cell = await createCell();
  await submitStream(t, cell, 100, 10, 400);
  await submit(t, cell, `/rebuild/${GANG}`, {
    count: ENDPOINTS,
    isGang: true,
    estimatedMilliseconds: BATCH_RUN_MILLISECONDS,
    ...processors(8),
  });
  await cell.advance(200);
  const submittedAt = new Map([[LASTING, cell.clock.monotonicMilliseconds()]]);
  await submit(t, cell, `/batch/${LASTING}`, { isLongRunning: true, ...processors(2) });
  await cell.advance(2_000);
  const [wait] = waitsOf(cell, submittedAt);
  t.true(wait! < 500, `${wait} ms`);
});
