import type {Instant, RoomDemand, RunEnd} from '#model';
import {emptyDemand, type RoomSize, subtractDemand, sumDemand} from '#policy';
import type {Peer, RunEndRow, RunTicket, TargetLoad} from '#protocol';
import {isLoadNews} from './load.js';
import type {Run} from './run.js';

/** How long a dispatcher's answer permits its runs, counted from the question, in ms. */
export const permissionMs = 700;
/** A permission is asked for anew this often while runs depend on it, in ms. */
export const renewalIntervalMs = 300;

/** A question without an answer is followed by another one after this, in ms: a busy dispatcher answers later. */
const askAgainMs = 100;
/** A dispatcher without runs here hears of the target this often, and answers, so that each end knows the other alive; in ms. */
export const idleReportMs = 800;

/** A start needs this much of the permission left, in ms: time for a renewal on a busy host. */
const startMarginMs = 250;
/** Loads that have changed are told so often in all, unless ends are told with them, in ms: what a message costs both ends, times the dispatchers. */
const loadIntervalMs = 7;
/** The same while the target is nearly full, when a stale load sends runs to where they must wait. */
const tightIntervalMs = 2.5;
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
  /** When the question of the latest permission was asked. */
  private permittedFrom: ClockReading = {
    monotonic: -Infinity,
    wall: -Infinity,
  };
  /** Questions that may still be answered, and when they were asked. */
  private readonly asked = new Map<number, ClockReading>();
  private lastQuestion = 0;
  /** Set until it is told. */
  private newQuestion: number | undefined;
  private nextQuestionAt: Instant;
  private toldAt: Instant = -Infinity;
  private toldLoad: TargetLoad | undefined;

  constructor(
    readonly dispatcher: string,
    readonly life: number,
    public peer: Peer,
    now: Instant,
  ) {
    this.nextQuestionAt = now;
  }

  /** Goes on over a new connection; a question on the old one does not count any more. */
  resume(peer: Peer, now: Instant): void {
    this.peer = peer;
    this.isResumed = true;
    this.asked.clear();
    this.newQuestion = undefined;
    this.nextQuestionAt = now;
    this.toldLoad = undefined;
  }

  /** True until the permission has run out by the monotonic clock. */
  isPermitted(now: ClockReading): boolean {
    return now.monotonic < this.permittedFrom.monotonic + permissionMs;
  }

  /**
   * True when both clocks agree that the permission holds. A host that was suspended, or whose
   * time of day jumped, must ask again before it starts or prolongs anything.
   */
  isCurrent(now: ClockReading): boolean {
    const wallMs = now.wall - this.permittedFrom.wall;
    return this.isPermitted(now) && wallMs >= 0 && wallMs < permissionMs;
  }

  /** True when a run begun now will be held until the next permission is due. */
  canStart(now: ClockReading): boolean {
    const monotonic = now.monotonic + startMarginMs;
    return this.isCurrent(now) && this.isPermitted({...now, monotonic});
  }

  /** Asks the dispatcher for another permission with the next report when one is due; true when one is asked for. */
  ask(now: ClockReading): boolean {
    const isDue =
      now.monotonic >= this.nextQuestionAt ||
      (this.runs.size > 0 && this.asked.size === 0 && !this.canStart(now));
    if (!isDue) return false;
    for (const [question, {monotonic}] of this.asked) {
      if (monotonic + permissionMs <= now.monotonic)
        this.asked.delete(question);
    }
    this.newQuestion = ++this.lastQuestion;
    this.asked.set(this.newQuestion, now);
    this.nextQuestionAt = now.monotonic + askAgainMs;
    return true;
  }

  /** Takes the dispatcher's answer to a question; false for one that does not count any more. */
  grant(question: number): boolean {
    const askedAt = this.asked.get(question);
    if (askedAt === undefined) return false;
    for (const earlier of this.asked.keys()) {
      if (earlier <= question) this.asked.delete(earlier);
    }
    this.permittedFrom = askedAt;
    const intervalMs = this.runs.size > 0 ? renewalIntervalMs : idleReportMs;
    this.nextQuestionAt = askedAt.monotonic + intervalMs;
    return true;
  }

  /** Takes over a run that was accepted for the dispatcher. Its permission is then asked for as often as runs need. */
  add(run: Run): void {
    const dueAt = this.permittedFrom.monotonic + renewalIntervalMs;
    this.nextQuestionAt = Math.min(this.nextQuestionAt, dueAt);
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
   * Sends the ends that have gathered, a question, or a load that is news. Returns for how long a
   * change must wait that is not told yet, in ms.
   */
  report(
    load: TargetLoad,
    freeRoom: RoomSize,
    intervalMs: number,
    now: Instant,
  ): number | undefined {
    const {toldLoad, newQuestion} = this;
    if (this.ends.length === 0 && newQuestion === undefined) {
      if (!isLoadNews(toldLoad, load, freeRoom)) return undefined;
      const waitMs = this.toldAt + intervalMs - now;
      if (toldLoad?.open === load.open && waitMs > 0) return waitMs;
    }
    this.peer.notify('dispatcher.report', {
      ends: this.ends,
      load,
      ...(newQuestion !== undefined && {question: newQuestion}),
    });
    this.ends = [];
    this.newQuestion = undefined;
    this.toldLoad = load;
    this.toldAt = now;
    return undefined;
  }
}
