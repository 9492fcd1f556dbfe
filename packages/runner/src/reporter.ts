import type {ExecutorDescription, TargetLoad} from '#protocol';
import type {FreeCapacity} from './load.js';
import type {Session} from './session.js';
import type {SessionTable} from './session-table.js';

export interface ReporterOptions {
  readonly sessions: SessionTable;
  /** Describes the target's load for a session's dispatcher. */
  readonly describeLoad: (session: Session) => TargetLoad;
  readonly getDescription: () => ExecutorDescription | undefined;
  readonly computeFree: () => FreeCapacity;
}

/** Delay for batching reports, in ms: the outcomes in one answer of the executor are sent together. */
const batchDelayMs = 2;

/** Reports ends of runs and changed loads to dispatchers, in batches. */
export class Reporter implements Disposable {
  private batchTimer: NodeJS.Timeout | undefined;
  /** Set while a changed load is delayed by the rate limit. */
  private throttleTimer: NodeJS.Timeout | undefined;

  constructor(private readonly options: ReporterOptions) {}

  /** Schedules a report, as ends or the load may have changed. */
  schedule(): void {
    this.batchTimer ??= setTimeout(() => this.report(), batchDelayMs);
  }

  /** Sends the pending reports at once. */
  report(): void {
    this[Symbol.dispose]();
    this.batchTimer = undefined;
    const {sessions, describeLoad, getDescription, computeFree} = this.options;
    const waitMs = sessions.report(
      describeLoad,
      computeFree(),
      getDescription(),
    );
    if (waitMs === undefined) return;
    this.throttleTimer = setTimeout(() => this.report(), waitMs);
  }

  [Symbol.dispose](): void {
    clearTimeout(this.batchTimer);
    clearTimeout(this.throttleTimer);
  }
}
