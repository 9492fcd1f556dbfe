import type {Clock, Instant} from '#model';
import type {Either} from 'purify-ts';
import type {ExecutorPort, ExecutorReport} from './executor.js';

/** How long the executor keeps its runs without a renewal, in ms: three renewals may go unanswered. */
export const executorLeaseMs = 800;
/** An executor's clock may run this much slower than the runner's. */
const maxClockDrift = 0.03;
/** The answer to a renewal waits this long for an end, in ms: a fifth of the lease. */
const waitMs = 150;
/** The same after a renewal that was not answered: while one is awaited, no end is heard of. */
const doubtfulWaitMs = 30;
/** For this long after a renewal without an answer others may be lost too, in ms. */
const doubtMs = 5000;
/** An executor that has been silent for this long gets no new runs and no longer leases, in ms. */
const trustMs = 400;
/** Before another renewal after one that was not answered, in ms. */
const retryPauseMs = 10;

export interface LeaseOwner {
  readonly clock: Clock;
  readonly port: ExecutorPort;
  readonly getFence: () => number;
  /** Up to which end a renewal acknowledges. */
  readonly getAcknowledged: () => number;
  /** Up to which end renewals have acknowledged in this life of the executor. */
  readonly getAnnounced: () => number;
  /** True while there is something to hold or to hear of. */
  readonly isNeeded: () => boolean;
  /** False while an answer is awaited before anything else may happen. */
  readonly isSettled: () => boolean;
  /** True when the runs may be held for longer. */
  readonly canProlong: () => boolean;
  /** Takes a report; `askedAt` is when the question left. */
  readonly receive: (report: ExecutorReport, askedAt: Instant) => void;
  /** Everything at the executor has surely lapsed. */
  readonly lapse: (detail: string) => void;
}

/** Keeps the executor's lease and listens for ends, one question at a time. */
export class LeaseLoop implements AsyncDisposable {
  private expiresAt: Instant = 0;
  private silentSince: Instant | undefined;
  private doubtfulUntil: Instant = -Infinity;
  private wake: () => void = () => {};
  private stopped = false;
  private readonly loop: Promise<void>;

  constructor(private readonly owner: LeaseOwner) {
    this.loop = this.run();
  }

  /** Notes that an order with a lease was sent: the executor may keep its runs until then. */
  noteOrder(sentAt: Instant): void {
    const latest = sentAt + executorLeaseMs * (1 + maxClockDrift);
    this.expiresAt = Math.max(this.expiresAt, latest);
  }

  /** True while the executor answers. */
  get isAnswered(): boolean {
    return this.silentSince === undefined;
  }

  /** True while the executor answers, or has failed to for a moment only. */
  get isTrusted(): boolean {
    const {silentSince} = this;
    if (silentSince === undefined) return true;
    return this.owner.clock.now() - silentSince < trustMs;
  }

  /** When everything that was sent has lapsed, unless more is sent. */
  get expiry(): Instant {
    return this.expiresAt;
  }

  /** Looks again whether the loop is needed. */
  wakeUp(): void {
    this.wake();
  }

  /** Asks for the lists at once: a renewal under way may wait long for an end. */
  async look(): Promise<void> {
    const askedAt = this.owner.clock.now();
    const answer = await this.owner.port.renewLease({
      fence: this.owner.getFence(),
      acknowledged: this.owner.getAnnounced(),
      waitMs: 0,
    });
    answer.ifRight(report => this.owner.receive(report, askedAt));
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
      const prolongs = this.isTrusted && this.owner.canProlong();
      if (prolongs) this.noteOrder(askedAt);
      const answer = await this.owner.port.renewLease({
        fence: this.owner.getFence(),
        ...(prolongs && {leaseMs: executorLeaseMs}),
        acknowledged: this.owner.getAcknowledged(),
        waitMs: this.chooseWait(askedAt),
      });
      if (this.stopped) return;
      await this.judge(answer, askedAt);
    }
  }

  /**
   * Chooses for how long the answer may wait for an end, in ms. Load pattern: an executor that leaves
   * one question in twenty unanswered; with long waits its ends were not heard of for a third of the
   * time, and its room stood empty.
   */
  private chooseWait(now: Instant): number {
    if (!this.isAnswered || !this.owner.isSettled()) return 0;
    return now < this.doubtfulUntil ? doubtfulWaitMs : waitMs;
  }

  private async judge(
    answer: Either<string, ExecutorReport>,
    askedAt: Instant,
  ): Promise<void> {
    const report = answer.extract();
    if (typeof report !== 'string') {
      this.silentSince = undefined;
      this.owner.receive(report, askedAt);
      return;
    }
    const now = this.owner.clock.now();
    this.silentSince ??= askedAt;
    this.doubtfulUntil = now + doubtMs;
    if (now >= this.expiresAt) this.owner.lapse(report);
    await this.pause(retryPauseMs);
  }

  /** Waits for a nudge, or for this long. */
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
