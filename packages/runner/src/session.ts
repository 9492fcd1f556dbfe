import type {Instant, RoomDemand, RunEnd} from '#model';
import {emptyDemand, subtractDemand, sumDemand} from '#policy';
import type {Peer, RunEndRow, RunTicket, TargetLoad} from '#protocol';
import type {Run} from './run.js';

/** How long a dispatcher's answer permits its runs, counted from the question, in ms. */
export const permissionMs = 700;
/** A permission is asked for anew this often while runs depend on it, in ms. */
export const renewalIntervalMs = 300;

/** A start needs this much of the permission left, in ms: time for a renewal on a busy host. */
const startMarginMs = 250;
/** Loads that have changed are told so often in all, unless ends are told with them, in ms: what a message costs both ends, times the dispatchers. */
const loadIntervalMs = 7;
/** The same while the target is nearly full, when a stale load sends runs to where they must wait. */
const tightIntervalMs = 2.5;
/** A speed that has changed by this share is told, even when the load has not changed. */
const notableSpeedChange = 0.25;
const notableFailingChange = 0.1;
/** Ends kept for a dispatcher that may have missed their report. */
const maxRecentEnds = 512;

/** A process's two clocks: one stands still while the host is suspended, the other may jump. */
export interface ClockReading {
  readonly monotonic: Instant;
  /** Ms since 1970. */
  readonly wall: number;
}

/**
 * Chooses how often a changed load is told to each of so many dispatchers, in ms. Load pattern: 64
 * targets with 11 dispatchers, where loads told every 20 ms to each took more processor time than the
 * tasks' own messages.
 */
export function chooseLoadInterval(
  isTight: boolean,
  dispatchers: number,
): number {
  return dispatchers * (isTight ? tightIntervalMs : loadIntervalMs);
}

/** One dispatcher's runs here, and how long they are permitted. */
export class Session {
  readonly runs = new Map<RunTicket, Run>();
  /** What its runs hold or wait for. */
  demand: RoomDemand = emptyDemand;
  private ends: RunEndRow[] = [];
  /** The latest ends, told or not, by ticket. */
  private readonly recent = new Map<RunTicket, RunEndRow>();
  private isResumed = false;
  private renewing = false;
  private askedAt: ClockReading = {monotonic: -Infinity, wall: -Infinity};
  private nextRenewal: Instant;
  private toldAt: Instant = -Infinity;
  private toldLoad: TargetLoad | undefined;

  constructor(
    readonly dispatcher: string,
    readonly life: number,
    public peer: Peer,
    now: Instant,
  ) {
    this.nextRenewal = now;
  }

  /** Goes on over a new connection; a question on the old one does not count any more. */
  resume(peer: Peer, now: Instant): void {
    this.peer = peer;
    this.isResumed = true;
    this.renewing = false;
    this.nextRenewal = now;
    this.toldLoad = undefined;
  }

  /** True until the permission has run out by the monotonic clock. */
  isPermitted(now: ClockReading): boolean {
    return now.monotonic < this.askedAt.monotonic + permissionMs;
  }

  /**
   * True when both clocks agree that the permission holds. A host that was suspended, or whose
   * time of day jumped, must ask again before it starts or prolongs anything.
   */
  isCurrent(now: ClockReading): boolean {
    const wallMs = now.wall - this.askedAt.wall;
    return this.isPermitted(now) && wallMs >= 0 && wallMs < permissionMs;
  }

  /** True when a run begun now will be held until the next permission is due. */
  canStart(now: ClockReading): boolean {
    const monotonic = now.monotonic + startMarginMs;
    return this.isCurrent(now) && this.isPermitted({...now, monotonic});
  }

  /** Asks the dispatcher for another permission when one is due; tells when it is granted. */
  renew(now: ClockReading, onGranted: () => void): void {
    const isDue = now.monotonic >= this.nextRenewal || !this.canStart(now);
    if (this.renewing || !isDue) return;
    const {peer} = this;
    this.renewing = true;
    this.nextRenewal = now.monotonic + renewalIntervalMs;
    const deadline = now.monotonic + permissionMs;
    void peer.request('dispatcher.renew', {}, deadline).then(answer => {
      if (this.peer !== peer) return;
      this.renewing = false;
      if (answer.isLeft()) return;
      this.askedAt = now;
      onGranted();
    });
  }

  /** Takes over a run that was accepted for the dispatcher. */
  add(run: Run): void {
    this.runs.set(run.ticket, run);
    this.demand = sumDemand(this.demand, run.demand);
  }

  /** Gives up a run that is over. */
  remove(run: Run): void {
    this.runs.delete(run.ticket);
    this.demand = subtractDemand(this.demand, run.demand);
  }

  /** Notes an end to be told with the next report. */
  addEnd(ticket: RunTicket, end: RunEnd, runMs: number): void {
    const row: RunEndRow = [ticket, end, Math.max(0, Math.round(runMs))];
    this.ends.push(row);
    this.recent.set(ticket, row);
    if (this.recent.size <= maxRecentEnds) return;
    for (const oldest of this.recent.keys()) {
      this.recent.delete(oldest);
      return;
    }
  }

  /**
   * Finds how runs ended that are over. One that never came is not run, or lapsed where the runner
   * knows nothing of the time before this session.
   */
  listEnded(tickets: readonly RunTicket[]): readonly RunEndRow[] {
    const end = this.isResumed ? 'not-run' : 'lapsed';
    return tickets
      .filter(ticket => !this.runs.has(ticket))
      .map(ticket => this.recent.get(ticket) ?? [ticket, end, 0]);
  }

  /**
   * Sends the ends that have gathered, or a load that differs from the one told. Returns for how
   * long a change must wait that is not told yet, in ms.
   */
  report(
    load: TargetLoad,
    intervalMs: number,
    now: Instant,
  ): number | undefined {
    if (this.ends.length === 0) {
      if (!this.isNews(load)) return undefined;
      const waitMs = this.toldAt + intervalMs - now;
      if (this.toldLoad?.open === load.open && waitMs > 0) return waitMs;
    }
    this.peer.notify('dispatcher.report', {ends: this.ends, load});
    this.ends = [];
    this.toldLoad = load;
    this.toldAt = now;
    return undefined;
  }

  private isNews(load: TargetLoad): boolean {
    const told = this.toldLoad;
    if (told === undefined) return true;
    const speedChange = Math.abs(load.slowness - told.slowness);
    return (
      told.open !== load.open ||
      speedChange > notableSpeedChange * told.slowness ||
      Math.abs(load.failing - told.failing) > notableFailingChange ||
      told.cpuMillis !== load.cpuMillis ||
      told.memoryMb !== load.memoryMb ||
      told.accelerators !== load.accelerators
    );
  }
}
