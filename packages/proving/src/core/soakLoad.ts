import { createSystemClock, sleep } from '@chicorybend/common';
import type { JobKind, Resources } from '@chicorybend/common';

import type { JobPlan, RequestPlan } from '../types/workPlan.js';
import type { Random } from '../utils/random.js';
import type { ExampleQueues } from './exampleQueues.js';
import type { JobHandle, Workload } from './workload.js';

/** Options of the load of a soak. */
export interface SoakLoadOptions {
  readonly workload: Workload;
  readonly queues: ExampleQueues;
  readonly random: Random;
}

const TICK_MILLISECONDS = 100;
const REQUESTS_PER_TICK = 4;
const JOB_PROBABILITY_PER_TICK = 0.15;
const CANCEL_PROBABILITY_PER_TICK = 0.02;
const OPEN_REQUEST_PROBABILITY = 0.1;
// Bounds the memory and connections of the callers while the daemons answer nothing.
const OPEN_CALL_LIMIT = 400;
const SERVICE_LIMIT = 12;
const KINDS: readonly JobKind[] = ['batch', 'batch', 'batch', 'gang', 'service'];
const MOST_TASKS: Readonly<Record<JobKind, number>> = { batch: 8, gang: 8, service: 3 };
const LONGEST_SERVICE_TIME_MILLISECONDS = 200;
const LONGEST_RUN_MILLISECONDS = 8_000;
const SHORTEST_RUN_MILLISECONDS = 50;
const LARGEST_PROCESSORS = 8;
const LARGEST_MEMORY_GIBIBYTES = 32;
const BYTES_PER_GIBIBYTE = 1_073_741_824;
// Users declare inaccurate run times: from a quarter of the real one to four times it.
const DECLARED_ERROR = 4;
const DEADLINES_MILLISECONDS = [500, 2_000, 5_000];

function planRequest({ queues, random }: SoakLoadOptions): RequestPlan {
  const isOpen = random.chance(OPEN_REQUEST_PROBABILITY);
  return {
    ...random.pick(isOpen ? queues.open() : queues.interactive()),
    isIdempotent: random.chance(0.5),
    serviceMilliseconds: random.integer(1, LONGEST_SERVICE_TIME_MILLISECONDS),
    deadlineMilliseconds: random.pick(DEADLINES_MILLISECONDS),
  };
}

function planResources(random: Random): Resources {
  return {
    processors: random.integer(1, LARGEST_PROCESSORS),
    memoryBytes: random.integer(1, LARGEST_MEMORY_GIBIBYTES) * BYTES_PER_GIBIBYTE,
    accelerators: 0,
  };
}

function planJob({ queues, random }: SoakLoadOptions, kind: JobKind): JobPlan {
  const runMilliseconds = random.integer(SHORTEST_RUN_MILLISECONDS, LONGEST_RUN_MILLISECONDS);
  return {
    ...random.pick(queues.durable(kind)),
    kind,
    tasks: random.integer(1, MOST_TASKS[kind]),
    isIdempotent: random.chance(0.5),
    isUrgent: random.chance(0.2),
    resources: planResources(random),
    runMilliseconds: kind === 'service' ? null : runMilliseconds,
    declaredMilliseconds: Math.ceil((runMilliseconds * DECLARED_ERROR) / random.integer(1, 16)),
  };
}

/**
 * Sends a random mix of requests, job submissions and cancellations at a steady rate, then waits until all calls have
 * ended.
 *
 * @param durationMilliseconds how long to send, in milliseconds
 * @param isOver ends the sending before that time
 */
export async function runSoakLoad(
  options: SoakLoadOptions,
  durationMilliseconds: number,
  isOver: () => boolean = () => false,
): Promise<void> {
  const { workload, random } = options;
  const clock = createSystemClock();
  const open = new Set<Promise<unknown>>();
  const services: JobHandle[] = [];
  const until = clock.monotonicMilliseconds() + durationMilliseconds;
  let submittedServices = 0;

  function track(call: Promise<unknown>): void {
    const tracked: Promise<unknown> = call.finally(() => open.delete(tracked));
    open.add(tracked);
  }

  async function submit(plan: JobPlan): Promise<void> {
    const handle = await workload.submitJob(plan);
    if (plan.kind === 'service') services.push(handle);
  }

  function submitSomeJob(): void {
    const kind = random.pick(KINDS);
    const plan = planJob(options, kind);
    if (kind === 'service') {
      if (submittedServices >= SERVICE_LIMIT) return;
      submittedServices += 1;
    }
    track(submit(plan));
  }

  function cancelSomeJob(): void {
    const handles = workload.handles().filter(({ jobId }) => jobId !== null);
    if (handles.length > 0) track(workload.cancelJob(random.pick(handles)));
  }

  function sendSomeWork(): void {
    Array.from({ length: REQUESTS_PER_TICK }).forEach(() => {
      track(workload.sendRequest(planRequest(options)));
    });
    if (random.chance(JOB_PROBABILITY_PER_TICK)) submitSomeJob();
    if (random.chance(CANCEL_PROBABILITY_PER_TICK)) cancelSomeJob();
  }

  while (clock.monotonicMilliseconds() < until && !isOver()) {
    if (open.size < OPEN_CALL_LIMIT) sendSomeWork();
    await sleep(clock, TICK_MILLISECONDS);
  }
  await Promise.all(open);
}
