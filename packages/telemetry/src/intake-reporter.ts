import type {Door, Intake, RefusalCause} from '#intake';
import type {Logger} from './log.js';
import type {Metrics} from './metrics.js';

/** Interval between log lines about refused clients, in ms. */
const reportIntervalMs = 5000;

/** Counts the clients that were refused or cut off, and logs them in one line an interval. */
export class IntakeReporter implements Disposable {
  private readonly counts = new Map<string, number>();
  private readonly timer: NodeJS.Timeout;
  private intake: Intake | undefined;

  constructor(
    private readonly log: Logger,
    private readonly metrics: Metrics,
  ) {
    this.timer = setInterval(() => this.report(), reportIntervalMs).unref();
  }

  readonly record = ({name: door}: Door, cause: RefusalCause): void => {
    this.metrics.increment('intake.refused', 1, {door, cause});
    const key = `${door}: ${cause}`;
    this.counts.set(key, (this.counts.get(key) ?? 0) + 1);
  };

  /** Includes what an intake holds in the reports. */
  watch(intake: Intake): void {
    this.intake = intake;
  }

  /** Sets the gauges, and logs the counts since the last report if there are any. */
  report(): void {
    const held = this.intake?.describe() ?? {};
    for (const [name, value] of Object.entries(held))
      this.metrics.gauge(`intake.${name}`, value);
    if (this.counts.size === 0) return;
    const refused = Object.fromEntries(this.counts);
    this.counts.clear();
    this.log.warn(
      {event: 'intake-refused', refused, ...held},
      'refused clients or closed their connections',
    );
  }

  [Symbol.dispose](): void {
    clearInterval(this.timer);
  }
}
