import { performance } from 'node:perf_hooks';

import type { BenchOptions, BenchRow } from '@chicorybend/common';
import { createQueueOrderPolicy, createTaskQueue } from '../index.js';
import type { TaskQueue } from '../index.js';
import { createRandom, drawTaskSize } from './fleet.js';

const SEED = 2;
const CANCELLATIONS = 100_000;
const SHORT_CANCELLATIONS = 20_000;
/** A single wave may coincide with pauses of the garbage collector or a busy machine. */
const WAVES = 9;
const SHORT_WAVES = 3;
const TEAMS = 750;
/** A stall must not exceed the decision time of 5 ms that the design page allows. */
const MAXIMUM_STALL_MILLISECONDS = 5;
/** Cost per call may grow with the depth of a heap, not with the length of the queue. */
const MAXIMUM_COST_RATIO = 10;

/** Calls between two readings of the processor time. */
const CALLS_PER_READING = 100;
const MICROSECONDS_PER_MILLISECOND = 1_000;

const allowAnyTeam = (): boolean => true;

interface Stall {
  readonly longestMilliseconds: number;
  /** The same without the time in which the machine ran other processes. */
  readonly longestRunningMilliseconds: number;
  readonly meanMicroseconds: number;
  readonly removed: number;
}

/** Processor time of all threads, including those of the garbage collector. */
function readProcessorMilliseconds(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / MICROSECONDS_PER_MILLISECOND;
}

function createQueue(): TaskQueue {
  const queue = createTaskQueue(createQueueOrderPolicy('share-first'), {
    agingMilliseconds: 60_000,
  });
  queue.setCapacity({ processors: 1e6, memoryBytes: 1e15, accelerators: 27_000 });
  return queue;
}

function fill(queue: TaskQueue, workIds: readonly string[], now: number): void {
  const random = createRandom(SEED);
  workIds.forEach((workId, index) => {
    queue.add({
      workId,
      jobId: `job-${index % 100}`,
      // One team holds half of the work, as it does when a wave of cancellations follows a mistake.
      team: index % 2 === 0 ? 'team-0' : `team-${Math.floor(random() * TEAMS)}`,
      priority: 'normal',
      resources: drawTaskSize(random),
      taskCount: 1,
      enqueuedAt: now + index,
      notBefore: index % 4 === 0 ? now + workIds.length + 1_000 : now,
    });
  });
}

/** Removes all work in a scattered order and takes some work in between. */
function measureStall(queue: TaskQueue, workIds: readonly string[], now: number): Stall {
  const size = workIds.length;
  let longestMilliseconds = 0;
  let longestRunningMilliseconds = 0;
  let removed = 0;
  // The step has no common factor with the sizes, so that every item is visited once.
  const step = 7_919;
  const startedAt = performance.now();
  // The clock is read once per call and no ids are created, because garbage collections caused by the
  // bench itself would count as stalls of the queue.
  let endedAt = startedAt;
  let processorMillisecondsBefore = 0;
  for (let index = 0; index < size; index += 1) {
    if (index % CALLS_PER_READING === 0) processorMillisecondsBefore = readProcessorMilliseconds();
    const callStartedAt = endedAt;
    if (queue.remove(workIds[(index * step) % size]!)) removed += 1;
    if (index % 100 === 0 && queue.take(now + size + index, allowAnyTeam)) removed += 1;
    endedAt = performance.now();
    const elapsed = endedAt - callStartedAt;
    longestMilliseconds = Math.max(longestMilliseconds, elapsed);
    if (elapsed > longestRunningMilliseconds) {
      // The call used at most the processor time since the last reading before it.
      const runningMilliseconds = Math.min(
        elapsed,
        readProcessorMilliseconds() - processorMillisecondsBefore,
      );
      longestRunningMilliseconds = Math.max(longestRunningMilliseconds, runningMilliseconds);
    }
  }
  const totalMilliseconds = endedAt - startedAt;
  return {
    longestMilliseconds,
    longestRunningMilliseconds,
    meanMicroseconds: (totalMilliseconds * MICROSECONDS_PER_MILLISECOND) / size,
    removed: queue.size() === 0 ? removed : -1,
  };
}

/**
 * Measures all waves on one queue, as a partition keeps its queue. With a new queue for each wave, the engine
 * would discard the compiled code and compile it again within the wave.
 */
function measureWaves(size: number, count: number): readonly Stall[] {
  const queue = createQueue();
  const workIds = Array.from({ length: size }, (_, index) => `task-${index}`);
  return Array.from({ length: count }, (_, wave) => {
    // Later than all times of the previous wave.
    const now = wave * 3 * size;
    fill(queue, workIds, now);
    return measureStall(queue, workIds, now);
  });
}

const sortNumbers = (values: readonly number[]): readonly number[] =>
  [...values].sort((left, right) => left - right);

function describeStalls(size: number, waves: readonly Stall[]): readonly BenchRow[] {
  const running = sortNumbers(waves.map((wave) => wave.longestRunningMilliseconds));
  const elapsed = sortNumbers(waves.map((wave) => wave.longestMilliseconds));
  const middle = Math.floor(waves.length / 2);
  const row = (name: string, measured: number, bound: number | null): BenchRow => ({
    name: `cancellations: longest stall with ${size}, ${name}`,
    measured,
    bound,
    direction: 'at-most',
    unit: 'ms',
  });
  return [
    row(`median of ${WAVES} waves`, running[middle]!, MAXIMUM_STALL_MILLISECONDS),
    row(`worst of ${WAVES} waves`, running[WAVES - 1]!, null),
    row(
      `other processes included, median of ${WAVES} waves`,
      elapsed[middle]!,
      MAXIMUM_STALL_MILLISECONDS,
    ),
    row(`other processes included, worst of ${WAVES} waves`, elapsed[WAVES - 1]!, null),
  ];
}

/** The lowest of several means contains the fewest pauses of the machine. */
const lowestMean = (waves: readonly Stall[]): number =>
  Math.min(...waves.map(({ meanMicroseconds }) => meanMicroseconds));

/**
 * Measures the stalls of a queue, and its cost per call, while a wave of cancellations empties it.
 *
 * @param options extent; short mode omits the stalls
 */
export function collectCancellationRows({ isShort }: BenchOptions): readonly BenchRow[] {
  const size = isShort ? SHORT_CANCELLATIONS : CANCELLATIONS;
  measureWaves(size / 10, 1);
  const smallWaves = measureWaves(size / 10, WAVES);
  const waves = measureWaves(size, isShort ? SHORT_WAVES : WAVES);
  const large = waves[0]!;
  const growth: BenchRow = {
    name: `cancellations: cost per call with ${size} in the queue over ${size / 10}`,
    measured: lowestMean(waves) / lowestMean(smallWaves),
    bound: MAXIMUM_COST_RATIO,
    direction: 'at-most',
    unit: 'ratio',
  };
  const removed: BenchRow = {
    name: 'cancellations: work removed or taken exactly once',
    measured: large.removed,
    bound: size,
    direction: 'at-least',
    unit: 'count',
  };
  if (isShort) return [growth, removed];
  return [...describeStalls(size, waves), growth, removed];
}
