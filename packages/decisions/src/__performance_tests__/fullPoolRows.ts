import { performance } from 'node:perf_hooks';

import { build } from 'hdr-histogram-js';

import type { BenchOptions, BenchRow } from '@chicorybend/common';
import { createBestFitPolicy, createWorkerPool } from '../index.js';
import type { WorkerPool } from '../index.js';
import { createFleet, createRandom, drawTaskSize } from './fleet.js';
import type { Random } from './fleet.js';

const SEED = 6;
const CONSECUTIVE_FAILURES_WHEN_FULL = 200;
const NANOSECONDS_PER_MILLISECOND = 1e6;
const TARGET_P99_MILLISECONDS = 5;
/** As for placements, the cost may grow by a tenth of the growth of the number of workers. */
const ALLOWED_GROWTH_FRACTION = 0.1;

interface Measurement {
  /** The median is not affected by pauses of the machine, so that ratios are reproducible. */
  readonly medianNanoseconds: number;
  readonly p99Milliseconds: number;
  readonly unplacedFraction: number;
}

const placeOne = (pool: WorkerPool, random: Random) => {
  const resources = drawTaskSize(random);
  const workerId = pool.place({ resources, avoidRacks: [], avoidWorkers: [] });
  return { resources, workerId };
};

function createFullPool(workers: number, random: Random): WorkerPool {
  const pool = createWorkerPool(createBestFitPolicy());
  createFleet(workers).forEach(pool.upsert);
  let failures = 0;
  while (failures < CONSECUTIVE_FAILURES_WHEN_FULL) {
    const { resources, workerId } = placeOne(pool, random);
    failures = workerId === null ? failures + 1 : 0;
    if (workerId !== null) pool.allocate(workerId, resources);
  }
  return pool;
}

/** Measures searches in a pool in which almost nothing fits, which is the most expensive case. */
function measureFullPool(workers: number, searches: number): Measurement {
  const random = createRandom(SEED);
  const pool = createFullPool(workers, random);
  const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 1e11 });
  let unplaced = 0;
  for (let index = 0; index < searches; index += 1) {
    const searchStartedAt = performance.now();
    const { workerId } = placeOne(pool, random);
    const elapsed = performance.now() - searchStartedAt;
    histogram.recordValue(Math.round(elapsed * NANOSECONDS_PER_MILLISECOND));
    if (workerId === null) unplaced += 1;
  }
  return {
    medianNanoseconds: histogram.getValueAtPercentile(50),
    p99Milliseconds: histogram.getValueAtPercentile(99) / NANOSECONDS_PER_MILLISECOND,
    unplacedFraction: unplaced / searches,
  };
}

/**
 * Measures searches in a full pool, and how their cost grows with the number of workers.
 *
 * @param options extent; short mode reports only the growth
 */
export function collectFullPoolRows({ isShort }: BenchOptions): readonly BenchRow[] {
  const smallWorkers = 30;
  const largeWorkers = isShort ? 3_000 : 20_000;
  const searches = isShort ? 5_000 : 50_000;
  measureFullPool(smallWorkers, searches);
  const small = measureFullPool(smallWorkers, searches);
  const large = measureFullPool(largeWorkers, searches);
  const growth: BenchRow = {
    name: `full pool: cost of a search at ${largeWorkers} workers over cost at ${smallWorkers}`,
    measured: large.medianNanoseconds / small.medianNanoseconds,
    bound: (ALLOWED_GROWTH_FRACTION * largeWorkers) / smallWorkers,
    direction: 'at-most',
    unit: 'ratio',
  };
  if (isShort) return [growth];
  return [
    {
      name: `full pool ${largeWorkers} workers: p99 search time`,
      measured: large.p99Milliseconds,
      bound: TARGET_P99_MILLISECONDS,
      direction: 'at-most',
      unit: 'ms',
    },
    {
      name: `full pool ${largeWorkers} workers: searches that found nothing`,
      measured: large.unplacedFraction,
      bound: null,
      direction: 'at-most',
      unit: 'fraction',
    },
    growth,
  ];
}
