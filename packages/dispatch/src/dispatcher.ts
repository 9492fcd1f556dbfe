import {
  type Address,
  type Clock,
  computeDeadline,
  type JobId,
  monotonicClock,
  type RunEnd,
  type ServiceName,
  type TargetId,
} from '#model';
import {cancelJob, endRun, hasReadyTask} from '#jobs';
import type {CancelJobResult, Handlers, RelayJobParams} from '#protocol';
import {emptyView, type View} from '#membership';
import {type Metrics, noopMetrics} from '#telemetry';
import {
  type ActiveJob,
  describeEnd,
  isUnstarted,
  type JobOutcome,
  type JobSubmission,
  openActiveJob,
} from './active-job.js';
import {type CancellationOptions, cancelForCaller} from './cancellation.js';
import {ClaimTable, type JobOwner} from './claims.js';
import type {DispatcherOptions} from './dispatcher-options.js';
import {EndedJobs} from './ended-jobs.js';
import {logEnd, logRunEnd, measureEnd} from './events.js';
import {answerFollow, type FollowedJobs} from './follow.js';
import {JobExpiry, withdrawRuns} from './job-expiry.js';
import {ClaimKeeper} from './claim-keeper.js';
import {decodeClaim, encodeClaimAnswer} from './claim-messages.js';
import {PeerDispatchers} from './peer-dispatchers.js';
import {RunTimePredictor} from './run-time-predictor.js';
import {Admission, leavingRefusal, sumWaitingWork} from './admission.js';
import type {OutstandingRun} from './link.js';
import {
  hasOtherOwner,
  type OwnershipOptions,
  resolveOwnership,
} from './ownership.js';
import {Placer} from './placer.js';
import {PlacementScheduler} from './placement-scheduler.js';
import {Relay} from './relay.js';
import {RunMover} from './run-mover.js';
import {RunnerFleet} from './runner-fleet.js';
import {SubmitterConnections} from './submitter-connections.js';

/** Owns callers' queued jobs and places their tasks on targets with free capacity. */
export class Dispatcher implements AsyncDisposable {
  private readonly clock: Clock;
  private readonly fleet: RunnerFleet;
  private readonly placer: Placer;
  private readonly runMover: RunMover;
  private readonly admission: Admission;
  private readonly expiry: JobExpiry;
  private readonly jobs = new Map<JobId, ActiveJob>();
  /** Jobs that may have ready tasks: the ones that placement considers. */
  private readonly waiting = new Set<ActiveJob>();
  private readonly ended = new EndedJobs();
  private readonly predictor = new RunTimePredictor();
  private readonly claims: ClaimTable;
  /** This process as the owner of jobs; undefined when it is the only dispatcher. */
  private readonly self: JobOwner | undefined;
  private readonly peerDispatchers = new PeerDispatchers(undefined, address =>
    this.claimKeeper.noteLost(address),
  );
  private readonly claimKeeper: ClaimKeeper;
  private readonly relay: Relay;
  private readonly submitterConnections = new SubmitterConnections(id =>
    this.cancel(id),
  );
  private readonly readLagMs: () => number;
  private isLeaving = false;
  private view: View = emptyView;
  private readonly ownership: OwnershipOptions;
  private readonly cancellation: CancellationOptions;
  private readonly followed: FollowedJobs;
  private readonly placementScheduler = new PlacementScheduler(() =>
    this.placeWaiting(),
  );
  private readonly metrics: Metrics;

