import {monotonicClock} from '#model';

/** Between two looks at the event loop, in ms. */
const lookMs = 100;
/** Weight of the latest look: a second or so counts. */
const weight = 0.15;
/** A process whose timers are this late on the mean cannot keep up, in ms: a tenth of it is usual under load. */
const overloadMs = 60;

/** Watches how late this process's timers are: a host that has turned slow, or more work than it can do. */
export class LoopLag implements Disposable {
  private meanMs = 0;
  private lookedAt = monotonicClock.now();
  private readonly timer: NodeJS.Timeout;

  constructor() {
    this.timer = setInterval(() => this.look(), lookMs);
  }

  /** True while the process cannot keep up. */
  get isOverloaded(): boolean {
    return this.meanMs > overloadMs;
  }

  [Symbol.dispose](): void {
    clearInterval(this.timer);
  }

  private look(): void {
    const now = monotonicClock.now();
    const lagMs = Math.max(0, now - this.lookedAt - lookMs);
    this.lookedAt = now;
    this.meanMs += weight * (Math.min(lagMs, lookMs * 2) - this.meanMs);
  }
}
