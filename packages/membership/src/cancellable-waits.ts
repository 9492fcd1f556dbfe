/** Waits that `end` finishes early, as when their owner is disposed of. Does not cancel what is waited for. */
export class CancellableWaits {
  private ended = false;
  private readonly wakers = new Set<() => void>();

  get isEnded(): boolean {
    return this.ended;
  }

  /** Resolves after `ms`, or at once when the waits are ended. */
  wait(ms: number): Promise<void> {
    if (this.ended || ms <= 0) return Promise.resolve();
    return new Promise(resolve => {
      const wake = () => {
        clearTimeout(timer);
        this.wakers.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, ms);
      this.wakers.add(wake);
    });
  }

  /** Settles as the promise does, or resolves to undefined after `ms` or when the waits are ended. */
  async race<Value>(
    promise: Promise<Value>,
    ms: number,
  ): Promise<Value | undefined> {
    if (this.ended) return undefined;
    return new Promise((resolve, reject) => {
      const wake = () => settle(() => resolve(undefined));
      const timer = setTimeout(wake, Math.max(0, ms));
      const settle = (finish: () => void) => {
        clearTimeout(timer);
        this.wakers.delete(wake);
        finish();
      };
      this.wakers.add(wake);
      promise.then(
        value => settle(() => resolve(value)),
        error => settle(() => reject(error)),
      );
    });
  }

  /** Ends all pending waits; later ones end at once. */
  end(): void {
    this.ended = true;
    for (const wake of [...this.wakers]) wake();
  }
}
