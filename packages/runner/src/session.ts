import type {Instant, ResourceRequest, RunEnd} from '#model';
import {
  emptyDemand,
  type RunCapacity,
  subtractDemand,
  sumDemand,
} from '#policy';
import type {
  ExecutorDescription,
  Peer,
  RunEndRow,
  RunTicket,
  TargetLoad,
  WithdrawRunsParams,
} from '#protocol';
import {shouldReportLoad} from './load.js';
import type {Run} from './run.js';

/** How long a dispatcher's answer permits its runs, counted from the request, in ms. */
export const permissionTtlMs = 700;
/** How often a permission is renewed while runs depend on it, in ms. */
export const renewalIntervalMs = 300;

/** Delay before an unanswered permission request is followed by another, in ms. The earlier one stays valid, as a busy dispatcher may answer late. */
const permissionRetryMs = 100;
/** How often a permission is renewed for a dispatcher without runs here, in ms: the exchange serves both ends as a heartbeat. */
export const idleReportIntervalMs = 800;

/** A run is started only if the permission remains valid for this long, in ms: a renewal on a busy host may take that long. */
const minStartPermissionMs = 250;
/** Minimum interval between load reports over all dispatchers, in ms: bounds the cost of messages at both ends. Loads sent along with ends or permission requests do not count. */
const loadIntervalMs = 7;
/** The same while the target is nearly full, when an outdated load leads to runs being placed where they must wait. */
const nearFullIntervalMs = 2.5;
/** Ends kept for a dispatcher that may have missed the report of them. */
const maxRecentEnds = 512;

/** A reading of both clocks: the monotonic one stops while the host is suspended, the other may jump. */
export interface ClockReading {
  readonly monotonic: Instant;
  /** Ms since 1970. */
  readonly wall: number;
}

/**
 * Chooses the minimum interval between load reports to one of the given number of dispatchers, in ms.
 * It grows with their number: for 64 targets with 11 dispatchers, load reports to each dispatcher every
 * 20 ms took more processor time than the tasks' own messages.
 */
export function chooseLoadInterval(
  isNearlyFull: boolean,
  dispatchers: number,
): number {
  return dispatchers * (isNearlyFull ? nearFullIntervalMs : loadIntervalMs);
}

/** The state of a target that a session may have to report. */
export interface TargetStatus {
  readonly load: TargetLoad;
  readonly free: RunCapacity;
  /** Undefined before the executor has announced itself. */
  readonly executor: ExecutorDescription | undefined;
}

/** One process of a dispatcher. */
export interface DispatcherProcess {
  readonly dispatcher: string;
  readonly life: number;
}

export function isSameProcess(
  one: DispatcherProcess,
  other: DispatcherProcess,
): boolean {
  return one.dispatcher === other.dispatcher && one.life === other.life;
}

/** The runs here of one process of a dispatcher, and its permission to run them. */
export class Session {
  readonly runs = new Map<RunTicket, Run>();
  /** The total demand of its runs, including waiting ones. */
  demand: ResourceRequest = emptyDemand;
  /** Ends not yet reported. */
  private ends: RunEndRow[] = [];
  /** The latest ends by ticket, reported or not. */
  private readonly recentEnds = new Map<RunTicket, RunEndRow>();
  private isResumed = false;
  /** When the latest granted permission was requested. */
  private permittedSince: ClockReading = {
    monotonic: -Infinity,
    wall: -Infinity,
  };
  /** Permission requests that may still be answered, by number, and when they were made. */
  private readonly asked = new Map<number, ClockReading>();
  private lastQuestion = 0;
  /** The number of a permission request that is due with the next report. */
  private unsentQuestion: number | undefined;
  private nextQuestionAt: Instant;
  private reportedAt: Instant = -Infinity;
  private reportedLoad: TargetLoad | undefined;
  private reportedExecutor: ExecutorDescription | undefined;

  constructor(
    readonly dispatcher: string,
    readonly life: number,
    public peer: Peer,
    now: Instant,
  ) {
    this.nextQuestionAt = now;
  }

  /** Records what the dispatcher was told of the executor when it attached. */
  noteDescription(executor: ExecutorDescription): void {
    this.reportedExecutor = executor;
  }

  /** Continues over a new connection; permission requests on the old one become invalid. */
  resume(peer: Peer, now: Instant): void {
    this.peer = peer;
    this.isResumed = true;
    this.asked.clear();
    this.unsentQuestion = undefined;
    this.nextQuestionAt = now;
    this.reportedLoad = undefined;
  }

  /** True until the permission expires by the monotonic clock. */
  isPermitted(now: ClockReading): boolean {
    return now.monotonic < this.permittedSince.monotonic + permissionTtlMs;
  }

  /**
   * True when the permission is valid by both clocks. After the host was suspended, or its wall clock
   * jumped, a new permission is needed before runs are started or leases extended.
   */
  isCurrent(now: ClockReading): boolean {
    const wallMs = now.wall - this.permittedSince.wall;
    return this.isPermitted(now) && wallMs >= 0 && wallMs < permissionTtlMs;
  }

