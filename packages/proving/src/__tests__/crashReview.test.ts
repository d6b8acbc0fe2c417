import test from 'ava';
import type { ExecutionContext } from 'ava';

import type { JobStatus, StepSpecification } from '@chicorybend/scheduler';
import type { EndpointFleetOptions } from '@chicorybend/standins';

import { createJobId, createJobSpecification, createSchedulerCell } from '../core/schedulerCell.js';
import type { SchedulerCell } from '../core/schedulerCell.js';

const JOB = createJobId(13);

function isOfJob(jobId: string, { taskId }: { readonly taskId: string }): boolean {
  return taskId.startsWith(`${jobId}.`);
}

/** The tasks of {@link JOB} crash their endpoint after this time; never for null. */
async function createCell(
  crashDelayMilliseconds: number | null,
  options: Partial<EndpointFleetOptions> = {},
): Promise<SchedulerCell> {
  const cell = createSchedulerCell({
    crashDelayOf: (order) => (isOfJob(JOB, order) ? crashDelayMilliseconds : null),
    ...options,
  });
  cell.startProcess('owner-0');
  await cell.advance(300);
  return cell;
}

async function submit(
  t: ExecutionContext,
  cell: SchedulerCell,
  jobId: string,
  step: Partial<StepSpecification> = {},
): Promise<void> {
  const specification = createJobSpecification(step);
  t.is((await cell.call({ path: `/work/${jobId}`, specification })).kind, 'accepted');
}

async function statusOf(cell: SchedulerCell, jobId: string): Promise<JobStatus | null> {
  const answer = await cell.call({ action: 'status', path: `/work/${jobId}` });
  return answer.kind === 'status' ? answer.status : null;
}

/** Advances the clock until the condition holds or the time is up. */
async function advanceUntil(
  cell: SchedulerCell,
  condition: () => boolean,
  milliseconds: number,
): Promise<void> {
  const endsAt = cell.clock.monotonicMilliseconds() + milliseconds;
  while (!condition() && cell.clock.monotonicMilliseconds() < endsAt) await cell.advance(2);
}

test('a task whose start was refused by an endpoint that had just crashed is started again', async (t) => {
  const cell = await createCell(null, { count: 1 });
  cell.store.faultsOf('owner-0').latencyMilliseconds = 40;
  await submit(t, cell, JOB);
  await cell.advance(20);
  t.is(cell.fleet.history.length, 0, 'the start is not sent yet');
  cell.fleet.crash('endpoint-0', { downMilliseconds: 1_000, keepsId: false });
  await cell.advance(10_000);
  t.is(await statusOf(cell, JOB), 'completed');
});

test('a task that was started on an endpoint that began to drain and left is started again', async (t) => {
  const cell = await createCell(null, { count: 2, durationOf: () => 3_000 });
  await submit(t, cell, JOB);
  await advanceUntil(cell, () => cell.fleet.history.length > 0, 1_000);
  const { endpointId } = cell.fleet.history[0]!;
  cell.fleet.drain(endpointId, 700);
  await cell.advance(650);
  cell.fleet.crash(endpointId, { downMilliseconds: 1_000, keepsId: false });
  await cell.advance(15_000);
  t.is(await statusOf(cell, JOB), 'completed');
});