  constructor(private readonly options: DispatcherOptions) {
    this.clock = options.clock ?? monotonicClock;
    this.metrics = options.metrics ?? noopMetrics;
    this.readLagMs = options.readLagMs ?? (() => 0);
    const {address, life, startedAt = this.clock.now()} = options;
    this.self = address === undefined ? undefined : {address, life};
    this.claims = new ClaimTable(startedAt, this.clock);
    this.ownership = {
      self: this.self,
      claims: this.claims,
      peerDispatchers: this.peerDispatchers,
      log: options.log,
      listDispatchers: service =>
        this.listStated(service) ?? this.fleet.listRegistrars(service),
      clear: (job, deadline) => this.fleet.clear(job, deadline),
      onMissed: registrar => this.claimKeeper.noteLost(registrar),
    };
    this.claimKeeper = new ClaimKeeper({
      ownership: this.ownership,
      listJobs: () => this.jobs.values(),
      giveUp: job => this.cancel(job),
    });
    this.followed = {
      clock: this.clock,
      jobs: this.jobs,
      ended: this.ended,
      findOutcome: job => this.findLocal(job),
      cancel: job => this.cancel(job),
    };
    this.cancellation = {
      ownership: this.ownership,
      cancelLocal: job => this.cancelLocal(job),
      markCancelled: job => this.ended.markCancelled(job),
    };
    this.fleet = new RunnerFleet({
      clock: this.clock,
      log: options.log,
      dispatcher: options.id,
      localTarget: options.localTarget,
      life: options.life,
      failureDomain: options.failureDomain,
      onEnd: (target, run, end, runMs) =>
        this.recordEnd(target, run, end, runMs),
      onLoad: () => this.placementScheduler.schedule(),
      hasJobs: service =>
        [...this.jobs.values()].some(({queue}) => queue.service === service),
    });
    this.placer = new Placer(this.fleet, options.log, {
      metrics: this.metrics,
      locality: options.locality,
    });
    this.runMover = new RunMover({
      fleet: this.fleet,
      findJob: id => this.jobs.get(id),
      log: options.log,
      locality: options.locality,
    });
    this.admission = new Admission({
      fleet: this.fleet,
      log: options.log,
      metrics: this.metrics,
      readLagMs: this.readLagMs,
      listLoads: () => this.peerDispatchers.listLoads(),
      countDispatchers: service => this.listDispatchers(service).length,
    });
    this.expiry = new JobExpiry({
      clock: this.clock,
      fleet: this.fleet,
      estimateRetryMs: service =>
        this.admission.estimateRetryMs(service, this.jobs.values()),
      close: (job, outcome) => this.close(job, outcome),
      resume: () => this.placementScheduler.schedule(),
    });
    this.relay = new Relay({
      peerDispatchers: this.peerDispatchers,
      log: options.log,
      readLagMs: this.readLagMs,
      seed: options.life,
    });
  }

  /** The number of accepted jobs without an outcome, including relayed ones. */
  get jobCount(): number {
    let count = this.relay.size;
    for (const {isAnswered} of this.jobs.values()) count += isAnswered ? 0 : 1;
    return count;
  }

  /** Counts the accepted jobs of a queue that have no run begun or placed. */
  countWaiting(queue: string): number {
    return [...this.jobs.values()].filter(
      job => job.queue.name === queue && isUnstarted(job) && !job.isAnswered,
    ).length;
  }

  /** Returns counts of jobs and messages for the log. */
  describe(): Readonly<Record<string, number>> {
    const {spentMs: placingMs} = this.placementScheduler;
    return {jobs: this.jobCount, placingMs, ...this.fleet.countMessages()};
  }

  /** True when runs can be placed on some target. */
  get isConnected(): boolean {
    return this.fleet.isConnected;
  }

  /** Updates the targets from control's view. */
  follow(view: View): void {
    this.view = view;
    this.fleet.follow(view);
    this.metrics.gauge('queued.targets.evacuated', this.fleet.evacuatedCount);
  }

  private listDispatchers(service: ServiceName): readonly Address[] {
    return this.listStated(service) ?? this.fleet.listHomes(service);
  }

  private listStated(service: ServiceName): readonly Address[] | undefined {
    return this.options.listDispatchers?.(this.view, service);
  }

  /** Stops accepting jobs from other dispatchers. */
  leave(): void {
    this.isLeaving = true;
  }

  /** Runs a job to its end, here or at another dispatcher. Resolves at the latest when its caller stops waiting. */
  async submit(submission: JobSubmission): Promise<JobOutcome> {
    const {job} = submission;
    return (
      (await this.findLocal(job.id)) ??
      (await this.relay.tryRelay(submission)) ??
      this.admit(submission)
    );
  }

