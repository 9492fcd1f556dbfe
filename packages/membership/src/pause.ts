/** Waits that all end early when their owner is disposed of. */
export class Pause {
  private over = false;
  private readonly wakers = new Set<() => void>();

  get isOver(): boolean {
    return this.over;
  }

  /** Waits for a time in ms, or until the end. */
  wait(ms: number): Promise<void> {
    if (this.over || ms <= 0) return Promise.resolve();
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

  /** Waits for a promise, but no longer than a time in ms or until the end; then undefined. */
  async race<Value>(
    promise: Promise<Value>,
    ms: number,
  ): Promise<Value | undefined> {
    if (this.over) return undefined;
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

  /** Ends every wait, now and later. */
  end(): void {
    this.over = true;
    for (const wake of [...this.wakers]) wake();
  }
}
