const shardCount = 64;

/**
 * An immutable map with string keys. A change copies one of 64 shards and shares the others,
 * so changing a map of some thousand entries copies only a few dozen.
 */
export class PersistentMap<Value> implements Iterable<
  readonly [string, Value]
> {
  private constructor(
    private readonly shards: readonly ReadonlyMap<string, Value>[],
    readonly size: number,
  ) {}

  /** Builds a map from entries; for duplicate keys the last one wins. */
  static collect<Value>(
    entries: Iterable<readonly [string, Value]>,
  ): PersistentMap<Value> {
    const shards = Array.from(
      {length: shardCount},
      () => new Map<string, Value>(),
    );
    for (const [key, value] of entries) shards[hashKey(key)].set(key, value);
    const size = shards.reduce((sum, shard) => sum + shard.size, 0);
    return new PersistentMap(shards, size);
  }

  get(key: string): Value | undefined {
    return this.shards[hashKey(key)].get(key);
  }

  has(key: string): boolean {
    return this.shards[hashKey(key)].has(key);
  }

  /** Returns a copy in which the key has this value. */
  set(key: string, value: Value): PersistentMap<Value> {
    const size = this.has(key) ? this.size : this.size + 1;
    return this.replaceShard(key, size, shard => shard.set(key, value));
  }

  /** Returns a copy without the key. */
  delete(key: string): PersistentMap<Value> {
    if (!this.has(key)) return this;
    return this.replaceShard(key, this.size - 1, shard => shard.delete(key));
  }

  /** Lists the values in an unspecified order, the same for each call. */
  *list(): Generator<Value> {
    for (const shard of this.shards) yield* shard.values();
  }

  *[Symbol.iterator](): Generator<readonly [string, Value]> {
    for (const shard of this.shards) yield* shard;
  }

  private replaceShard(
    key: string,
    size: number,
    change: (shard: Map<string, Value>) => unknown,
  ): PersistentMap<Value> {
    const at = hashKey(key);
    const shard = new Map(this.shards[at]);
    change(shard);
    const shards = [...this.shards];
    shards[at] = shard;
    return new PersistentMap(shards, size);
  }
}

/** Computes the key's shard: FNV-1a over its UTF-16 code units. */
function hashKey(key: string): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < key.length; i++) {
    hash = Math.imul(hash ^ key.charCodeAt(i), 0x01000193);
  }
  return (hash ^ (hash >>> 16)) & (shardCount - 1);
}
