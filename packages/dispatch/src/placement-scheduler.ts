import {monotonicClock} from '#model';

/** The delay before tasks that wait only for time to pass are considered again. */
const retryDelayMs = 20;

/** Runs placement in separate turns of the event loop, once for all changes before that turn. */
export class PlacementScheduler implements Disposable {
  private next: NodeJS.Immediate | undefined;
  private retryTimer: NodeJS.Timeout | undefined;
  private isDisposed = false;
  private totalSpentMs = 0;

  /** `place` returns true when it should be retried after a delay even if nothing else changes. */
  constructor(private readonly place: () => boolean) {}

  /** The total time spent on placement, in ms. */
  get spentMs(): number {
    return Math.round(this.totalSpentMs);
  }

  /** Schedules placement for the next turn of the event loop. */
  schedule(): void {
    if (this.isDisposed) return;
    this.next ??= setImmediate(() => {
      this.next = undefined;
      this.run();
    });
  }

  [Symbol.dispose](): void {
    this.isDisposed = true;
    clearImmediate(this.next);
    clearTimeout(this.retryTimer);
  }

  private run(): void {
    const startedAt = monotonicClock.now();
    const needsRetry = this.place();
    this.totalSpentMs += monotonicClock.now() - startedAt;
    if (needsRetry) this.scheduleRetry();
  }

  private scheduleRetry(): void {
    this.retryTimer ??= setTimeout(() => {
      this.retryTimer = undefined;
      this.run();
    }, retryDelayMs);
  }
}
