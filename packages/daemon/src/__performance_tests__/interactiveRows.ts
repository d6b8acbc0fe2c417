import type { BenchOptions, BenchRow } from '@chicorybend/common';
import { createAdmissionController } from '@chicorybend/decisions';
import type { QueuedRequest, RequestQueue } from '@chicorybend/decisions';

import {
  answerRequest,
  CONFIGURATION,
  createOpenAdmission,
  createOpening,
  createPool,
  createStubConfiguration,
  createStubLease,
  createWork,
  startEndpoint,
} from '../__tests__/interactiveStubs.js';
import type { Teardown } from '../__tests__/interactiveStubs.js';
import { runOpenLoad } from './openLoad.js';
import type { Arrivals, LoadOutcome, OpenLoad } from './openLoad.js';

/** A pool under load: with admission control, or the baseline without it. */
interface Bed {
  run(load: Pick<OpenLoad, 'rate' | 'milliseconds'>): Promise<LoadOutcome>;
  /** Requests per second with all slots in use. */
  measureCapacity(): Promise<number>;
  close(): Promise<void>;
}

interface BedOptions {
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
const LOADS_OF_CAPACITY = [0.5, 0.9, 1.1, 2] as const;
const PERCENTILES = [50, 99, 99.9] as const;
const SPIKE_OF_CAPACITY = 3;
const CALM_OF_CAPACITY = 0.7;
const MICROSECONDS = 1_000;
const UNBOUNDED_QUEUE = 1_000_000;

/** Below this part of the capacity, goodput under overload counts as collapsed. */
const LEAST_GOODPUT_RATIO = 0.7;

/** Goodput right after a spike, as a part of the one before it. */
const LEAST_RECOVERY_RATIO = 0.8;

/** Goodput with one slow endpoint, as a part of what arrives. */
const LEAST_SLOW_RATIO = 0.9;

/** Unknown outcomes, as a part of all requests. */
const MOST_UNKNOWN_RATIO = 0.05;

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

function createUnboundedParts() {
  const cell = { ...CONFIGURATION.cell, maximumQueuedRequests: UNBOUNDED_QUEUE };
  const current = { ...CONFIGURATION, cell };
  const configuration = createStubConfiguration({ current, isFresh: true });
  return { configuration, createRequestQueue: createUnboundedQueue };
}

/** Service times vary by half of the mean in both directions. */
function drawService(meanMilliseconds: number): number {
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

async function startBed(options: BedOptions): Promise<Bed> {
  const arrivals: Arrivals = new Map();
  const scope = createTeardown();
  const endpoints = await Promise.all(
    options.serviceMilliseconds.map((milliseconds, index) =>
      startEndpoint(scope, `e${index}`, (request, response) => {
        arrivals.set(request.requestId, performance.now());
        setTimeout(() => answerRequest(`e${index}`, request, response), drawService(milliseconds));
      }),
    ),
  );
  const { service, clock } = createPool(scope, endpoints, {
    createAdmission: options.hasAdmission ? createAdmissionController : createOpenAdmission,
    ...(options.hasAdmission ? {} : createUnboundedParts()),
  });
  await service.open(createOpening(createStubLease(0, 1)));

  async function measureCapacity(): Promise<number> {
    let left = CAPACITY_REQUESTS;
    const startedAt = performance.now();
    async function runInTurn(): Promise<void> {
      while (left > 0) {
        left -= 1;
        await service.execute(0, createWork(clock));
      }
    }
    const { freeSlots } = service.loadOf(0);
    await Promise.all(Array.from({ length: freeSlots }, runInTurn));
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
          isDeadlineTold: options.hasAdmission,
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
    bound: MOST_UNKNOWN_RATIO,
    direction: 'at-most',
    unit: 'ratio',
  };
}

async function withBed<Value>(options: BedOptions, use: (bed: Bed) => Promise<Value>) {
  const bed = await startBed(options);
  try {
    return await use(bed);
  } finally {
    await bed.close();
  }
}

const EVEN = [SERVICE_MILLISECONDS, SERVICE_MILLISECONDS];
const ONE_SLOW = [SERVICE_MILLISECONDS, SERVICE_MILLISECONDS, SLOW_SERVICE_MILLISECONDS];

function nameBed(hasAdmission: boolean): string {
  return hasAdmission ? '' : ', no admission control';
}

/** Waits and goodput of one pool at parts and multiples of its capacity. */
async function collectLoadRows(hasAdmission: boolean, milliseconds: number): Promise<BenchRow[]> {
  const rows: BenchRow[] = [];
  for (const part of LOADS_OF_CAPACITY) {
    await withBed({ hasAdmission, serviceMilliseconds: EVEN }, async (bed) => {
      const capacity = await bed.measureCapacity();
      const outcome = await bed.run({ rate: capacity * part, milliseconds });
      const name = `at ${Math.round(part * 100)}% of capacity${nameBed(hasAdmission)}`;
      const expected = Math.min(1, part) * capacity;
      const ratio = outcome.goodput / expected;
      rows.push(...describeWaits(name, outcome));
      const bound = hasAdmission ? LEAST_GOODPUT_RATIO : null;
      rows.push(describeRatio(`${name}: goodput`, ratio, bound));
      if (hasAdmission) rows.push(describeUnknown(name, outcome));
      if (hasAdmission) rows.push(describeFalseRefusals(name, outcome));
    });
  }
  return rows;
}

async function collectSlowRows(hasAdmission: boolean, milliseconds: number): Promise<BenchRow[]> {
  return withBed({ hasAdmission, serviceMilliseconds: ONE_SLOW }, async (bed) => {
    const capacity = await bed.measureCapacity();
    const rate = capacity / 2;
    const outcome = await bed.run({ rate, milliseconds });
    const name = `at 50% with one slow endpoint${nameBed(hasAdmission)}`;
    const arriving = (outcome.arrived / milliseconds) * MICROSECONDS;
    const bound = hasAdmission ? LEAST_SLOW_RATIO : null;
    return [
      ...describeWaits(name, outcome),
      describeRatio(`${name}: goodput`, outcome.goodput / arriving, bound),
    ];
  });
}

/** Goodput in calm load right after a spike, as a part of the goodput before it. */
async function collectSpikeRows(hasAdmission: boolean, milliseconds: number): Promise<BenchRow[]> {
  return withBed({ hasAdmission, serviceMilliseconds: EVEN }, async (bed) => {
    const capacity = await bed.measureCapacity();
    const calm = { rate: capacity * CALM_OF_CAPACITY, milliseconds };
    const before = await bed.run(calm);
    const spike = bed.run({ rate: capacity * SPIKE_OF_CAPACITY, milliseconds });
    await new Promise((resolve) => {
      setTimeout(resolve, milliseconds);
    });
    const after = await bed.run(calm);
    await spike;
    const ratio = after.goodput / before.goodput;
    const name = `goodput after a spike${nameBed(hasAdmission)}`;
    return [describeRatio(name, ratio, hasAdmission ? LEAST_RECOVERY_RATIO : null)];
  });
}

/** Runs a discarded load, because the first seconds measure the compiler of the engine. */
async function warmUp(): Promise<void> {
  await withBed({ hasAdmission: true, serviceMilliseconds: EVEN }, async (bed) => {
    const capacity = await bed.measureCapacity();
    await bed.run({ rate: capacity, milliseconds: SHORT_LOAD_MILLISECONDS });
  });
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
