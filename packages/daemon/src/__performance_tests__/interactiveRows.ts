import type { BenchOptions, BenchRow } from '@chicorybend/common';
import { createAdmissionController } from '@chicorybend/decisions';
import type { QueuedRequest, RequestQueue } from '@chicorybend/decisions';

import {
  answerRequest,
  CONFIGURATION,
  createUnlimitedAdmission,
  createOpening,
  createPool,
  createStubConfiguration,
  createStubLease,
  createPoolRequest,
  startEndpoint,
} from '../__tests__/interactiveStubs.js';
import type { Teardown } from '../__tests__/interactiveStubs.js';
import { runOpenLoad } from './openLoad.js';
import type { ArrivalTimes, LoadOutcome, OpenLoad } from './openLoad.js';

/** A pool under load: with admission control, or the baseline without it. */
interface LoadTestPool {
  run(load: Pick<OpenLoad, 'rate' | 'milliseconds'>): Promise<LoadOutcome>;
  /** Requests per second with all slots in use. */
  measureCapacity(): Promise<number>;
  close(): Promise<void>;
}

interface LoadTestPoolOptions {
  readonly hasAdmission: boolean;
  /** Mean service time of each endpoint, in milliseconds. */
  readonly serviceMilliseconds: readonly number[];
}

const SERVICE_MILLISECONDS = 20;
const SLOW_SERVICE_MILLISECONDS = 200;
const DEADLINE_MILLISECONDS = 250;
const SHORT_LOAD_MILLISECONDS = 1_000;
const LONG_LOAD_MILLISECONDS = 5_000;
const CAPACITY_REQUESTS = 800;
const LOAD_FACTORS = [0.5, 0.9, 1.1, 2] as const;
const PERCENTILES = [50, 99, 99.9] as const;
const SPIKE_LOAD_FACTOR = 3;
const NORMAL_LOAD_FACTOR = 0.7;
const MICROSECONDS = 1_000;
const UNBOUNDED_QUEUE = 1_000_000;

/** Below this part of the capacity, goodput under overload counts as collapsed. */
const MINIMUM_GOODPUT_RATIO = 0.7;

/** Goodput right after a spike, as a part of the one before it. */
const MINIMUM_RECOVERY_RATIO = 0.8;

/** Goodput with one slow endpoint, as a part of what arrives. */
const MINIMUM_SLOW_ENDPOINT_RATIO = 0.9;

/** Unknown outcomes, as a part of all requests. */
const MAXIMUM_UNKNOWN_RATIO = 0.05;

/** Absolute bound of the full run: waiting time at half of the capacity, in milliseconds. */
const HALF_LOAD_P99_MILLISECONDS = 20;

/** The baseline queue is first-in-first-out, without a bound, and keeps requests whose callers have given up. */
function createUnboundedQueue<Item>(): RequestQueue<Item> {
  const requests: QueuedRequest<Item>[] = [];
  // Counted, because the queue grows to many thousands and is asked at each arrival.
  const counts = new Map<string, number>();
  const count = (team: string, change: number): void => {
    counts.set(team, (counts.get(team) ?? 0) + change);
  };
  return {
    push(request) {
      requests.push(request);
      count(request.team, 1);
      return true;
    },
    shift() {
      const request = requests.shift() ?? null;
      if (request) count(request.team, -1);
      return request;
    },
    removeExpired: () => [],
    setShares: () => undefined,
    size: () => requests.length,
    sizeOf: (team) => counts.get(team) ?? 0,
  };
}

function createUnboundedQueueOptions() {
  const cell = { ...CONFIGURATION.cell, maximumQueuedRequests: UNBOUNDED_QUEUE };
  const current = { ...CONFIGURATION, cell };
  const configuration = createStubConfiguration({ current, isFresh: true });
  return { configuration, createRequestQueue: createUnboundedQueue };
}

/** Service times vary by half of the mean in both directions. */
function drawServiceMilliseconds(meanMilliseconds: number): number {
  return meanMilliseconds * (0.5 + Math.random());
}

function createTeardown(): Teardown & { close(): Promise<void> } {
  const closers: (() => void | Promise<void>)[] = [];
  return {
    teardown: (closer) => {
      closers.push(closer);
    },
    async close() {
      for (const closer of closers.reverse()) await closer();
    },
  };
}

