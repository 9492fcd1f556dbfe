import type {Target} from './target.js';

/** Knows whether the target can be reached. Suspended by a failure, resumed by a health check. */
export class TargetWatch implements Disposable {
  private down = false;
  private disposed = false;

  constructor(
    private readonly target: Target,
    private readonly checkIntervalMs: number,
    private readonly onChange: () => void,
  ) {}

  get isDown(): boolean {
    return this.down;
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
    while (!this.disposed && this.down) {
      await new Promise(resolve =>
        setTimeout(resolve, this.checkIntervalMs).unref(),
      );
      if (this.disposed || !(await this.target.checkHealth())) continue;
      this.down = false;
      this.onChange();
    }
  }
}
