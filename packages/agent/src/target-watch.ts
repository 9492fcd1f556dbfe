import type {Target} from './target.js';

/**
 * Knows whether the target can be reached: not before its first health check
 * passes, and after a failure not before the next one does.
 */
export class TargetWatch implements Disposable {
  private down = true;
  private disposed = false;

  constructor(
    private readonly target: Target,
    private readonly checkIntervalMs: number,
    private readonly onChange: () => void,
  ) {}

  get isDown(): boolean {
    return this.down;
  }

  /** Begins the first health check. */
  start(): void {
    void this.awaitHealth();
  }

  /** Takes the target for unreachable until it answers a health check. */
  suspend(): void {
    if (this.down || this.disposed) return;
    this.down = true;
    this.onChange();
    void this.awaitHealth();
  }

  [Symbol.dispose](): void {
    this.disposed = true;
  }

  private async awaitHealth(): Promise<void> {
    while (!this.disposed && !(await this.target.checkHealth())) {
      await new Promise(resolve => setTimeout(resolve, this.checkIntervalMs));
    }
    if (this.disposed) return;
    this.down = false;
    this.onChange();
  }
}
