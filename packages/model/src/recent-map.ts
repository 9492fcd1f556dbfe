/** A map that keeps only the most recently set keys, up to a limit. */
export class RecentMap<Key, Value> {
  private readonly values = new Map<Key, Value>();

  constructor(private readonly limit: number) {}

  get(key: Key): Value | undefined {
    return this.values.get(key);
  }

  has(key: Key): boolean {
    return this.values.has(key);
  }

  /** Sets a value and evicts the least recently set key beyond the limit. */
  set(key: Key, value: Value): void {
    this.values.delete(key);
    this.values.set(key, value);
    if (this.values.size <= this.limit) return;
    for (const oldest of this.values.keys()) {
      this.values.delete(oldest);
      return;
    }
  }
}
