import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Pseudo-random numbers; the same seed yields the same sequence. */
export interface Random {
  /** @returns number in [0, 1) */
  fraction(): number;
  /** @returns integer in [lowest, highest] */
  integer(lowest: number, highest: number): number;
  /**
   * @returns one of the items
   * @throws Error if there are no items
   */
  pick<Item>(items: readonly Item[]): Item;
  /** @returns true with the given probability, in [0, 1] */
  chance(probability: number): boolean;
}

/**
 * Creates a pseudo-random number generator.
 *
 * @param seed an integer
 */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  const fraction = (): number => uniformFloat64(generator);
  const integer = (lowest: number, highest: number): number =>
    uniformInt(generator, lowest, highest);
  return {
    fraction,
    integer,
    pick<Item>(items: readonly Item[]): Item {
      const item = items[integer(0, items.length - 1)];
      if (item === undefined) throw new Error('cannot pick from an empty list');
      return item;
    },
    chance: (probability) => fraction() < probability,
  };
}
