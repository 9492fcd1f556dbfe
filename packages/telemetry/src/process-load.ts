import {type Clock, type Instant, monotonicClock} from '#model';
import type {Logger} from './log.js';
import {LoopLag} from './loop-lag.js';
import type {Metrics} from './metrics.js';

/** Between two reports of a process's load, in ms: a line and some gauges each. */
const reportIntervalMs = 2000;
const usPerMs = 1000;

export interface ProcessLoadOptions {
  readonly log: Logger;
  readonly metrics: Metrics;
  readonly clock?: Clock;
  /** Watches the event loop; its owner disposes of it. One of its own where it is not given. */
  readonly lag?: LoopLag;
  /** Reads the processor time used so far, in microseconds. */
  readonly readProcessorUs?: () => number;
  /** Counts of the role that belong beside its load. */
  readonly describe?: () => Readonly<Record<string, number>>;
}

/** Tells what a process uses of its processor and how late its event loop is, and when it cannot keep up. */
export class ProcessLoad implements Disposable {
  readonly lag: LoopLag;
  private readonly clock: Clock;
  private readonly readProcessorUs: () => number;
  private readonly timer: NodeJS.Timeout;
  private reportedAt: Instant;
  private usedUs: number;
  private wasOverloaded = false;

  constructor(private readonly options: ProcessLoadOptions) {
    this.clock = options.clock ?? monotonicClock;
    this.readProcessorUs = options.readProcessorUs ?? readOwnProcessorUs;
    this.lag = options.lag ?? new LoopLag(this.clock);
    this.reportedAt = this.clock.now();
    this.usedUs = this.readProcessorUs();
    this.timer = setInterval(() => this.report(), reportIntervalMs);
    this.timer.unref();
  }

  [Symbol.dispose](): void {
    clearInterval(this.timer);
    if (this.options.lag === undefined) this.lag[Symbol.dispose]();
  }

  /** Writes what has happened since the last report. */
  report(): void {
    const {log, metrics, describe} = this.options;
    const now = this.clock.now();
    const usedUs = this.readProcessorUs();
    const cores =
      (usedUs - this.usedUs) / usPerMs / Math.max(1, now - this.reportedAt);
    this.reportedAt = now;
    this.usedUs = usedUs;
    const {meanMs, maxMs} = this.lag.summarize();
    metrics.gauge('process.cores', cores);
    metrics.gauge('process.loop_lag.mean_ms', meanMs);
    metrics.gauge('process.loop_lag.max_ms', maxMs);
    const load = {
      cores: Number(cores.toFixed(3)),
      loopLagMs: Math.round(meanMs),
      maxLoopLagMs: Math.round(maxMs),
      ...describe?.(),
    };
    log.debug({event: 'process-load', ...load}, 'the load of this process');
    const {isOverloaded} = this.lag;
    if (isOverloaded === this.wasOverloaded) return;
    this.wasOverloaded = isOverloaded;
    if (isOverloaded) {
      log.warn({event: 'overloaded', ...load}, 'this process cannot keep up');
    } else {
      log.info({event: 'recovered', ...load}, 'this process keeps up again');
    }
  }
}

function readOwnProcessorUs(): number {
  const {user, system} = process.cpuUsage();
  return user + system;
}
