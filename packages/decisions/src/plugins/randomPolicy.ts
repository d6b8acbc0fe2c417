import type { PlacementPolicy } from '../types/workerPool.js';

/** Takes any worker with room with equal probability; a baseline. */
class RandomPolicy implements PlacementPolicy {
  readonly name = 'random';

  constructor(private readonly random: () => number) {}

  score(): number {
    return this.random();
  }
}

/**
 * Creates the baseline of random placement.
 *
 * @param random source of random numbers in [0, 1)
 * @returns policy
 */
export function createRandomPolicy(random: () => number): PlacementPolicy {
  return new RandomPolicy(random);
}
