/** Groups single requests into batches and limits how many batches are in flight. */
export class Batcher<Item, Result> {
  private waiting: {item: Item; resolve: (result: Result) => void}[] = [];
  private inFlight = 0;
  private flushScheduled = false;

  /** `send` must return one result per item, in order. */
  constructor(
    private readonly send: (
      items: readonly Item[],
    ) => Promise<readonly Result[]>,
    private readonly maxInFlight: number,
    private readonly maxBatch: number,
  ) {}

  /** Adds one item to the next batch and resolves with its result. */
  add(item: Item): Promise<Result> {
    return new Promise(resolve => {
      this.waiting.push({item, resolve});
      this.scheduleFlush();
    });
  }

  private scheduleFlush(): void {
    if (this.flushScheduled || this.inFlight >= this.maxInFlight) return;
    this.flushScheduled = true;
    setImmediate(() => {
      this.flushScheduled = false;
      void this.flush();
    });
  }

  private async flush(): Promise<void> {
    if (this.waiting.length === 0) return;
    const batch = this.waiting.splice(0, this.maxBatch);
    this.inFlight++;
    if (this.waiting.length > 0) this.scheduleFlush();
    const results = await this.send(batch.map(({item}) => item));
    this.inFlight--;
    batch.forEach(({resolve}, i) => resolve(results[i]!));
    if (this.waiting.length > 0) this.scheduleFlush();
  }
}
