import type {Clock, Instant} from '#model';
import type {Either} from 'purify-ts';
import type {ExecutorPort, ExecutorReport} from './executor.js';

/** How long the executor keeps its runs without a renewal, in ms: tolerates three unanswered renewals. */
export const executorLeaseMs = 800;
/** The share by which an executor's clock may run slower than the runner's. */
const maxClockDrift = 0.03;
/** How long the answer to a renewal may be delayed until a run ends, in ms: a fifth of the lease. */
const maxWaitMs = 150;
/** The same for some time after an unanswered renewal: no outcome is received while the runner waits for an answer that was lost. */
const cautiousWaitMs = 30;
/** How long after an unanswered renewal further answers are likely to be lost, in ms. */
const cautionPeriodMs = 5000;
/** An executor that has not answered for this long gets no new runs and no lease extension, in ms. */
const maxSilenceMs = 400;
/** Delay before the next renewal after one that was unanswered or shows runs that the runner does not know, in ms. */
const retryPauseMs = 10;

export interface LeaseOwner {
  readonly clock: Clock;
  readonly port: ExecutorPort;
  readonly getFence: () => number;
  /** The number up to which a renewal acknowledges outcomes. */
  readonly getAcknowledged: () => number;
  /** The highest acknowledgement sent with a renewal in this incarnation of the executor. */
  readonly getSentAcknowledgement: () => number;
  /** True while a lease must be kept or a report is expected. */
  readonly isNeeded: () => boolean;
  /** False while the executor may have runs that the runner does not know; answers are not delayed then. */
  readonly isAdopted: () => boolean;
  /** True when the lease of the runs may be extended. */
  readonly canExtend: () => boolean;
  /** Receives a report; `askedAt` is when the request was sent. */
  readonly onReport: (report: ExecutorReport, askedAt: Instant) => void;
  /** Called when the lease has expired, so that all runs at the executor have certainly lapsed. */
  readonly onLapsed: (detail: string) => void;
}

/** Renews the executor's lease and collects its reports by long polling, one request at a time. */
export class LeaseLoop implements AsyncDisposable {
  private expiresAt: Instant;
  private silentSince: Instant | undefined;
  private cautiousUntil: Instant = -Infinity;
  private wake: () => void = () => {};
  private stopped = false;
  private readonly loop: Promise<void>;

  constructor(private readonly owner: LeaseOwner) {
    // An earlier process may have extended the lease just before this one started.
    this.expiresAt = computeLatestExpiry(owner.clock.now());
    this.loop = this.run();
  }

  /** Notes that a request with a lease was sent, which may extend the time that the executor keeps its runs. */
  noteLease(sentAt: Instant): void {
    this.expiresAt = Math.max(this.expiresAt, computeLatestExpiry(sentAt));
  }

  /** True unless the last renewal was unanswered. */
  get isAnswered(): boolean {
    return this.silentSince === undefined;
  }

  /** True unless the executor has not answered for `maxSilenceMs`. */
  get isResponsive(): boolean {
    const {silentSince} = this;
    if (silentSince === undefined) return true;
    return this.owner.clock.now() - silentSince < maxSilenceMs;
  }

  /** When the lease expires by the slowest permitted executor clock, unless it is extended. */
  get expiry(): Instant {
    return this.expiresAt;
  }

  /** True once the lease has expired, so that the executor has no runs. */
  get isExpired(): boolean {
    return this.owner.clock.now() > this.expiresAt;
  }

  /** Makes the loop check again whether it is needed. */
  wakeUp(): void {
    this.wake();
  }

  /** Fetches a report at once, as the answer to a pending renewal may be delayed until a run ends. */
  async fetchReport(): Promise<void> {
    const askedAt = this.owner.clock.now();
    const answer = await this.owner.port.renewLease({
      fence: this.owner.getFence(),
      acknowledged: this.owner.getSentAcknowledgement(),
      waitMs: 0,
    });
    answer.ifRight(report => this.owner.onReport(report, askedAt));
    this.wake();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stopped = true;
    this.wake();
    await this.loop;
  }

  private async run(): Promise<void> {
    while (!this.stopped) {
      if (!this.owner.isNeeded()) {
        await this.pause(undefined);
        continue;
      }
      const askedAt = this.owner.clock.now();
      const extendsLease = this.isResponsive && this.owner.canExtend();
      if (extendsLease) this.noteLease(askedAt);
      const answer = await this.owner.port.renewLease({
        fence: this.owner.getFence(),
        ...(extendsLease && {leaseMs: executorLeaseMs}),
        acknowledged: this.owner.getAcknowledged(),
        waitMs: this.chooseWait(askedAt),
      });
      if (this.stopped) return;
      await this.handleAnswer(answer, askedAt);
    }
  }

  /**
   * Chooses how long the answer may be delayed until a run ends, in ms. It is shorter for a
   * while after an unanswered request: when an executor left one request in twenty unanswered and waits
   * were long, no outcome was received for a third of the time, so the capacity of ended runs stayed idle.
   */
  private chooseWait(now: Instant): number {
    if (!this.isAnswered || !this.owner.isAdopted()) return 0;
    return now < this.cautiousUntil ? cautiousWaitMs : maxWaitMs;
  }

  private async handleAnswer(
    answer: Either<string, ExecutorReport>,
    askedAt: Instant,
  ): Promise<void> {
    const report = answer.extract();
    if (typeof report !== 'string') {
      this.silentSince = undefined;
      this.owner.onReport(report, askedAt);
      // Answers are not delayed then, so that nothing else keeps requests apart.
      if (!this.owner.isAdopted()) await this.pause(retryPauseMs);
      return;
    }
    const now = this.owner.clock.now();
    this.silentSince ??= askedAt;
    this.cautiousUntil = now + cautionPeriodMs;
    if (now >= this.expiresAt) this.owner.onLapsed(report);
    await this.pause(retryPauseMs);
  }

  /** Waits for `wakeUp`, or at most this long when `ms` is set. */
  private pause(ms: number | undefined): Promise<void> {
    return new Promise(resolve => {
      const timer = ms === undefined ? undefined : setTimeout(resolve, ms);
      this.wake = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }
}

/** Computes when a lease that was sent at an instant expires by the slowest permitted executor clock. */
function computeLatestExpiry(sentAt: Instant): Instant {
  return sentAt + executorLeaseMs * (1 + maxClockDrift);
}
