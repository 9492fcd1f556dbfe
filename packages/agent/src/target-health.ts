import type {Target} from './target.js';

/**
 * Tracks whether the target is reachable: it is down until its first health
 * check passes and, after a failure, until the next one passes.
 */
export class TargetHealthMonitor implements Disposable {
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

  /** Starts checking until the target is healthy. */
  start(): void {
    void this.awaitHealth();
  }

  /** Marks the target down until it passes a health check. */
  markDown(): void {
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