  /** True when the permission is valid and lasts long enough to be renewed after starting a run. */
  canStart(now: ClockReading): boolean {
    const monotonic = now.monotonic + minStartPermissionMs;
    return this.isCurrent(now) && this.isPermitted({...now, monotonic});
  }

  /** Adds a permission request to the next report when one is due; true when it did. */
  requestPermission(now: ClockReading): boolean {
    const isDue =
      now.monotonic >= this.nextQuestionAt ||
      (this.runs.size > 0 && this.asked.size === 0 && !this.canStart(now));
    if (!isDue) return false;
    for (const [question, {monotonic}] of this.asked) {
      if (monotonic + permissionTtlMs <= now.monotonic)
        this.asked.delete(question);
    }
    this.unsentQuestion = ++this.lastQuestion;
    this.asked.set(this.unsentQuestion, now);
    this.nextQuestionAt = now.monotonic + permissionRetryMs;
    return true;
  }

  /** Handles the dispatcher's answer to a permission request; false when the request is no longer valid. */
  grant(question: number): boolean {
    const askedAt = this.asked.get(question);
    if (askedAt === undefined) return false;
    for (const earlier of this.asked.keys()) {
      if (earlier <= question) this.asked.delete(earlier);
    }
    this.permittedSince = askedAt;
    const intervalMs =
      this.runs.size > 0 ? renewalIntervalMs : idleReportIntervalMs;
    this.nextQuestionAt = askedAt.monotonic + intervalMs;
    return true;
  }

  /** Adds a run that was accepted for the dispatcher; from then on the permission is renewed at the interval for runs. */
  add(run: Run): void {
    const dueAt = this.permittedSince.monotonic + renewalIntervalMs;
    this.nextQuestionAt = Math.min(this.nextQuestionAt, dueAt);
    this.runs.set(run.ticket, run);
    this.demand = sumDemand(this.demand, run.demand);
  }

  /** Removes a run that has ended. */
  remove(run: Run): void {
    this.runs.delete(run.ticket);
    this.demand = subtractDemand(this.demand, run.demand);
  }

  /** True while some of its runs are, or may be, at the executor. */
  get hasSentRuns(): boolean {
    for (const {phase} of this.runs.values()) {
      if (phase.kind !== 'waiting') return true;
    }
    return false;
  }

  /** Lists the runs that the executor was told to start and not yet to stop. */
  listStarted(): readonly Run[] {
    return [...this.runs.values()].filter(
      ({phase}) => phase.kind === 'starting' || phase.kind === 'running',
    );
  }

  /** Lists the runs that the dispatcher withdraws; a run that it wants ended only if it waits is left out once it has begun. */
  listWithdrawn({tickets, waitingOnly}: WithdrawRunsParams): readonly Run[] {
    return tickets
      .map(ticket => this.runs.get(ticket))
      .filter(run => run !== undefined)
      .filter(({phase}) => !waitingOnly || phase.kind === 'waiting');
  }

  /** Queues an end for the next report. */
  addEnd(ticket: RunTicket, end: RunEnd, runMs: number): void {
    const row: RunEndRow = [ticket, end, Math.max(0, Math.round(runMs))];
    this.ends.push(row);
    this.recentEnds.set(ticket, row);
    if (this.recentEnds.size <= maxRecentEnds) return;
    for (const oldest of this.recentEnds.keys()) {
      this.recentEnds.delete(oldest);
      return;
    }
  }

  /**
   * Lists the ends of those of the given runs that are not here. A run without a known end never
   * arrived (`not-run`), unless the session is new: then it may have run earlier and counts as `lapsed`.
   */
  listEnded(tickets: readonly RunTicket[]): readonly RunEndRow[] {
    const end = this.isResumed ? 'not-run' : 'lapsed';
    return tickets
      .filter(ticket => !this.runs.has(ticket))
      .map(ticket => this.recentEnds.get(ticket) ?? [ticket, end, 0]);
  }

  /**
   * Sends a report if there are ends, a permission request, another executor or a notable change of the load. Returns
   * the time until a delayed change of the load may be reported, in ms; undefined when none is.
   */
  report(
    {load, free, executor}: TargetStatus,
    intervalMs: number,
    now: Instant,
  ): number | undefined {
    const {reportedLoad, unsentQuestion} = this;
    const isExecutorChanged = executor !== this.reportedExecutor;
    if (
      this.ends.length === 0 &&
      unsentQuestion === undefined &&
      !isExecutorChanged
    ) {
      if (!shouldReportLoad(reportedLoad, load, free)) return undefined;
      const waitMs = this.reportedAt + intervalMs - now;
      if (reportedLoad?.open === load.open && waitMs > 0) return waitMs;
    }
    this.peer.notify('dispatcher.report', {
      ends: this.ends,
      load,
      ...(isExecutorChanged && {executor}),
      ...(unsentQuestion !== undefined && {question: unsentQuestion}),
    });
    this.ends = [];
    this.unsentQuestion = undefined;
    this.reportedLoad = load;
    this.reportedExecutor = executor;
    this.reportedAt = now;
    return undefined;
  }
}