async function startLoadTestPool(options: LoadTestPoolOptions): Promise<LoadTestPool> {
  const arrivals: ArrivalTimes = new Map();
  const scope = createTeardown();
  const endpoints = await Promise.all(
    options.serviceMilliseconds.map((milliseconds, index) =>
      startEndpoint(scope, `e${index}`, (request, response) => {
        arrivals.set(request.requestId, performance.now());
        setTimeout(
          () => answerRequest(`e${index}`, request, response),
          drawServiceMilliseconds(milliseconds),
        );
      }),
    ),
  );
  const { service, clock } = createPool(scope, endpoints, {
    createAdmission: options.hasAdmission ? createAdmissionController : createUnlimitedAdmission,
    ...(options.hasAdmission ? {} : createUnboundedQueueOptions()),
  });
  await service.open(createOpening(createStubLease(0, 1)));

  async function measureCapacity(): Promise<number> {
    let left = CAPACITY_REQUESTS;
    const startedAt = performance.now();
    async function runSequentially(): Promise<void> {
      while (left > 0) {
        left -= 1;
        await service.execute(0, createPoolRequest(clock));
      }
    }
    const { freeSlots } = service.loadOf(0);
    await Promise.all(Array.from({ length: freeSlots }, runSequentially));
    return (CAPACITY_REQUESTS / (performance.now() - startedAt)) * MICROSECONDS;
  }

  return {
    measureCapacity,
    close: scope.close,
    run: (load) =>
      runOpenLoad(
        {
          ...load,
          deadlineMilliseconds: DEADLINE_MILLISECONDS,
          isDeadlineKnown: options.hasAdmission,
          execute: (work) => service.execute(0, work),
        },
        arrivals,
      ),
  };
}

function describeWaits(name: string, outcome: LoadOutcome): BenchRow[] {
  return PERCENTILES.map((percentile) => ({
    name: `interactive ${name}: wait p${percentile}`,
    measured: outcome.waits.getValueAtPercentile(percentile) / MICROSECONDS,
    bound: null,
    direction: 'at-most',
    unit: 'ms',
  }));
}

function describeRatio(name: string, measured: number, bound: number | null): BenchRow {
  return { name: `interactive ${name}`, measured, bound, direction: 'at-least', unit: 'ratio' };
}

function describeFalseRefusals(name: string, outcome: LoadOutcome): BenchRow {
  return {
    name: `interactive ${name}: refusals of requests that were run`,
    measured: outcome.falseRefusals,
    bound: 0,
    direction: 'at-most',
    unit: 'requests',
  };
}

function describeUnknown(name: string, outcome: LoadOutcome): BenchRow {
  return {
    name: `interactive ${name}: unknown outcomes, of all requests`,
    measured: outcome.unknown / outcome.arrived,
    bound: MAXIMUM_UNKNOWN_RATIO,
    direction: 'at-most',
    unit: 'ratio',
  };
}

async function withLoadTestPool<Value>(
  options: LoadTestPoolOptions,
  use: (bed: LoadTestPool) => Promise<Value>,
) {
  const bed = await startLoadTestPool(options);
  try {
    return await use(bed);
  } finally {
    await bed.close();
  }
}

const EQUAL_ENDPOINTS = [SERVICE_MILLISECONDS, SERVICE_MILLISECONDS];
const ONE_SLOW_ENDPOINT = [SERVICE_MILLISECONDS, SERVICE_MILLISECONDS, SLOW_SERVICE_MILLISECONDS];

function describeAdmission(hasAdmission: boolean): string {
  return hasAdmission ? '' : ', no admission control';
}

