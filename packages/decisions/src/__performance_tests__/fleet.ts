import type { Resources } from '@chicorybend/common';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import type { PoolWorker } from '../index.js';

const GIBIBYTE = 2 ** 30;
const WORKERS_PER_RACK = 40;
const DATA_CENTRES = 8;
const ACCELERATORS_PER_WORKER = 8;
/** 20,000 workers hold 27,000 accelerators: 8 on each of about one worker in six. */
const ACCELERATOR_WORKER_INTERVAL = 6;

/** Source of random numbers in [0, 1). */
export type Random = () => number;

export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/** @returns one of the values, each with equal probability */
export const pickRandom = <Value>(random: Random, values: readonly Value[]): Value =>
  values[Math.floor(random() * values.length)]!;

const WORKER_SIZES = [
  { processors: 32, gibibytes: 128 },
  { processors: 32, gibibytes: 128 },
  { processors: 32, gibibytes: 128 },
  { processors: 64, gibibytes: 256 },
  { processors: 16, gibibytes: 64 },
];

/**
 * Creates the workers of a cell, one in six with accelerators.
 */
export function createFleet(count: number): readonly PoolWorker[] {
  return Array.from({ length: count }, (_, index) => {
    const size = WORKER_SIZES[index % WORKER_SIZES.length]!;
    const rack = Math.floor(index / WORKERS_PER_RACK);
    return {
      workerId: `worker-${index}`,
      dataCentre: `dc-${rack % DATA_CENTRES}`,
      rack: `rack-${rack}`,
      capacity: {
        processors: size.processors,
        memoryBytes: size.gibibytes * GIBIBYTE,
        accelerators: index % ACCELERATOR_WORKER_INTERVAL === 0 ? ACCELERATORS_PER_WORKER : 0,
      },
    };
  });
}

const TASK_PROCESSORS = [0.5, 1, 2, 4, 4, 8, 8, 16, 24];
const ACCELERATOR_TASK_FRACTION = 0.1;

/**
 * Draws the resources of a task: one of a few numbers of processors, and any amount of memory in
 * proportion to it.
 */
export function drawTaskSize(random: Random): Resources {
  const processors = pickRandom(random, TASK_PROCESSORS);
  const gibibytesPerProcessor = 1 + 5 * random();
  const isAccelerated = random() < ACCELERATOR_TASK_FRACTION;
  return {
    processors,
    memoryBytes: Math.floor(processors * gibibytesPerProcessor * GIBIBYTE),
    accelerators: isAccelerated ? 1 + Math.floor(random() * 4) : 0,
  };
}
