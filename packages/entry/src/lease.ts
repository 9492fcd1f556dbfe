import {type Clock, computeDeadline, type Epoch, type Instant} from '#model';
import type {LeaseGrant, Renewal} from '#protocol';
import type {LeaseSettings} from '#settings';

/** What a lease requires of its entry: requests to control, undefined when control did not answer, and event handlers. */
export interface EntryLeaseOwner {
  readonly open: (deadline: Instant) => Promise<LeaseGrant | undefined>;
  readonly renew: (
    epoch: Epoch,
    deadline: Instant,
  ) => Promise<Renewal | undefined>;
  readonly close: (epoch: Epoch, deadline: Instant) => Promise<void>;
  readonly onOpened: (epoch: Epoch) => void;
  readonly onEnded: (epoch: Epoch) => void;
}

/**
 * The entry's epoch and its lease. The lease is timed from just before each
 * request is sent, so that it expires here before it expires at control.
 */
export class EntryLease implements AsyncDisposable {
  private current: Epoch | undefined;
  private deadline: Instant = 0;
  private stopped = false;
  private wake = () => {};
  private readonly loop: Promise<void>;

  constructor(
    private readonly owner: EntryLeaseOwner,
    private readonly settings: LeaseSettings,
    private readonly clock: Clock,
  ) {
    this.loop = this.runRenewals();
  }

  /** The current epoch, if any; its lease may have expired. */
  get epoch(): Epoch | undefined {
    return this.current;
  }

  /** The epoch under which tasks may start now, if any. */
  get startingEpoch(): Epoch | undefined {
    const limit = this.deadline - this.settings.clockMarginMs;
    return this.clock.now() < limit ? this.current : undefined;
  }

  /** Stops renewing and closes the epoch at control; nothing starts under it afterwards. */
  async [Symbol.asyncDispose](): Promise<void> {
    this.stopped = true;
    this.wake();
    await this.loop;
    const epoch = this.current;
    this.current = undefined;
    if (epoch === undefined) return;
    await this.owner.close(epoch, this.computeRequestDeadline());
  }

  private async runRenewals(): Promise<void> {
    while (!this.stopped) {
      const sentAt = this.clock.now();
      if (this.current === undefined) await this.open(sentAt);
      else await this.renew(this.current, sentAt);
      if (!this.stopped) await this.pause();
    }
  }

  private async open(sentAt: Instant): Promise<void> {
    const grant = await this.owner.open(this.computeRequestDeadline());
    if (grant === undefined) return;
    this.current = grant.epoch;
    this.deadline = computeDeadline(sentAt, grant.leaseMs);
    this.owner.onOpened(grant.epoch);
  }

  private async renew(epoch: Epoch, sentAt: Instant): Promise<void> {
    const renewal = await this.owner.renew(
      epoch,
      this.computeRequestDeadline(),
    );
    if (renewal === undefined) return;
    if (renewal.kind === 'renewed') {
      this.deadline = computeDeadline(sentAt, renewal.leaseMs);
      return;
    }
    this.current = undefined;
    this.deadline = 0;
    this.owner.onEnded(epoch);
  }

  private computeRequestDeadline(): Instant {
    return computeDeadline(this.clock.now(), this.settings.entryLeaseMs);
  }

  private pause(): Promise<void> {
    const pauseMs =
      this.current === undefined
        ? this.settings.renewalIntervalMs / 10
        : this.settings.renewalIntervalMs;
    return new Promise(resolve => {
      const timer = setTimeout(resolve, pauseMs);
      this.wake = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }
}
