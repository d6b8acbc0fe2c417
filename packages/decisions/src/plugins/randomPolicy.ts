import type { PlacementPolicy } from '../types/workerPool.js';

/** Baseline: takes any worker on which the task fits, with equal probability. */
class RandomPolicy implements PlacementPolicy {
  readonly name = 'random';

  constructor(private readonly random: () => number) {}

  score(): number {
    return this.random();
  }
}

/** @param random source of random numbers in [0, 1) */
export function createRandomPolicy(random: () => number): PlacementPolicy {
  return new RandomPolicy(random);
}
