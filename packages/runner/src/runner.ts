import {
  type Clock,
  failUnreachable,
  type Instant,
  monotonicClock,
  type RunEnd,
} from '#model';
import {canQueueAhead, shouldDisplace} from '#policy';
import type {
  AttachRunnerParams,
  AttachRunnerResult,
  Handlers,
  Peer,
  RunBatch,
  TargetLoad,
  WithdrawRunsParams,
} from '#protocol';
import {Acknowledgements} from './acknowledgements.js';
import {Backlog} from './backlog.js';
import {JobClearance} from './job-clearance.js';
import type {ExecutorInfo, ExecutorReport, StartOutcome} from './executor.js';
import {ExecutorIdentity} from './executor-identity.js';
import {
  logAdoption,
  logAttachment,
  logEvacuation,
  logStartFailure,
  logLeaseExpiry,
  logIncarnation,
  logReplacement,
  logDispatcherTimeout,
  logStall,
  logStart,
  measureRunEnd,
} from './events.js';
import {StartGate} from './start-gate.js';
import {LeaseLoop} from './lease.js';
import {computeFreeCapacity, describeLoad} from './load.js';
import {ExecutorRequests} from './executor-requests.js';
import {compareReport} from './reconcile.js';
import {Reporter} from './reporter.js';
import {canRunOn, confirmStart, openRuns, type Run} from './run.js';
import {RunTable} from './run-table.js';
import type {RunnerOptions} from './runner-options.js';
import type {ClockReading, Session} from './session.js';
import {SessionTable} from './session-table.js';
import {StatsRecorder} from './stats-recorder.js';

/** Interval of checking permissions, starting waiting runs and decaying statistics, in ms. */
const tickMs = 50;

/** Runs dispatchers' tasks on one executor. It alone decides what is started there. */
export class Runner implements AsyncDisposable {
  private readonly clock: Clock;
  private readonly readWall: () => number;
  private readonly sessions: SessionTable;
  private readonly runs = new RunTable();
  private readonly backlog = new Backlog();
  private readonly clearance: JobClearance;
  private readonly requests: ExecutorRequests;
  private readonly lease: LeaseLoop;
  private readonly reporter: Reporter;
  private readonly startGate: StartGate;
  private readonly ticker: NodeJS.Timeout;
  private readonly identity = new ExecutorIdentity();
  private readonly stats = new StatsRecorder();
  private readonly acknowledgements = new Acknowledgements();
  /** False until the executor has reported no runs that are unknown to this process. */
  private adopted = false;
  private draining = false;
  private idleWaiters: (() => void)[] = [];

  constructor(private readonly options: RunnerOptions) {
    this.clock = options.clock ?? monotonicClock;
    this.readWall = options.readWall ?? Date.now;
    const {evacuationWaitMs = 0} = options;
    this.startGate = new StartGate(
      this.clock,
      this.clock.now() + evacuationWaitMs,
    );
    this.sessions = new SessionTable(
      () => this.readClocks(),
      run => this.stop(run, 'stopped'),
      () => this.startWaiting(),
    );
    this.clearance = new JobClearance({
      sessions: this.sessions,
      runs: this.runs,
      stop: (run, end) => this.stop(run, end),
      hasUnknownRuns: () => !this.adopted && !this.lease.isExpired,
    });
    this.reporter = new Reporter({
      sessions: this.sessions,
      describeLoad: session => this.describeLoad(session),
      getDescription: () => this.identity.description,
      computeFree: () => computeFreeCapacity(this.offeredRoom, this.runs),
    });
    this.requests = new ExecutorRequests({
      port: options.port,
      clock: this.clock,
      log: options.log,
      firstFence: Math.floor(this.readWall()),
      canStart: run =>
        this.isOpen &&
        this.sessions.isCurrent() &&
        this.runs.findOwner(run)?.canStart(this.readClocks()) === true &&
        this.isFitting(run),
      onStartSent: sentAt => this.lease.noteLease(sentAt),
      onStartOutcome: (run, outcome) => this.handleStartOutcome(run, outcome),
      onStopped: () => void this.lease.fetchReport(),
    });
    this.lease = new LeaseLoop({
      clock: this.clock,
      port: options.port,
      getFence: () => this.requests.fence,
      getAcknowledged: () => this.acknowledgements.send(),
      getSentAcknowledgement: () => this.acknowledgements.lastSent,
      isNeeded: () => this.isLeaseNeeded,
      isAdopted: () => this.adopted,
      canExtend: () => this.adopted && this.sessions.isCurrent(),
      onReport: (report, askedAt) => this.receiveReport(report, askedAt),
      onLapsed: detail => this.handleLapsedLease(detail),
    });
    this.ticker = setInterval(() => this.tick(), tickMs);
  }