  private async admit(submission: JobSubmission): Promise<JobOutcome> {
    const {job, callerDeadline} = submission;
    this.fleet.followService(submission.queue.service);
    const refusal = this.admission.checkAdmission(
      {...submission, job: this.predictor.adjust(job, submission.queue.name)},
      this.jobs.values(),
      this.clock.now(),
    );
    const hasBegun = this.ended.hasBegun(job.id);
    const claimed = {job: job.id, service: submission.queue.service};
    if (refusal !== undefined) {
      const mayHaveRun =
        hasBegun || (await hasOtherOwner(this.ownership, claimed));
      return mayHaveRun ? {kind: 'expired'} : refusal;
    }
    const status = await resolveOwnership(
      this.ownership,
      claimed,
      callerDeadline,
    );
    switch (status.kind) {
      case 'completed':
      case 'failed':
      case 'cancelled':
        return status;
      case 'uncertain':
        return {kind: 'expired'};
      case 'own':
        // Checked and run in one turn of the event loop, as the same job may be admitted twice concurrently.
        return this.jobs.has(job.id) || this.ended.find(job.id) !== undefined
          ? this.submit(submission)
          : this.run(submission, status.isFirst && !hasBegun);
    }
  }

  /** Creates the handlers for requests of other dispatchers and entries. */
  createHandlers(): Handlers {
    return {
      'dispatcher.claim': params => ({
        ...encodeClaimAnswer(this.claims.answer(decodeClaim(params))),
        ...(!this.isLeaving && {
          lagMs: this.readLagMs(),
          waitingCoreMs: sumWaitingWork(params.service, this.jobs.values()),
        }),
      }),
      'dispatcher.relay': async (params, peer) => ({
        end: describeEnd(
          params,
          await this.submitterConnections.track(
            params.job.id,
            peer,
            this.admitRelayed(params),
          ),
        ),
        waiting: this.countWaiting(params.queue.name),
      }),
      'dispatcher.cancel': ({job, service, remainingMs}) =>
        cancelForCaller(
          this.cancellation,
          {job, service},
          computeDeadline(this.clock.now(), remainingMs),
        ),
      'dispatcher.abandon': ({job}) => this.cancel(job),
      'dispatcher.follow': ({job, remainingMs}) =>
        answerFollow(
          this.followed,
          job,
          computeDeadline(this.clock.now(), remainingMs),
        ),
    };
  }

  /** Cancels a job whose caller has disconnected. */
  cancel(id: JobId): void {
    if (this.relay.cancel(id)) return;
    const job = this.jobs.get(id);
    if (job !== undefined && !job.isAnswered) {
      this.close(job, {kind: 'expired'});
    }
  }

  /** Cancels a job of this dispatcher for its caller; undefined when it has none, or has given it up. */
  private cancelLocal(id: JobId): CancelJobResult | undefined {
    const job = this.jobs.get(id);
    const answer = this.ended.answerCancellation(id);
    if (job === undefined || answer !== undefined) return answer;
    // Of a job that was answered already, runs may not have ended yet.
    if (job.isAnswered) this.ended.markCancelled(id);
    else this.close(job, {kind: 'cancelled'});
    return {kind: 'cancelled'};
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.placementScheduler[Symbol.dispose]();
    this.claimKeeper[Symbol.dispose]();
    for (const {expiry} of this.jobs.values()) clearTimeout(expiry);
    await this.fleet[Symbol.asyncDispose]();
    await this.peerDispatchers[Symbol.asyncDispose]();
  }

  /**
   * Finds or awaits the outcome of a job that this dispatcher runs or ran; undefined when it has none.
   * After a job was answered, waits until its runs have ended, as only then may the job be run again.
   */
  private async findLocal(id: JobId): Promise<JobOutcome | undefined> {
    const known = this.jobs.get(id);
    if (known === undefined) return this.ended.find(id);
    if (!known.isAnswered) {
      return new Promise(resolve => known.waiters.push(resolve));
    }
    await new Promise<void>(resolve => known.runsEndedWaiters.push(resolve));
    return this.ended.find(id);
  }

