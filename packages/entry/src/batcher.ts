/** Collects single requests into batches, a few of which are in flight at once. */
export class Batcher<Item, Result> {
  private waiting: {item: Item; resolve: (result: Result) => void}[] = [];
  private inFlight = 0;
  private armed = false;

  /** `send` answers every item, in order. */
  constructor(
    private readonly send: (
      items: readonly Item[],
    ) => Promise<readonly Result[]>,
    private readonly maxInFlight: number,
    private readonly maxBatch: number,
  ) {}

  /** Adds one item to the next batch and waits for its result. */
  add(item: Item): Promise<Result> {
    return new Promise(resolve => {
      this.waiting.push({item, resolve});
      this.arm();
    });
  }

  private arm(): void {
    if (this.armed || this.inFlight >= this.maxInFlight) return;
    this.armed = true;
    setImmediate(() => {
      this.armed = false;
      void this.flush();
    });
  }

  private async flush(): Promise<void> {
    if (this.waiting.length === 0) return;
    const batch = this.waiting.splice(0, this.maxBatch);
    this.inFlight++;
    if (this.waiting.length > 0) this.arm();
    const results = await this.send(batch.map(({item}) => item));
    this.inFlight--;
    batch.forEach(({resolve}, i) => resolve(results[i]!));
    if (this.waiting.length > 0) this.arm();
  }
}
