import PQueue from 'p-queue';
import type {Clock, RunRef} from '#model';
import type {ExecutorPort, StartOutcome} from './executor.js';
import {executorLeaseMs} from './lease.js';
import {formatRun, type Run} from './run.js';
import type {Logger} from '#telemetry';

export interface ExecutorRequestsOptions {
  readonly port: ExecutorPort;
  readonly clock: Clock;
  readonly log: Logger;
  /** The first fence; the executor refuses requests with a lower one. */
  readonly firstFence: number;
  /** True while the run may be started. */
  readonly canStart: (run: Run) => boolean;
  /** Called before a start, which extends the executor's lease, is sent. */
  readonly onStartSent: (sentAt: number) => void;
  readonly onStartOutcome: (run: Run, outcome: StartOutcome) => void;
  /** Called when the executor has answered a stop. */
  readonly onStopped: (run: Run) => void;
}

/** Limits concurrent requests, as each occupies a connection. */
const maxConcurrentRequests = 4;
/** Delay before an unanswered stop is retried, in ms: the run occupies its capacity until one is answered. */
const stopRetryMs = 30;

/** Sends starts and stops to the executor with limited concurrency. */
export class ExecutorRequests implements Disposable {
  private readonly queue = new PQueue({concurrency: maxConcurrentRequests});
  private currentFence: number;
  private closed = false;

  constructor(private readonly options: ExecutorRequestsOptions) {
    this.currentFence = options.firstFence;
  }

  get fence(): number {
    return this.currentFence;
  }

  /** Makes the executor refuse all orders sent so far, from its first request with the new fence on. */
  advanceFence(): void {
    this.currentFence++;
  }

  /** Queues the start of a run; its outcome is `late` when it may no longer start at its turn. */
  start(run: Run): void {
    void this.queue.add(() => this.sendStart(run));
  }

  /** Queues the stop of a run, which is retried until the executor answers. */
  stop(run: Run): void {
    void this.queue.add(() => this.sendStop(run));
  }

  /** Stops a run at the executor that the runner does not know, without retries. */
  stopOrphan(ref: RunRef): void {
    this.options.log.warn(
      {event: 'stray-run', run: formatRun(ref)},
      'executor has a run that the runner does not know; stopping it',
    );
    void this.queue.add(() => this.options.port.stopRun(ref, this.fence));
  }

  /** Drops queued requests and stops retrying. */
  [Symbol.dispose](): void {
    this.closed = true;
    this.queue.clear();
  }

  private async sendStart(run: Run): Promise<void> {
    const {canStart, clock, onStartSent, onStartOutcome, port} = this.options;
    if (run.phase.kind !== 'starting') return;
    if (!canStart(run)) {
      onStartOutcome(run, {kind: 'refused', reason: 'late'});
      return;
    }
    const sentAt = clock.now();
    run.phase = {kind: 'starting', sentAt};
    onStartSent(sentAt);
    const {fence} = this;
    const outcome = await port.startRun({
      ref: run.ref,
      payload: run.payload,
      fence,
      leaseMs: executorLeaseMs,
    });
    const isFenced = outcome.kind === 'refused' && outcome.reason === 'fenced';
    // A start from before the fence was raised says nothing about the present one.
    if (isFenced && fence === this.fence) {
      this.currentFence = Math.max(this.fence + 1, Math.floor(Date.now()));
    }
    onStartOutcome(run, outcome);
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
