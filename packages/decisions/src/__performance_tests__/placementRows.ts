import { performance } from 'node:perf_hooks';

import type { Resources, BenchOptions, BenchRow } from '@chicorybend/common';
import { build } from 'hdr-histogram-js';

import {
  createBestFitPolicy,
  createQueueOrderPolicy,
  createTaskQueue,
  createWorkerPool,
} from '../index.js';
import type { WorkItem, TaskQueue, WorkerPool } from '../index.js';
import { createFleet, createRandom, drawTaskSize } from './fleet.js';
import type { Random } from './fleet.js';

const SEED = 1;
const AGING_MILLISECONDS = 60_000;
const NANOSECONDS_PER_MILLISECOND = 1e6;
const MILLISECONDS_PER_SECOND = 1_000;
/** 73,000 running tasks on 20,000 workers. */
const RUNNING_TASKS_PER_WORKER = 3.65;
/** Tasks in the queue. */
const QUEUED = 20_000;
/** Targets of the design page for 20,000 workers on one core. */
const TARGET_WORKERS = 20_000;
const TARGET_PLACEMENTS_PER_SECOND = 6_300;
const TARGET_P99_MILLISECONDS = 5;
/** The cost must grow far slower than the number of workers: by at most a tenth of its growth. */
const ALLOWED_GROWTH_FRACTION = 0.1;

interface Load {
  readonly workers: number;
  readonly teams: number;
  readonly decisions: number;
}

interface Measurement {
  readonly placementsPerSecond: number;
  /** The median is not affected by pauses of the machine, so that ratios are reproducible. */
  readonly medianMicroseconds: number;
  readonly p99Milliseconds: number;
  readonly longestMilliseconds: number;
  readonly placedFraction: number;
}

interface Cell {
  readonly pool: WorkerPool;
  readonly queue: TaskQueue;
  readonly running: { workerId: string; resources: Resources }[];
  readonly random: Random;
}

const allowAnyTeam = (): boolean => true;

function createWork(cell: Cell, load: Load, index: number): WorkItem {
  return {
    workId: `task-${index}`,
    jobId: `job-${index}`,
    team: `team-${Math.floor(cell.random() * load.teams)}`,
    priority: 'normal',
    resources: drawTaskSize(cell.random),
    taskCount: 1,
    enqueuedAt: index,
    notBefore: 0,
  };
}

function createCell(load: Load): Cell {
  const pool = createWorkerPool(createBestFitPolicy());
  const queue = createTaskQueue(createQueueOrderPolicy('share-first'), {
    agingMilliseconds: AGING_MILLISECONDS,
  });
  createFleet(load.workers).forEach(pool.upsert);
  queue.setCapacity(pool.totals().capacityTotal);
  return { pool, queue, running: [], random: createRandom(SEED) };
}

/** Allocates the target number of running tasks on random workers. */
function fill(cell: Cell, load: Load): void {
  const targetCount = Math.floor(load.workers * RUNNING_TASKS_PER_WORKER);
  for (
    let attempts = 0;
    cell.running.length < targetCount && attempts < 4 * targetCount;
    attempts += 1
  ) {
    const resources = drawTaskSize(cell.random);
    const workerId = `worker-${Math.floor(cell.random() * load.workers)}`;
    const free = cell.pool.freeOf(workerId)!;
    const fits =
      free.processors >= resources.processors &&
      free.memoryBytes >= resources.memoryBytes &&
      free.accelerators >= resources.accelerators;
    if (fits) {
      cell.pool.allocate(workerId, resources);
      cell.running.push({ workerId, resources });
    }
  }
}

function endRandomTask(cell: Cell): void {
  const position = Math.floor(cell.random() * cell.running.length);
  const ended = cell.running[position]!;
  const last = cell.running.pop()!;
  if (last !== ended) cell.running.splice(position, 1, last);
  cell.pool.release(ended.workerId, ended.resources);
}

/** Makes one decision: takes the next work from the queue and places it. */
function placeNext(cell: Cell, now: number): boolean {
  const work = cell.queue.take(now, allowAnyTeam)!;
  const workerId = cell.pool.place({
    resources: work.resources,
    avoidRacks: [],
    avoidWorkers: [],
  });
  if (workerId === null) {
    cell.queue.add({ ...work, notBefore: now + 1_000 });
    return false;
  }
  cell.pool.allocate(workerId, work.resources);
  cell.queue.recordStart(work);
  cell.running.push({ workerId, resources: work.resources });
  return true;
}

