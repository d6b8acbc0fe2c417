/** Power of two, so that the shard is a part of the bits of the hash. */
const SHARD_COUNT = 128;
const SHARD_BITS = 7;
/** Power of two, so that the bucket is a part of the bits of the hash. */
const INITIAL_BUCKETS_PER_SHARD = 4;
/** Mean length of the chains beyond which a shard gets more buckets. */
const MAXIMUM_MEAN_CHAIN_LENGTH = 2;
const HASH_MULTIPLIER = 31;

/** An entry of an {@link IdTable}; holds the table's own link, so that a removal creates nothing. */
export interface TableEntry<Entry> {
  /** Next entry of the same bucket. */
  nextInBucket: Entry | null;
}

/** Entries by a text that identifies them, without long pauses while it grows or shrinks. */
export interface IdTable<Entry> {
  get(id: string): Entry | null;
  /** Adds an entry; none with its id may be present. */
  add(entry: Entry): void;
  /** @returns the removed entry, or null if there is none */
  remove(id: string): Entry | null;
  size(): number;
}

interface Shard<Entry> {
  buckets: (Entry | null)[];
  size: number;
}

function hashOf(id: string): number {
  let hash = 0;
  for (let index = 0; index < id.length; index += 1) {
    hash = (Math.imul(hash, HASH_MULTIPLIER) + id.charCodeAt(index)) | 0;
  }
  return hash;
}

function createBuckets<Entry>(count: number): (Entry | null)[] {
  return Array.from({ length: count }, () => null);
}

/**
 * Creates an empty table.
 *
 * A plain `Map` copies all its entries when its size crosses a power of two, about 3 ms for 100,000 entries,
 * and the copies made while it shrinks are most of the garbage of a wave of removals. Here each copy while
 * the table grows concerns the buckets of one shard only, and a removal changes one link.
 *
 * @param idOf what identifies an entry; it must not change
 * @returns table
 */
export function createIdTable<Entry extends TableEntry<Entry>>(
  idOf: (entry: Entry) => string,
): IdTable<Entry> {
  const shards = Array.from({ length: SHARD_COUNT }, (): Shard<Entry> => ({
    buckets: createBuckets(INITIAL_BUCKETS_PER_SHARD),
    size: 0,
  }));
  let size = 0;

  function bucketOf({ buckets }: Shard<Entry>, hash: number): number {
    return (hash >>> SHARD_BITS) & (buckets.length - 1);
  }

  function link(shard: Shard<Entry>, entry: Entry, hash: number): void {
    const bucket = bucketOf(shard, hash);
    entry.nextInBucket = shard.buckets[bucket] ?? null;
    shard.buckets[bucket] = entry;
  }

  function grow(shard: Shard<Entry>): void {
    const before = shard.buckets;
    shard.buckets = createBuckets(before.length * 2);
    before.forEach((first) => {
      let entry = first;
      while (entry) {
        const next: Entry | null = entry.nextInBucket;
        link(shard, entry, hashOf(idOf(entry)));
        entry = next;
      }
    });
  }

  return {
    get(id) {
      const hash = hashOf(id);
      const shard = shards[hash & (SHARD_COUNT - 1)]!;
      let entry = shard.buckets[bucketOf(shard, hash)] ?? null;
      while (entry && idOf(entry) !== id) entry = entry.nextInBucket;
      return entry;
    },
    add(entry) {
      const hash = hashOf(idOf(entry));
      const shard = shards[hash & (SHARD_COUNT - 1)]!;
      if (shard.size >= shard.buckets.length * MAXIMUM_MEAN_CHAIN_LENGTH) grow(shard);
      link(shard, entry, hash);
      shard.size += 1;
      size += 1;
    },
    remove(id) {
      const hash = hashOf(id);
      const shard = shards[hash & (SHARD_COUNT - 1)]!;
      const bucket = bucketOf(shard, hash);
      let before: Entry | null = null;
      let entry = shard.buckets[bucket] ?? null;
      while (entry && idOf(entry) !== id) {
        before = entry;
        entry = entry.nextInBucket;
      }
      if (!entry) return null;
      if (before) before.nextInBucket = entry.nextInBucket;
      else shard.buckets[bucket] = entry.nextInBucket;
      entry.nextInBucket = null;
      shard.size -= 1;
      size -= 1;
      return entry;
    },
    size: () => size,
  };
}
