import PQueue from 'p-queue';
import type {Clock, RunRef} from '#model';
import type {ExecutorPort, StartOutcome} from './executor.js';
import {executorLeaseMs} from './lease.js';
import {formatRun, type Run} from './run.js';
import type {Logger} from '#telemetry';

export interface OrdersOptions {
  readonly port: ExecutorPort;
  readonly clock: Clock;
  readonly log: Logger;
  /** Orders of lower fences are refused by the executor. */
  readonly firstFence: number;
  /** True while the run is to be started. */
  readonly canStart: (run: Run) => boolean;
  /** Called before an order that prolongs the executor's lease leaves. */
  readonly onOrder: (sentAt: number) => void;
  readonly onStart: (run: Run, outcome: StartOutcome) => void;
  /** The executor has answered a stop. */
  readonly onStopped: (run: Run) => void;
}

/** Orders to the executor at a time: each holds a connection. */
const maxOrdersAtOnce = 4;
/** A stop that was not answered is repeated after this, in ms: until one is, the run holds its room. */
const stopRetryMs = 30;

/** Sends starts and stops to the executor, a few at a time. */
export class Orders implements Disposable {
  private readonly queue = new PQueue({concurrency: maxOrdersAtOnce});
  private currentFence: number;
  private closed = false;

  constructor(private readonly options: OrdersOptions) {
    this.currentFence = options.firstFence;
  }

  get fence(): number {
    return this.currentFence;
  }

  /** Starts a run, unless it may not start any more when its turn comes. */
  start(run: Run): void {
    void this.queue.add(() => this.sendStart(run));
  }

  /** Stops a run, again and again until the executor answers. */
  stop(run: Run): void {
    void this.queue.add(() => this.sendStop(run));
  }

  /** Stops what the executor runs and nobody here knows, once. */
  stopStray(ref: RunRef): void {
    this.options.log.warn(
      {event: 'stray-run', run: formatRun(ref)},
      'the executor runs what is not known here; it is stopped',
    );
    void this.queue.add(() => this.options.port.stopRun(ref, this.fence));
  }

  /** Sends no further orders. */
  [Symbol.dispose](): void {
    this.closed = true;
    this.queue.clear();
  }

  private async sendStart(run: Run): Promise<void> {
    const {canStart, clock, onOrder, onStart, port} = this.options;
    if (run.phase.kind !== 'starting') return;
    if (!canStart(run)) {
      onStart(run, {kind: 'refused', reason: 'late'});
      return;
    }
    const sentAt = clock.now();
    run.phase = {kind: 'starting', sentAt};
    onOrder(sentAt);
    const outcome = await port.startRun({
      ref: run.ref,
      payload: run.payload,
      fence: this.fence,
      leaseMs: executorLeaseMs,
    });
    if (outcome.kind === 'refused' && outcome.reason === 'fenced') {
      this.currentFence = Math.max(this.fence + 1, Math.floor(Date.now()));
    }
    onStart(run, outcome);
  }

  private async sendStop(run: Run): Promise<void> {
    while (!this.closed && isUnstopped(run)) {
      const answer = await this.options.port.stopRun(run.ref, this.fence);
      if (run.phase.kind !== 'stopping') return;
      if (answer.isRight()) {
        run.phase = {...run.phase, stoppedAt: this.options.clock.now()};
        this.options.onStopped(run);
        return;
      }
      await new Promise(resolve => setTimeout(resolve, stopRetryMs));
    }
  }
}

function isUnstopped({phase}: Run): boolean {
  return phase.kind === 'stopping' && phase.stoppedAt === undefined;
}
