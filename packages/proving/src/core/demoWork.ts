import type { JobKind, Resources } from '@chicorybend/common';
import type { RunRecord } from '@chicorybend/standins';

import type { JobPlan, Submission } from '../types/workPlan.js';
import { waitUntil } from '../utils/waitUntil.js';
import type { ExampleQueues } from './exampleQueues.js';
import type { JobHandle, Workload } from './workload.js';

/** Options of the demo work. */
export interface DemoWorkOptions {
  readonly workload: Workload;
  readonly queues: ExampleQueues;
  readonly record: RunRecord;
}

const REQUESTS = 240;
const OPEN_REQUESTS = 24;
const REQUEST_CONCURRENCY = 24;
const SERVICE_MILLISECONDS = 20;
const DEADLINE_MILLISECONDS = 5_000;
const JOBS_PER_SUBMISSION = 2;
const BATCH_TASKS = 4;
const BATCH_MILLISECONDS = 300;
const GANG_TASKS = 6;
const GANG_MILLISECONDS = 400;
const SERVICE_REPLICAS = 2;
const SERVICES_START_TIMEOUT_MILLISECONDS = 15_000;
const BYTES_PER_GIBIBYTE = 1_073_741_824;
const TASK_RESOURCES: Resources = {
  processors: 2,
  memoryBytes: 4 * BYTES_PER_GIBIBYTE,
  accelerators: 0,
};

function pick<Item>(items: readonly Item[], index: number): Item {
  const item = items[index % items.length];
  if (item === undefined) throw new Error('the example has no queue of this kind');
  return item;
}

/** Runs an action for each index below `count`, at most `REQUEST_CONCURRENCY` at a time. */
async function runConcurrently(
  count: number,
  action: (index: number) => Promise<unknown>,
): Promise<void> {
  let next = 0;
  const sendLoops = Array.from({ length: Math.min(count, REQUEST_CONCURRENCY) }, async () => {
    while (next < count) {
      const index = next;
      next += 1;
      await action(index);
    }
  });
  await Promise.all(sendLoops);
}

/**
 * Sends interactive requests, half of them non-idempotent, to keyed queues, and some to open queues without a key.
 *
 * @param scale factor on the number of requests
 */
export async function runInteractiveWork(options: DemoWorkOptions, scale = 1): Promise<void> {
  const { workload, queues } = options;
  const keyed = queues.interactive();
  const timing = {
    serviceMilliseconds: SERVICE_MILLISECONDS,
    deadlineMilliseconds: DEADLINE_MILLISECONDS,
  };
  const send = (submission: Submission, isIdempotent: boolean): Promise<unknown> =>
    workload.sendRequest({ ...submission, ...timing, isIdempotent });
  await runConcurrently(Math.round(REQUESTS * scale), (index) =>
    send(pick(keyed, index), index % 2 === 0),
  );
  await runConcurrently(Math.round(OPEN_REQUESTS * scale), (index) =>
    send(pick(queues.open(), index), true),
  );
}

function planJobs(
  submissions: readonly Submission[],
  plan: Pick<JobPlan, 'kind' | 'tasks' | 'runMilliseconds'>,
): JobPlan[] {
  return submissions.flatMap((submission) =>
    Array.from({ length: JOBS_PER_SUBMISSION }, (_, index) => ({
      ...submission,
      ...plan,
      isIdempotent: index % 2 === 0,
      isUrgent: index === 0,
      resources: TASK_RESOURCES,
    })),
  );
}

function createJobPlans(queues: ExampleQueues): JobPlan[] {
  const describe = (kind: JobKind, tasks: number, runMilliseconds: number | null): JobPlan[] =>
    planJobs(queues.durable(kind), { kind, tasks, runMilliseconds });
  return [
    ...describe('batch', BATCH_TASKS, BATCH_MILLISECONDS),
    ...describe('gang', GANG_TASKS, GANG_MILLISECONDS),
    ...describe('service', SERVICE_REPLICAS, null),
  ];
}

function countRunning(record: RunRecord, markers: ReadonlySet<string>): number {
  const starts = record.entriesOf('task-started').filter(({ marker }) => markers.has(marker ?? ''));
  const taskIds = new Set(starts.map(({ taskId }) => taskId));
  const ends = record.entriesOf('task-ended').filter(({ taskId }) => taskIds.has(taskId));
  return starts.length - ends.length;
}

/** Cancels the services once the record shows all their replicas running, or after a time-out. */
async function cancelRunningServices(
  options: DemoWorkOptions,
  handles: readonly JobHandle[],
): Promise<void> {
  const markers = new Set(handles.map(({ marker }) => marker));
  const replicas = handles.reduce((sum, { plan }) => sum + plan.tasks, 0);
  await waitUntil(
    () => countRunning(options.record, markers) >= replicas,
    SERVICES_START_TIMEOUT_MILLISECONDS,
  );
  await Promise.all(handles.map((handle) => options.workload.cancelJob(handle)));
}

/**
 * Submits batches, gangs and services, cancels the services once they run, and waits until all jobs have ended.
 *
 * @param limitMilliseconds how long to wait for the jobs to end, in milliseconds
 */
export async function runDurableWork(
  options: DemoWorkOptions,
  limitMilliseconds: number,
): Promise<void> {
  const { workload, queues } = options;
  const handles = await Promise.all(createJobPlans(queues).map((plan) => workload.submitJob(plan)));
  const services = handles.filter(({ plan }) => plan.kind === 'service');
  await cancelRunningServices(options, services);
  await workload.waitForJobs(['batch', 'gang', 'service'], limitMilliseconds);
}