  private async admitRelayed({
    job,
    queue,
    ageMs,
    remainingMs,
  }: RelayJobParams): Promise<JobOutcome> {
    if (this.isLeaving) return leavingRefusal;
    const now = this.clock.now();
    const callerDeadline = computeDeadline(now, remainingMs);
    const submission = {job, queue, arrivedAt: now - ageMs, callerDeadline};
    return (await this.findLocal(job.id)) ?? this.admit(submission);
  }

  private run(
    submission: JobSubmission,
    isFirst: boolean,
  ): Promise<JobOutcome> {
    const now = this.clock.now();
    const {queue, callerDeadline} = submission;
    const job = this.predictor.adjust(submission.job, queue.name);
    return new Promise(resolve => {
      const active = openActiveJob(submission, job, isFirst, resolve);
      this.expiry.arm(active, active.uselessAt - active.chainMs);
      this.jobs.set(job.id, active);
      this.waiting.add(active);
      this.fleet.followRequiredTargets(queue.service, job);
      this.options.log.debug(
        {
          event: 'job-accepted',
          job: job.id,
          queue: queue.name,
          dueMs: Math.round(active.dueAt - now),
          patienceMs: Math.round(callerDeadline - now),
          jobs: this.jobs.size,
        },
        'accepted a job',
      );
      this.placementScheduler.schedule();
    });
  }

  /** Places what it can; true when placement should be retried after a delay even if nothing else changes. */
  private placeWaiting(): boolean {
    const now = this.clock.now();
    for (const job of this.waiting) {
      if (!hasReadyTask(job.state)) this.waiting.delete(job);
    }
    const impossible = this.placer.placeAll(this.waiting, now);
    this.runMover.moveSlowRuns(now);
    for (const job of impossible) {
      const canRun = this.fleet.canRun(job.queue.service, job.state.job);
      if (!canRun) this.close(job, {kind: 'failed'});
    }
    return this.placer.isWaitingForFaster;
  }

  private recordEnd(
    target: TargetId,
    run: OutstandingRun,
    end: RunEnd,
    runMs: number,
  ): void {
    const job = this.jobs.get(run.ref.job);
    if (job === undefined) return;
    if (end === 'succeeded') {
      const relativeSlowness = this.fleet.computeRelativeSlowness(target);
      this.predictor.observe(job, run, {runMs, relativeSlowness});
    }
    job.tickets.delete(run.ticket);
    job.state = endRun(job.state, run.ref, end);
    this.waiting.add(job);
    if (end !== 'not-run') job.hasRun = true;
    this.metrics.increment('queued.runs', 1, {queue: job.queue.name, end});
    if (job.isAnswered) {
      this.forgetEnded(job);
      return;
    }
    logRunEnd(this.options.log, target, run.ref, end);
    const {phase} = job.state;
    switch (phase) {
      case 'completed':
      case 'failed':
        this.close(job, {kind: phase});
        return;
      case 'open':
      case 'cancelled':
        this.placementScheduler.schedule();
    }
  }

  private close(job: ActiveJob, outcome: JobOutcome): void {
    clearTimeout(job.expiry);
    job.isAnswered = true;
    job.state = cancelJob(job.state);
    this.ended.note(job, outcome);
    withdrawRuns(this.fleet, job, false);
    logEnd(this.options.log, job, outcome, this.clock.now());
    measureEnd(this.metrics, job, outcome, this.clock.now());
    this.metrics.gauge('queued.jobs.open', this.jobs.size);
    for (const resolve of job.waiters) resolve(outcome);
    this.forgetEnded(job);
  }

  /** Removes an answered job once all its runs have ended. */
  private forgetEnded(job: ActiveJob): void {
    if (job.tickets.size > 0) return;
    this.jobs.delete(job.state.job.id);
    for (const resolve of job.runsEndedWaiters) resolve();
  }
}
