import { performance } from 'node:perf_hooks';

import type { BenchOptions, BenchRow } from '@chicorybend/common';
import { createQueueOrderPolicy, createTaskQueue } from '../index.js';
import type { TaskQueue } from '../index.js';
import { createRandom, drawTaskSize } from './fleet.js';

const SEED = 2;
const CANCELLATIONS = 100_000;
const SHORT_CANCELLATIONS = 20_000;
/** One wave also meets pauses of the garbage collector and of a busy machine. */
const WAVES = 9;
const SHORT_WAVES = 3;
const TEAMS = 750;
/** A stall must leave room for the decision time of 5 ms that the design page allows. */
const MOST_STALL_MILLISECONDS = 5;
/** Cost per call may grow with the depth of a heap, not with the length of the queue. */
const MOST_GROWTH = 10;

const EVERYONE = (): boolean => true;

interface Stall {
  readonly longestMilliseconds: number;
  readonly meanMicroseconds: number;
  readonly removed: number;
}

function createFullQueue(size: number): TaskQueue {
  const random = createRandom(SEED);
  const queue = createTaskQueue(createQueueOrderPolicy('share-first'), {
    agingMilliseconds: 60_000,
  });
  queue.setCapacity({ processors: 1e6, memoryBytes: 1e15, accelerators: 27_000 });
  for (let index = 0; index < size; index += 1) {
    queue.add({
      workId: `task-${index}`,
      jobId: `job-${index % 100}`,
      // One team holds half of the work, as it does when a wave of cancellations follows a mistake.
      team: index % 2 === 0 ? 'team-0' : `team-${Math.floor(random() * TEAMS)}`,
      priority: 'normal',
      resources: drawTaskSize(random),
      tasks: 1,
      enqueuedAt: index,
      notBefore: index % 4 === 0 ? size + 1_000 : 0,
    });
  }
  return queue;
}

/** Removes everything in a scattered order and takes work in between. */
function measureStall(size: number): Stall {
  const queue = createFullQueue(size);
  let longestMilliseconds = 0;
  let totalMilliseconds = 0;
  let removed = 0;
  // The step has no common factor with the sizes, so that every item is met once.
  const step = 7_919;
  for (let index = 0; index < size; index += 1) {
    const workId = `task-${(index * step) % size}`;
    const beganAt = performance.now();
    if (queue.remove(workId)) removed += 1;
    if (index % 100 === 0 && queue.take(size + index, EVERYONE)) removed += 1;
    const elapsed = performance.now() - beganAt;
    longestMilliseconds = Math.max(longestMilliseconds, elapsed);
    totalMilliseconds += elapsed;
  }
  return {
    longestMilliseconds,
    meanMicroseconds: (totalMilliseconds * 1_000) / size,
    removed: removed + queue.size() === size ? removed : -1,
  };
}

/** The least of several means is the one with the fewest pauses of the machine in it. */
const leastMean = (waves: readonly Stall[]): number =>
  Math.min(...waves.map(({ meanMicroseconds }) => meanMicroseconds));

/**
 * Measures a wave of cancellations.
 *
 * @param options extent
 * @returns rows
 */
export function collectCancellationRows({ isShort }: BenchOptions): readonly BenchRow[] {
  const size = isShort ? SHORT_CANCELLATIONS : CANCELLATIONS;
  measureStall(size / 10);
  const smallWaves = Array.from({ length: WAVES }, () => measureStall(size / 10));
  const waves = Array.from({ length: isShort ? SHORT_WAVES : WAVES }, () => measureStall(size));
  const large = waves[0]!;
  const stalls = waves
    .map(({ longestMilliseconds }) => longestMilliseconds)
    .sort((left, right) => left - right);
  const growth: BenchRow = {
    name: `cancellations: cost per call with ${size} in the queue over ${size / 10}`,
    measured: leastMean(waves) / leastMean(smallWaves),
    bound: MOST_GROWTH,
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
  return [
    {
      name: `cancellations: longest stall with ${size}, median of ${WAVES} waves`,
      measured: stalls[Math.floor(WAVES / 2)]!,
      bound: MOST_STALL_MILLISECONDS,
      direction: 'at-most',
      unit: 'ms',
    },
    {
      name: `cancellations: longest stall with ${size}, worst of ${WAVES} waves`,
      measured: stalls[WAVES - 1]!,
      bound: null,
      direction: 'at-most',
      unit: 'ms',
    },
    growth,
    removed,
  ];
}
