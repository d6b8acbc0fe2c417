/** Power of two, so that the shard is a part of the bits of the hash. */
const SHARDS = 128;
/** Ids differ mostly in their last characters. */
const HASHED_CHARACTERS = 8;
const HASH_FACTOR = 31;

/** Map by text, without long pauses while it grows or shrinks. */
export interface ShardedMap<Value> {
  get(key: string): Value | undefined;
  set(key: string, value: Value): void;
  delete(key: string): boolean;
  size(): number;
}

/**
 * Creates an empty map.
 *
 * A plain `Map` copies all its entries when its size crosses a power of two: about 3 ms for 100,000
 * entries. Here each copy concerns one shard only.
 *
 * @returns map
 */
export function createShardedMap<Value>(): ShardedMap<Value> {
  const shards = Array.from({ length: SHARDS }, () => new Map<string, Value>());
  let size = 0;

  function shardOf(key: string): Map<string, Value> {
    let hash = 0;
    for (let index = Math.max(0, key.length - HASHED_CHARACTERS); index < key.length; index += 1) {
      hash = (Math.imul(hash, HASH_FACTOR) + key.charCodeAt(index)) | 0;
    }
    return shards[hash & (SHARDS - 1)]!;
  }

  return {
    get: (key) => shardOf(key).get(key),
    set(key, value) {
      const shard = shardOf(key);
      const before = shard.size;
      shard.set(key, value);
      size += shard.size - before;
    },
    delete(key) {
      const isDeleted = shardOf(key).delete(key);
      if (isDeleted) size -= 1;
      return isDeleted;
    },
    size: () => size,
  };
}