/**
 * Measures decisions in a full cell. For each decision, a task ends and new work arrives first.
 */
export function measurePlacement(load: Load): Measurement {
  const cell = createCell(load);
  fill(cell, load);
  for (let index = 0; index < QUEUED; index += 1) cell.queue.add(createWork(cell, load, index));
  const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 1e11 });
  let placed = 0;
  let busyMilliseconds = 0;
  for (let index = 0; index < load.decisions; index += 1) {
    const work = createWork(cell, load, QUEUED + index);
    const startedAt = performance.now();
    endRandomTask(cell);
    cell.queue.add(work);
    const decidedAt = performance.now();
    if (placeNext(cell, QUEUED + index)) placed += 1;
    const endedAt = performance.now();
    histogram.recordValue(Math.round((endedAt - decidedAt) * NANOSECONDS_PER_MILLISECOND));
    busyMilliseconds += endedAt - startedAt;
  }
  return {
    placementsPerSecond: (placed / busyMilliseconds) * MILLISECONDS_PER_SECOND,
    medianMicroseconds: histogram.getValueAtPercentile(50) / 1_000,
    p99Milliseconds: histogram.getValueAtPercentile(99) / NANOSECONDS_PER_MILLISECOND,
    longestMilliseconds: histogram.maxValue / NANOSECONDS_PER_MILLISECOND,
    placedFraction: placed / load.decisions,
  };
}

const LOADS: readonly Load[] = [
  { workers: 30, teams: 6, decisions: 50_000 },
  { workers: 300, teams: 30, decisions: 50_000 },
  { workers: 3_000, teams: 300, decisions: 50_000 },
  { workers: TARGET_WORKERS, teams: 750, decisions: 50_000 },
];

function rowsOf(load: Load, measured: Measurement): readonly BenchRow[] {
  const isTarget = load.workers === TARGET_WORKERS;
  const prefix = `decisions ${load.workers} workers`;
  return [
    {
      name: `${prefix}: placements`,
      measured: measured.placementsPerSecond,
      bound: isTarget ? TARGET_PLACEMENTS_PER_SECOND : null,
      direction: 'at-least',
      unit: '1/s',
    },
    {
      name: `${prefix}: p99 decision time`,
      measured: measured.p99Milliseconds,
      bound: isTarget ? TARGET_P99_MILLISECONDS : null,
      direction: 'at-most',
      unit: 'ms',
    },
    {
      name: `${prefix}: longest decision`,
      measured: measured.longestMilliseconds,
      bound: null,
      direction: 'at-most',
      unit: 'ms',
    },
    {
      name: `${prefix}: decisions that placed work`,
      measured: measured.placedFraction,
      bound: null,
      direction: 'at-least',
      unit: 'fraction',
    },
  ];
}

function growthRow(small: Load, large: Load, growth: number): BenchRow {
  return {
    name: `decisions: cost at ${large.workers} workers over cost at ${small.workers}`,
    measured: growth,
    bound: (ALLOWED_GROWTH_FRACTION * large.workers) / small.workers,
    direction: 'at-most',
    unit: 'ratio',
  };
}

/** Compares the cost at two numbers of workers within one run, with the same number of teams. */
function collectShortRows(): readonly BenchRow[] {
  const small = { workers: 30, teams: 30, decisions: 5_000 };
  const large = { workers: 3_000, teams: 30, decisions: 5_000 };
  measurePlacement(small);
  const growth =
    measurePlacement(large).medianMicroseconds / measurePlacement(small).medianMicroseconds;
  return [growthRow(small, large, growth)];
}

/**
 * Measures the rate and duration of decisions, and how their cost grows with the number of workers.
 *
 * @param options extent; short mode reports only the growth
 */
export function collectPlacementRows({ isShort }: BenchOptions): readonly BenchRow[] {
  if (isShort) return collectShortRows();
  measurePlacement(LOADS[0]!);
  const results = LOADS.map((load) => ({ load, measured: measurePlacement(load) }));
  const first = results[0]!;
  const last = results[results.length - 1]!;
  return [
    ...results.flatMap(({ load, measured }) => rowsOf(load, measured)),
    growthRow(
      first.load,
      last.load,
      last.measured.medianMicroseconds / first.measured.medianMicroseconds,
    ),
  ];
}
