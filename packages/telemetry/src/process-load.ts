import {type Clock, type Instant, monotonicClock} from '#model';
import type {Logger} from './log.js';
import {LoopLagMonitor} from './loop-lag.js';
import type {Metrics} from './metrics.js';

/** Interval between load reports, in ms. Each report is a log line and some gauges. */
const reportIntervalMs = 2000;
const usPerMs = 1000;

export interface ProcessLoadOptions {
  readonly log: Logger;
  readonly metrics: Metrics;
  readonly clock?: Clock;
  /** Measures event loop lag; the caller disposes of it. Defaults to a private instance. */
  readonly lag?: LoopLagMonitor;
  /** Reads the CPU time used so far, in microseconds. */
  readonly readProcessorUs?: () => number;
  /** Provides the role's own counts to include in the log line. */
  readonly describe?: () => Readonly<Record<string, number>>;
}

/** Periodically reports the CPU use and event loop lag of a process, and when an overload begins or ends. */
export class ProcessLoadReporter implements Disposable {
  readonly lag: LoopLagMonitor;
  private readonly clock: Clock;
  private readonly readProcessorUs: () => number;
  private readonly timer: NodeJS.Timeout;
  private reportedAt: Instant;
  private reportedUs: number;
  private wasOverloaded = false;

  constructor(private readonly options: ProcessLoadOptions) {
    this.clock = options.clock ?? monotonicClock;
    this.readProcessorUs = options.readProcessorUs ?? readOwnProcessorUs;
    this.lag = options.lag ?? new LoopLagMonitor(this.clock);
    this.reportedAt = this.clock.now();
    this.reportedUs = this.readProcessorUs();
    this.timer = setInterval(() => this.report(), reportIntervalMs);
    this.timer.unref();
  }

  [Symbol.dispose](): void {
    clearInterval(this.timer);
    if (this.options.lag === undefined) this.lag[Symbol.dispose]();
  }

  /** Reports the load since the last report. */
  report(): void {
    const {log, metrics, describe} = this.options;
    const now = this.clock.now();
    const usedUs = this.readProcessorUs();
    const cores =
      (usedUs - this.reportedUs) / usPerMs / Math.max(1, now - this.reportedAt);
    this.reportedAt = now;
    this.reportedUs = usedUs;
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
    log.debug({event: 'process-load', ...load}, 'process load');
    const {isOverloaded} = this.lag;
    if (isOverloaded === this.wasOverloaded) return;
    this.wasOverloaded = isOverloaded;
    if (isOverloaded) {
      log.warn({event: 'overloaded', ...load}, 'process is overloaded');
    } else {
      log.info(
        {event: 'recovered', ...load},
        'process has recovered from overload',
      );
    }
  }
}

function readOwnProcessorUs(): number {
  const {user, system} = process.cpuUsage();
  return user + system;
}
