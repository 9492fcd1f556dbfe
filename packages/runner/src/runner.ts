import {type Clock, type Instant, monotonicClock, type RunEnd} from '#model';
import {canQueueAhead, shouldDisplace} from '#policy';
import type {
  AttachRunnerParams,
  AttachRunnerResult,
  ExecutorDescription,
  Handlers,
  Peer,
  RunBatch,
  TargetLoad,
  WithdrawRunsParams,
} from '#protocol';
import {noopMetrics} from '#telemetry';
import {Acknowledgements} from './acknowledgements.js';
import {Backlog} from './backlog.js';
import {JobRestrictions} from './job-restrictions.js';
import type {ExecutorInfo, ExecutorReport, StartOutcome} from './executor.js';
import {
  logEvacuation,
  logStartFailure,
  logLeaseExpiry,
  logIncarnation,
  logDispatcherTimeout,
  logStall,
  logStart,
} from './events.js';
import {StartGate} from './start-gate.js';
import {LeaseLoop} from './lease.js';
import {computeFreeCapacity, describeLoad} from './load.js';
import {ExecutorRequests} from './executor-requests.js';
import {compareReport} from './reconcile.js';
import {Reporter} from './reporter.js';
import {
  canRunOn,
  describeExecutor,
  markStarted,
  openRuns,
  type Run,
} from './run.js';
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
  private readonly restrictions = new JobRestrictions();
  private readonly requests: ExecutorRequests;
  private readonly lease: LeaseLoop;
  private readonly reporter: Reporter;
  private readonly startGate: StartGate;
  private readonly ticker: NodeJS.Timeout;
  private executor: ExecutorInfo | undefined;
  /** The part of the announcement that dispatchers place by; replaced only when it has changed. */
  private description: ExecutorDescription | undefined;
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
    this.reporter = new Reporter({
      sessions: this.sessions,
      describeLoad: session => this.describeLoad(session),
      getDescription: () => this.description,
      computeFree: () => computeFreeCapacity(this.offeredRoom, this.runs),
    });
    this.requests = new ExecutorRequests({
      port: options.port,
      clock: this.clock,
      log: options.log,
      firstFence: Math.floor(this.readWall()),
      canStart: run =>
        this.startGate.isOpen &&
        this.runs.findOwner(run)?.canStart(this.readClocks()) === true &&
        canRunOn(run, this.description!),
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
    return this.executor;
  }

  /** The number of runs accepted and not yet ended. */
  get runCount(): number {
    return this.runs.size;
  }

  /** Handles the executor's announcement. One from an earlier incarnation is ignored. */
  announce(info: ExecutorInfo): void {
    const known = this.executor;
    if (known !== undefined && info.incarnation < known.incarnation) return;
    const isNew = info.incarnation !== known?.incarnation;
    this.executor = info;
    this.description = describeExecutor(info, this.description);
    this.returnWaiting(run => !canRunOn(run, this.description!));
    if (isNew) this.beginIncarnation(info);
    else if (info.draining && !known.draining) this.returnWaiting();
    this.reporter.schedule();
    this.lease.wakeUp();
  }

  /** Handles the executor's notice that it is terminating. */
  withdraw(incarnation: number): void {
    if (this.executor?.incarnation !== incarnation) return;
    this.executor = {...this.executor, draining: true};
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
      'runner.clear': ({job}, peer) => this.clearJob(job, peer),
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
      this.executor !== undefined &&
      !this.executor.draining &&
      !this.draining &&
      this.adopted &&
      this.lease.isResponsive &&
      this.startGate.isOpen
    );
  }

  private get offeredRoom() {
    return this.startGate.limitRoom(this.executor?.room);
  }

  private get isLeaseNeeded(): boolean {
    if (this.executor === undefined) return false;
    return (
      !this.adopted ||
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
    const withheld = this.startGate.computeWithheld(this.executor?.room);
    const sources = {isOpen, withheld, runs, backlog, stats};
    return describeLoad(sources, demand, this.clock.now());
  }

  private beginIncarnation(info: ExecutorInfo): void {
    logIncarnation(this.options.log, info, this.runs.size);
    for (const run of this.runs.list()) {
      if (run.phase.kind !== 'waiting') this.endRun(run, 'lapsed');
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
    const info = this.executor;
    if (info === undefined) throw new Error('no executor has announced itself');
    if (!this.adopted) throw new Error('the executor has not answered yet');
    const session = this.sessions.attach(dispatcher, life, tickets, peer);
    session.noteDescription(this.description!);
    this.options.log.info(
      {event: 'dispatcher-attached', dispatcher, life, runs: session.runs.size},
      'dispatcher attached',
    );
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
      this.restrictions.isExcluded(run.ref.job, session.dispatcher) ||
      !this.isOpen ||
      !canRunOn(run, this.description!) ||
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

  private startWaiting(): void {
    if (!this.isOpen) return;
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
    const {room} = this.executor!;
    return this.startGate.hasRoomFor(run, room, this.runs, this.backlog);
  }

  private handleStartOutcome(run: Run, outcome: StartOutcome): void {
    if (this.runs.findOwner(run) === undefined) return;
    this.lease.wakeUp();
    switch (outcome.kind) {
      case 'started':
        if (run.phase.kind !== 'starting') return;
        markStarted(run, run.phase.sentAt);
        run.progressedAt = this.clock.now();
        run.phase = {kind: 'running', confirmedAt: this.clock.now()};
        logStart(this.options.log, run);
        return;
      case 'refused':
        logStartFailure(this.options.log, run, outcome.reason);
        if (outcome.reason === 'unhealthy') this.stats.recordFailure();
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

  /** Stops a job's runs for other dispatchers; resolves once all of them have ended. */
  private async clearJob(
    job: string,
    peer: Peer,
  ): Promise<Record<string, never>> {
    const own = this.sessions.find(peer);
    if (own === undefined) throw new Error('this dispatcher is not attached');
    this.restrictions.set(job, own.dispatcher);
    for (const run of this.runs.listOthers(job, own)) this.stop(run, 'stopped');
    while (this.runs.listOthers(job, own).length > 0 || !this.adopted) {
      await new Promise(resolve => setTimeout(resolve, tickMs));
      if (!peer.isOpen) throw new Error('the dispatcher has disconnected');
    }
    return {};
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
    const info = this.executor;
    if (info === undefined || report.incarnation !== info.incarnation) return;
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
    if (!this.adopted && orphans.length === 0) {
      this.adopted = true;
      const {target} = info;
      this.options.log.info({event: 'executor-adopted', target}, 'no orphans');
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
    const sent = this.runs.list().filter(({phase}) => phase.kind !== 'waiting');
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
    const {metrics = noopMetrics} = this.options;
    metrics.increment('runner.runs', 1, {end});
    if (runMs > 0) metrics.timing('runner.run', runMs, {end});
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
    const active = [...session.runs.values()].filter(
      ({phase}) => phase.kind === 'starting' || phase.kind === 'running',
    );
    if (active.length === 0) return;
    logDispatcherTimeout(this.options.log, session.dispatcher, active.length);
    for (const run of active) this.stop(run, 'stopped');
  }

  private resolveIdle(): void {
    if (!this.isIdle) return;
    for (const wake of this.idleWaiters.splice(0)) wake();
  }
}