  /** The executor as it last announced itself. */
  get info(): ExecutorInfo | undefined {
    return this.identity.info;
  }

  /** The number of runs accepted and not yet ended. */
  get runCount(): number {
    return this.runs.size;
  }

  /** Handles the executor's announcement. One from an earlier incarnation is ignored. */
  announce(info: ExecutorInfo): void {
    const change = this.identity.announce(info, this.clock.now());
    if (change.kind === 'outdated') return;
    this.returnWaiting(run => !this.isFitting(run));
    switch (change.kind) {
      case 'replaced':
        logIncarnation(this.options.log, info, this.runs.size);
        if (!change.isMet) this.enterIncarnation(change.isSameId);
        // It may have begun runs that were placed for its predecessor.
        for (const run of this.runs.list()) {
          if (!this.isFitting(run)) this.stop(run, 'lapsed');
        }
        break;
      case 'same':
        if (change.startsDraining) this.returnWaiting();
        break;
      default:
        failUnreachable(change);
    }
    this.reporter.schedule();
    this.lease.wakeUp();
  }

  /** Handles the executor's notice that it is terminating. */
  withdraw(incarnation: number): void {
    if (this.info?.incarnation !== incarnation) return;
    this.identity.markDraining();
    this.returnWaiting();
    this.reporter.schedule();
  }

  /**
   * Notes whether the runner's failure domain is evacuated. While it is, the runner takes no runs,
   * returns those that wait and starts none; runs at work continue. Afterwards load returns gradually.
   */
  setEvacuated(isEvacuated: boolean): void {
    const {backlog, runs} = this;
    if (!this.startGate.setEvacuated(isEvacuated, this.stats.current)) return;
    const counts = {returned: backlog.size, running: runs.size - backlog.size};
    logEvacuation(this.options, isEvacuated, counts);
    if (isEvacuated) this.returnWaiting();
    this.reporter.schedule();
  }

  /** Creates the handlers for dispatchers' requests. */
  createHandlers(): Handlers {
    return {
      'runner.attach': (params, peer) => this.attach(params, peer),
      'runner.place': ({batches}, peer) => this.place(batches, peer),
      'runner.withdraw': (params, peer) => this.withdrawRuns(params, peer),
      'runner.permit': ({question}, peer) =>
        this.sessions.grant(question, peer),
      'runner.clear': (params, peer) => this.clearance.clear(params, peer),
    };
  }