/** Waits and goodput of one pool at parts and multiples of its capacity. */
async function collectLoadRows(hasAdmission: boolean, milliseconds: number): Promise<BenchRow[]> {
  const rows: BenchRow[] = [];
  for (const part of LOAD_FACTORS) {
    await withLoadTestPool({ hasAdmission, serviceMilliseconds: EQUAL_ENDPOINTS }, async (bed) => {
      const capacity = await bed.measureCapacity();
      const outcome = await bed.run({ rate: capacity * part, milliseconds });
      const name = `at ${Math.round(part * 100)}% of capacity${describeAdmission(hasAdmission)}`;
      const expected = Math.min(1, part) * capacity;
      const ratio = outcome.goodput / expected;
      rows.push(...describeWaits(name, outcome));
      const bound = hasAdmission ? MINIMUM_GOODPUT_RATIO : null;
      rows.push(describeRatio(`${name}: goodput`, ratio, bound));
      if (hasAdmission) rows.push(describeUnknown(name, outcome));
      if (hasAdmission) rows.push(describeFalseRefusals(name, outcome));
    });
  }
  return rows;
}

async function collectSlowRows(hasAdmission: boolean, milliseconds: number): Promise<BenchRow[]> {
  return withLoadTestPool({ hasAdmission, serviceMilliseconds: ONE_SLOW_ENDPOINT }, async (bed) => {
    const capacity = await bed.measureCapacity();
    const rate = capacity / 2;
    const outcome = await bed.run({ rate, milliseconds });
    const name = `at 50% with one slow endpoint${describeAdmission(hasAdmission)}`;
    const arriving = (outcome.arrived / milliseconds) * MICROSECONDS;
    const bound = hasAdmission ? MINIMUM_SLOW_ENDPOINT_RATIO : null;
    return [
      ...describeWaits(name, outcome),
      describeRatio(`${name}: goodput`, outcome.goodput / arriving, bound),
    ];
  });
}

/** Goodput in calm load right after a spike, as a part of the goodput before it. */
async function collectSpikeRows(hasAdmission: boolean, milliseconds: number): Promise<BenchRow[]> {
  return withLoadTestPool({ hasAdmission, serviceMilliseconds: EQUAL_ENDPOINTS }, async (bed) => {
    const capacity = await bed.measureCapacity();
    const normalLoad = { rate: capacity * NORMAL_LOAD_FACTOR, milliseconds };
    const before = await bed.run(normalLoad);
    const spike = bed.run({ rate: capacity * SPIKE_LOAD_FACTOR, milliseconds });
    await new Promise((resolve) => {
      setTimeout(resolve, milliseconds);
    });
    const after = await bed.run(normalLoad);
    await spike;
    const ratio = after.goodput / before.goodput;
    const name = `goodput after a spike${describeAdmission(hasAdmission)}`;
    return [describeRatio(name, ratio, hasAdmission ? MINIMUM_RECOVERY_RATIO : null)];
  });
}

/** Runs a discarded load, because the first seconds measure the compiler of the engine. */
async function warmUp(): Promise<void> {
  await withLoadTestPool(
    { hasAdmission: true, serviceMilliseconds: EQUAL_ENDPOINTS },
    async (bed) => {
      const capacity = await bed.measureCapacity();
      await bed.run({ rate: capacity, milliseconds: SHORT_LOAD_MILLISECONDS });
    },
  );
}

/** Bounds in milliseconds hold only on an otherwise idle machine. */
function addAbsoluteBounds(rows: readonly BenchRow[]): BenchRow[] {
  return rows.map((row) =>
    row.name === 'interactive at 50% of capacity: wait p99'
      ? { ...row, bound: HALF_LOAD_P99_MILLISECONDS }
      : row,
  );
}

/**
 * Measures the interactive path in one process: waiting times at parts and multiples of the capacity, with
 * one slow endpoint, and the recovery after a spike, beside the same pool without admission control.
 *
 * @param options length of the run
 * @returns rows
 */
export async function collectInteractiveRows(options: BenchOptions): Promise<BenchRow[]> {
  const milliseconds = options.isShort ? SHORT_LOAD_MILLISECONDS : LONG_LOAD_MILLISECONDS;
  const rows: BenchRow[] = [];
  await warmUp();
  for (const hasAdmission of [true, false]) {
    rows.push(...(await collectLoadRows(hasAdmission, milliseconds)));
    rows.push(...(await collectSlowRows(hasAdmission, milliseconds)));
    rows.push(...(await collectSpikeRows(hasAdmission, milliseconds)));
  }
  return options.isShort ? rows : addAbsoluteBounds(rows);
}
