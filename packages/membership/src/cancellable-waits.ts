/** Waits that all end early when their owner is disposed of. Does not cancel what is waited for. */
export class CancellableWaits {
  private isEnded = false;
  private readonly wakers = new Set<() => void>();

  get isCancelled(): boolean {
    return this.isEnded;
  }

  /** Resolves after `ms`, or at once when the waits are ended. */
  wait(ms: number): Promise<void> {
    if (this.isEnded || ms <= 0) return Promise.resolve();
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

  /** Resolves as the promise does, or to undefined after `ms` or when the waits are ended. */
  async race<Value>(
    promise: Promise<Value>,
    ms: number,
  ): Promise<Value | undefined> {
    if (this.isEnded) return undefined;
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
    this.isEnded = true;
    for (const wake of [...this.wakers]) wake();
  }
}
