/** Waits that `cancel` finishes early, as when their owner is disposed of. What is waited for is not cancelled. */
export class CancellableWaits {
  private cancelled = false;
  private readonly wakers = new Set<() => void>();

  get isCancelled(): boolean {
    return this.cancelled;
  }

  /** Resolves after `ms`, or at once when the waits are cancelled. */
  wait(ms: number): Promise<void> {
    if (this.cancelled || ms <= 0) return Promise.resolve();
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

  /** Settles as the promise does, or resolves to undefined after `ms` or when the waits are cancelled. */
  async race<Value>(
    promise: Promise<Value>,
    ms: number,
  ): Promise<Value | undefined> {
    if (this.cancelled) return undefined;
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

  /** Finishes all pending waits; later ones finish at once. */
  cancel(): void {
    this.cancelled = true;
    for (const wake of [...this.wakers]) wake();
  }
}
