import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Random numbers that a seed determines. */
export interface Random {
  /** @returns number in [0, 1) */
  fraction(): number;
  /** @returns integer between two bounds, both included */
  integer(lowest: number, highest: number): number;
  /** @returns one of the items */
  pick<Item>(items: readonly Item[]): Item;
  /** @returns true with a probability */
  chance(probability: number): boolean;
}

/**
 * Creates random numbers.
 *
 * @param seed seed, an integer
 * @returns the same numbers for the same seed
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
      if (item === undefined) throw new Error('there is nothing to pick from');
      return item;
    },
    chance: (probability) => fraction() < probability,
  };
}