  /** Refuses new runs, returns waiting ones and resolves once the others have ended. */
  drain(): Promise<void> {
    this.draining = true;
    this.returnWaiting();
    this.reporter.schedule();
    if (this.isIdle) return Promise.resolve();
    return new Promise(resolve => this.idleWaiters.push(resolve));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.ticker);
    this.reporter[Symbol.dispose]();
    this.requests[Symbol.dispose]();
    await this.lease[Symbol.asyncDispose]();
    await this.options.port[Symbol.asyncDispose]();
  }

  private get isIdle(): boolean {
    return this.runs.size === 0 && this.acknowledgements.isComplete;
  }

  private get isOpen(): boolean {
    return (
      this.info?.draining === false &&
      !this.draining &&
      this.adopted &&
      this.lease.isResponsive &&
      this.startGate.isOpen
    );
  }

  private get offeredRoom() {
    return this.startGate.limitRoom(this.info?.room);
  }

  private get isLeaseNeeded(): boolean {
    if (this.info === undefined) return false;
    return (
      (!this.adopted && !this.identity.isSuperseded) ||
      !this.lease.isAnswered ||
      !this.acknowledgements.isComplete ||
      this.runs.size > this.backlog.size
    );
  }

  private readClocks(): ClockReading {
    return {monotonic: this.clock.now(), wall: this.readWall()};
  }

  private describeLoad({demand}: Session): TargetLoad {
    const {isOpen, runs, backlog} = this;
    const stats = this.stats.current;
    const withheld = this.startGate.computeWithheld(this.info?.room);
    const sources = {isOpen, withheld, runs, backlog, stats};
    return describeLoad(sources, demand, this.clock.now());
  }

  /**
   * Notes that the executor is another incarnation than before. Runs of the one before have lapsed. Under the
   * same id, the new one may have begun those that the one before never listed: its lists will tell. Orders
   * that are still under way are refused for their lower fence from the first request with the new one.
   */
  private enterIncarnation(isSameId: boolean): void {
    this.requests.advanceFence();
    for (const run of this.runs.listSent()) {
      if (!isSameId || run.isListed) this.endRun(run, 'lapsed');
    }
    this.stats.reset();
    this.startGate.restartReturn(this.stats.current);
    this.acknowledgements.reset();
    this.adopted = false;
  }

  private attach(
    {dispatcher, life, tickets}: AttachRunnerParams,
    peer: Peer,
  ): AttachRunnerResult {
    const {info} = this;
    if (info === undefined) throw new Error('no executor has announced itself');
    if (!this.adopted) throw new Error('the executor has not answered yet');
    const session = this.sessions.attach(dispatcher, life, tickets, peer);
    session.noteDescription(this.identity.description!);
    logAttachment(this.options.log, session);
    const {target, incarnation, service, room: capacity} = info;
    const ended = session.listEnded(tickets);
    const load = this.describeLoad(session);
    return {target, incarnation, service, capacity, ended, load};
  }

  private place(batches: readonly RunBatch[], peer: Peer): void {
    const session = this.sessions.find(peer);
    if (session === undefined) return;
    const runs = batches.flatMap(each => openRuns(each, this.clock.now()));
    for (const run of runs) this.accept(session, run);
    this.startWaiting();
    if (this.sessions.ensurePermission(session)) this.reporter.report();
    else this.reporter.schedule();
  }

  private accept(session: Session, run: Run): void {
    if (
      this.clearance.isExcluded(run.ref.job, session) ||
      !this.isOpen ||
      !this.isFitting(run) ||
      this.runs.find(run.ref) !== undefined ||
      (!run.mayWait && !this.hasRoomFor(run)) ||
      !this.ensureQueueSpace(run)
    ) {
      session.addEnd(run.ticket, 'not-run', 0);
      return;
    }
    this.runs.add(run, session);
    this.backlog.add(run);
  }

  /** Ensures that a run may wait here, displacing the last waiting run if needed; false when it may not. */
  private ensureQueueSpace(run: Run): boolean {
    if (canQueueAhead(this.offeredRoom!, this.runs.accepted)) return true;
    const {last} = this.backlog;
    if (last === undefined || !shouldDisplace(run.rank, last.rank))
      return false;
    this.endRun(last, 'not-run');
    return true;
  }

  private isFitting(run: Run): boolean {
    return canRunOn(run, this.identity.description!);
  }

  private startWaiting(): void {
    // A start extends the lease of all runs, so that one without a permission would not lapse.
    if (!this.isOpen || !this.sessions.isCurrent()) return;
    const now = this.readClocks();
    const canStart = (each: Run) =>
      this.hasRoomFor(each) && this.runs.findOwner(each)!.canStart(now);
    let run: Run | undefined;
    while ((run = this.backlog.takeFirst(canStart)) !== undefined) {
      this.runs.noteStart(run);
      run.phase = {kind: 'starting', sentAt: now.monotonic};
      this.requests.start(run);
    }
    this.returnWaiting(each => !each.mayWait && !this.hasRoomFor(each));
  }

  private hasRoomFor(run: Run): boolean {
    const {room} = this.info!;
    return this.startGate.hasRoomFor(run, room, this.runs, this.backlog);
  }

  private handleStartOutcome(run: Run, outcome: StartOutcome): void {
    if (this.runs.findOwner(run) === undefined) return;
    this.lease.wakeUp();
    switch (outcome.kind) {
      case 'started':
        if (run.phase.kind !== 'starting') return;
        confirmStart(run, run.phase.sentAt, this.clock.now());
        logStart(this.options.log, run);
        return;
      case 'refused':
        logStartFailure(this.options.log, run, outcome.reason);
        if (outcome.reason === 'unhealthy') this.stats.recordFailure();
        if (outcome.reason === 'replaced') this.adopted = false;
        this.endRun(run, 'not-run');
        return;
      case 'unanswered':
        logStartFailure(this.options.log, run, outcome.detail);
        this.stats.recordFailure();
        this.stop(run, 'unanswered');
        return;
    }
  }

  private withdrawRuns(params: WithdrawRunsParams, peer: Peer): void {
    const runs = this.sessions.find(peer)?.listWithdrawn(params) ?? [];
    for (const run of runs) this.stop(run, 'stopped');
  }

  /** Ends a run: at once while it waits, otherwise once the executor no longer has it. */
  private stop(run: Run, end: RunEnd): void {
    if (run.phase.kind === 'stopping') return;
    if (run.phase.kind === 'waiting') {
      this.endRun(run, 'not-run');
      return;
    }
    run.phase = {kind: 'stopping', end};
    this.requests.stop(run);
  }

  private receiveReport(report: ExecutorReport, askedAt: Instant): void {
    if (this.identity.noteReport(report, this.clock.now())) {
      logReplacement(this.options.log, this.info!, report.incarnation);
      this.enterIncarnation(true);
      this.returnWaiting();
    }
    if (!this.identity.isCurrent(report, askedAt)) return;
    this.acknowledgements.note(report.ended);
    const {ends, orphans, stalled, work} = compareReport(this.runs, report, {
      askedAt,
      now: this.clock.now(),
      leaseExpiry: this.lease.expiry,
      baselineSlowness: this.stats.current.baselineSlowness,
    });
    this.stats.observe(work);
    for (const [run, end] of ends) this.endRun(run, end);
    for (const ref of orphans) this.requests.stopOrphan(ref);
    for (const run of stalled) this.stopStalled(run);
    if (!this.adopted && !this.identity.isSuperseded && orphans.length === 0) {
      this.adopted = true;
      logAdoption(this.options.log, this.info!);
    }
    this.startWaiting();
    this.reporter.schedule();
    this.resolveIdle();
  }

  private stopStalled(run: Run): void {
    logStall(this.options.log, run, this.clock.now());
    this.stats.recordFailure();
    this.stop(run, 'stalled');
  }

  private handleLapsedLease(detail: string): void {
    const sent = this.runs.listSent();
    if (this.adopted) logLeaseExpiry(this.options.log, detail, sent.length);
    this.adopted = false;
    for (const run of sent) this.endRun(run, 'lapsed');
    this.returnWaiting();
  }

  /** Returns the waiting runs for which a condition holds as not begun. */
  private returnWaiting(holds: (run: Run) => boolean = () => true): void {
    for (const run of this.backlog.take(holds)) this.endRun(run, 'not-run');
  }

  private endRun(run: Run, end: RunEnd): void {
    if (run.phase.kind === 'waiting') this.backlog.remove(run);
    const runMs =
      run.startedAt === undefined ? 0 : this.clock.now() - run.startedAt;
    if (!this.runs.remove(run, end, runMs)) return;
    measureRunEnd(this.options, end, runMs);
    this.stats.recordEnd(end);
    this.reporter.schedule();
  }

  private tick(): void {
    for (const session of this.sessions.renew()) this.expire(session);
    this.stats.tick(this.runs.size === 0);
    this.startGate.advance(this.stats.current);
    this.startWaiting();
    this.lease.wakeUp();
    this.reporter.schedule();
  }

  private expire(session: Session): void {
    const active = session.listStarted();
    if (active.length === 0) return;
    logDispatcherTimeout(this.options.log, session.dispatcher, active.length);
    for (const run of active) this.stop(run, 'stopped');
  }

  private resolveIdle(): void {
    if (!this.isIdle) return;
    for (const wake of this.idleWaiters.splice(0)) wake();
  }
}
