const WORD_BITS = 32;
const WORD_SHIFT = 5;
const WORD_MASK = 31;
const ALL_BITS = 0xffffffff;

/** Set of small non-negative integers with a fast search for the next member in either direction. */
export interface BitSet {
  add(member: number): void;
  remove(member: number): void;
  /** @returns smallest member from `from` upwards, or -1 */
  next(from: number): number;
  /** @returns largest member from `from` downwards, or -1 */
  previous(from: number): number;
}

/** @param size exclusive upper bound of the members */
export function createBitSet(size: number): BitSet {
  const words = new Uint32Array(Math.ceil(size / WORD_BITS));
  const highestBitOf = (bits: number): number => WORD_MASK - Math.clz32(bits);

  return {
    add(member) {
      words[member >> WORD_SHIFT]! |= 1 << (member & WORD_MASK);
    },
    remove(member) {
      words[member >> WORD_SHIFT]! &= ~(1 << (member & WORD_MASK));
    },
    next(from) {
      let word = from >> WORD_SHIFT;
      let bits = from < size ? words[word]! & (ALL_BITS << (from & WORD_MASK)) : 0;
      while (bits === 0) {
        word += 1;
        if (word >= words.length) return -1;
        bits = words[word]!;
      }
      // `bits & -bits` isolates the lowest bit.
      return (word << WORD_SHIFT) + highestBitOf(bits & -bits);
    },
    previous(from) {
      if (from < 0) return -1;
      let word = from >> WORD_SHIFT;
      let bits = words[word]! & (ALL_BITS >>> (WORD_MASK - (from & WORD_MASK)));
      while (bits === 0) {
        word -= 1;
        if (word < 0) return -1;
        bits = words[word]!;
      }
      return (word << WORD_SHIFT) + highestBitOf(bits);
    },
  };
}
