import {type Clock, type Instant, monotonicClock} from '#model';

/** Interval between samples, in ms; overload is detected with at least this delay. */
const sampleIntervalMs = 50;
/** Weight of the latest sample in the moving mean, which covers about a second. */
const meanSmoothing = 0.08;
/** Decay of the recent lag per sample; about a tenth is left after 250 ms. */
const recentDecay = 0.6;
/** Cap on a sample's contribution to the mean, in ms, so that a pause of the host is not taken for overload. */
const maxCountedMs = 200;
/** Mean lag above which the process is overloaded, in ms; a tenth of this is usual under load. */
const overloadMeanMs = 60;

/** Event loop lag: the moving mean, and the maximum since the last summary. */
export interface LagSummary {
  readonly meanMs: number;
  readonly maxMs: number;
}

/**
 * Measures the event loop lag of this process by how late its timers fire. Lag indicates a slow host
 * or overload; incoming data waits for about as long before it is read.
 */
export class LoopLagMonitor implements Disposable {
  private meanMs = 0;
  private recentMs = 0;
  private dueAt: Instant;
  private maxMs = 0;
  private timer: NodeJS.Timeout;

  constructor(private readonly clock: Clock = monotonicClock) {
    this.dueAt = clock.now() + sampleIntervalMs;
    this.timer = setTimeout(() => this.sample(), sampleIntervalMs);
  }

  /** True while the mean lag is above the overload threshold. */
  get isOverloaded(): boolean {
    return this.meanMs > overloadMeanMs;
  }

  /** Current lag: the decaying peak of recent samples, or the delay of an overdue one if longer. */
  get currentMs(): number {
    return Math.max(this.recentMs, this.clock.now() - this.dueAt);
  }

  /** Returns the mean lag over about the last second and the maximum since the last summary. */
  summarize(): LagSummary {
    const summary = {meanMs: this.meanMs, maxMs: this.maxMs};
    this.maxMs = 0;
    return summary;
  }

  [Symbol.dispose](): void {
    clearTimeout(this.timer);
  }

  /** Records the current lag and schedules the next sample. */
  sample(): void {
    const now = this.clock.now();
    const lagMs = Math.max(0, now - this.dueAt);
    this.maxMs = Math.max(this.maxMs, lagMs);
    this.recentMs = Math.max(lagMs, this.recentMs * recentDecay);
    this.meanMs +=
      meanSmoothing * (Math.min(lagMs, maxCountedMs) - this.meanMs);
    this.dueAt = now + sampleIntervalMs;
    clearTimeout(this.timer);
    this.timer = setTimeout(() => this.sample(), sampleIntervalMs);
  }
}
