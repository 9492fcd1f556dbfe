import {type Clock, type Instant, monotonicClock} from '#model';

/** Between two looks at the event loop, in ms: what is noticed of an overload is as old as this at least. */
const lookMs = 50;
/** Weight of the latest look: a second or so counts. */
const weight = 0.08;
/** What remains of a lag at each further look: a tenth is left after a quarter of a second. */
const recentShare = 0.6;
/** Longer delays count as this long in the mean, in ms: a host that stood still is no overload. */
const maxCountedMs = 200;
/** A process whose timers are this late on the mean cannot keep up, in ms: a tenth of it is usual under load. */
const overloadMs = 60;

/** How late the event loop was since the last summary, in ms. */
export interface LagSummary {
  readonly meanMs: number;
  readonly maxMs: number;
}

/**
 * Watches how late this process's timers are: a host that has turned slow, or more work than it can
 * do. What arrives waits about as long before it is read.
 */
export class LoopLag implements Disposable {
  private meanMs = 0;
  private recentMs = 0;
  private dueAt: Instant;
  private maxMs = 0;
  private timer: NodeJS.Timeout;

  constructor(private readonly clock: Clock = monotonicClock) {
    this.dueAt = clock.now() + lookMs;
    this.timer = setTimeout(() => this.look(), lookMs);
  }

  /** True while the process cannot keep up. */
  get isOverloaded(): boolean {
    return this.meanMs > overloadMs;
  }

  /** How late the loop is: at the latest looks, or since a look is due that has not come. */
  get currentMs(): number {
    return Math.max(this.recentMs, this.clock.now() - this.dueAt);
  }

  /** Tells how late the loop was on the mean of the last second or so, and at the most since the last summary. */
  summarize(): LagSummary {
    const summary = {meanMs: this.meanMs, maxMs: this.maxMs};
    this.maxMs = 0;
    return summary;
  }

  [Symbol.dispose](): void {
    clearTimeout(this.timer);
  }

  /** Notes how late the loop is now, and when the next look is due. */
  look(): void {
    const now = this.clock.now();
    const lagMs = Math.max(0, now - this.dueAt);
    this.maxMs = Math.max(this.maxMs, lagMs);
    this.recentMs = Math.max(lagMs, this.recentMs * recentShare);
    this.meanMs += weight * (Math.min(lagMs, maxCountedMs) - this.meanMs);
    this.dueAt = now + lookMs;
    clearTimeout(this.timer);
    this.timer = setTimeout(() => this.look(), lookMs);
  }
}
