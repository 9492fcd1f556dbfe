import {
  type Address,
  type Clock,
  computeDeadline,
  type Instant,
  type JobId,
  monotonicClock,
  RecentMap,
  type RunEnd,
  type ServiceName,
  type TargetId,
} from '#model';
import {cancelJob, endRun, hasReady} from '#jobs';
import type {FollowJobResult, Handlers, RelayJobParams} from '#protocol';
import {emptyView, type View} from '#membership';
import {type Logger, type Metrics, silentMetrics} from '#telemetry';
import {
  type ActiveJob,
  isUntouched,
  type JobOutcome,
  type JobSubmission,
  openActiveJob,
} from './active-job.js';
import {ClaimTable} from './claims.js';
import {logEnd, measureEnd} from './events.js';
import {Expiry, withdrawRuns} from './expiry.js';
import {Fellows} from './fellows.js';
import {Forecast} from './forecast.js';
import {Intake, sumWaiting} from './intake.js';
import type {OutstandingRun} from './link.js';
import {type OwnershipOptions, settleOwnership} from './ownership.js';
import {Placer} from './placer.js';
import {PlacingTurns} from './placing-turns.js';
import {Relay} from './relay.js';
import {Rescuer} from './rescuer.js';
import {RunnerFleet} from './runner-fleet.js';
import {Submitters} from './submitters.js';
import {sleepUntil} from './wait.js';

export interface DispatcherOptions {
  readonly id: string;
  /** The target that it stands beside; undefined for one that stands apart. */
  readonly beside?: TargetId;
  /** Differs at each start and grows. */
  readonly life: number;
  readonly failureDomain: string;
  /** Where it listens for other dispatchers; undefined for one without others. */
  readonly address?: Address;
  /** Lists where the dispatchers of a service listen: beside each of its targets unless it is given. */
  readonly listDispatchers?: (
    view: View,
    service: ServiceName,
  ) => readonly Address[];
  readonly log: Logger;
  readonly metrics?: Metrics;
  readonly clock?: Clock;
  /** Reads how late this process's event loop is, in ms. */
  readonly readLagMs?: () => number;
}

/** Callers of a dispatcher that leaves go elsewhere at once, in ms. */
const leavingRetryMs = 200;
/** Ended jobs whose callers may ask again, as they do within seconds. */
const maxRemembered = 8192;

/** Owns callers' queued jobs and places their tasks on the targets' room. */
export class Dispatcher implements AsyncDisposable {
  private readonly clock: Clock;
  private readonly fleet: RunnerFleet;
  private readonly placer: Placer;
  private readonly rescuer: Rescuer;
  private readonly intake: Intake;
  private readonly expiry: Expiry;
  private readonly jobs = new Map<JobId, ActiveJob>();
  /** The jobs of which a task may be ready: those that placing looks at. */
  private readonly waiting = new Set<ActiveJob>();
  /** Outcomes of jobs that ended here. */
  private readonly finished = new RecentMap<JobId, JobOutcome>(maxRemembered);
  /** Jobs that were given up here. */
  private readonly given = new RecentMap<JobId, true>(maxRemembered);
  private readonly forecast = new Forecast();
  private readonly claims = new ClaimTable();
  private readonly fellows = new Fellows();
  private readonly relay: Relay;
  private readonly submitters = new Submitters(id => this.giveUp(id));
  private readonly readLagMs: () => number;
  private isLeaving = false;
  private view: View = emptyView;
  private readonly ownership: OwnershipOptions;
  private readonly placing = new PlacingTurns(() => this.placeWaiting());
  private readonly metrics: Metrics;

  constructor(private readonly options: DispatcherOptions) {
    this.clock = options.clock ?? monotonicClock;
    this.metrics = options.metrics ?? silentMetrics;
    this.readLagMs = options.readLagMs ?? (() => 0);
    this.ownership = {
      address: options.address,
      claims: this.claims,
      fellows: this.fellows,
      log: options.log,
      listDispatchers: service => this.listDispatchers(service),
      clear: (job, deadline) => this.fleet.clear(job, deadline),
    };
    this.fleet = new RunnerFleet({
      clock: this.clock,
      log: options.log,
      dispatcher: options.id,
      beside: options.beside,
      life: options.life,
      failureDomain: options.failureDomain,
      onEnd: (target, run, end, runMs) =>
        this.recordEnd(target, run, end, runMs),
      onLoad: () => this.placing.schedule(),
    });
    this.placer = new Placer(this.fleet, options.log);
    this.rescuer = new Rescuer(
      this.fleet,
      id => this.jobs.get(id),
      options.log,
    );
    this.intake = new Intake({
      fleet: this.fleet,
      log: options.log,
      metrics: this.metrics,
      readLagMs: this.readLagMs,
      listLoads: () => this.fellows.listLoads(),
      countDispatchers: service => this.listDispatchers(service).length,
    });
    this.expiry = new Expiry({
      clock: this.clock,
      fleet: this.fleet,
      estimateRetryMs: service =>
        this.intake.estimateRetryMs(service, this.jobs.values()),
      close: (job, outcome) => this.close(job, outcome),
      resume: () => this.placing.schedule(),
    });
    this.relay = new Relay({
      fellows: this.fellows,
      log: options.log,
      readLagMs: this.readLagMs,
      seed: options.life,
    });
  }

  /** Jobs accepted and not answered. */
  get jobCount(): number {
    let count = this.relay.size;
    for (const {isAnswered} of this.jobs.values()) count += isAnswered ? 0 : 1;
    return count;
  }

  /** Counts the accepted jobs of a queue of which no task was placed. */
  countWaiting(queue: string): number {
    const jobs = [...this.jobs.values()].filter(
      job => job.queue.name === queue && isUntouched(job) && !job.isAnswered,
    );
    return jobs.length;
  }

  /** Counts what is in hand and what targets have told, for the log. */
  describe(): Readonly<Record<string, number>> {
    const {spentMs: placingMs} = this.placing;
    return {jobs: this.jobCount, placingMs, ...this.fleet.countMessages()};
  }

  /** True when some target could take work. */
  get isConnected(): boolean {
    return this.fleet.isConnected;
  }

  /** Follows the targets that control knows. */
  follow(view: View): void {
    this.view = view;
    this.fleet.follow(view);
  }

  private listDispatchers(service: ServiceName): readonly Address[] {
    const {listDispatchers} = this.options;
    if (listDispatchers === undefined) return this.fleet.listHomes(service);
    return listDispatchers(this.view, service);
  }

  /** Takes no more jobs from other dispatchers. */
  leave(): void {
    this.isLeaving = true;
  }

  /** Runs a job to its end, here or at another dispatcher. Resolves at the latest when its caller leaves. */
  async submit(submission: JobSubmission): Promise<JobOutcome> {
    const {job} = submission;
    return (
      (await this.findHere(job.id)) ??
      (await this.relay.tryRelay(submission)) ??
      this.admit(submission)
    );
  }

  private async admit(submission: JobSubmission): Promise<JobOutcome> {
    const {job, leavesAt} = submission;
    this.fleet.need(submission.queue.service);
    const refusal = this.intake.judge(
      {...submission, job: this.forecast.adjust(job, submission.queue.name)},
      this.jobs.values(),
      this.clock.now(),
    );
    if (refusal !== undefined) return refusal;
    const claimed = {job: job.id, service: submission.queue.service};
    const standing = await settleOwnership(this.ownership, claimed, leavesAt);
    switch (standing.kind) {
      case 'completed':
      case 'failed':
        return standing;
      case 'uncertain':
        return {kind: 'expired'};
      case 'own':
        // Looked up and run in one turn: the same job may be settled twice at a time.
        return this.jobs.has(job.id) || this.finished.has(job.id)
          ? this.submit(submission)
          : this.run(submission, standing.isFirst);
    }
  }

  /** What other dispatchers ask of this one. */
  createHandlers(): Handlers {
    return {
      'dispatcher.claim': ({job, claimant, replaces, service}) => ({
        owner: this.claims.note(job, claimant, replaces),
        ...(!this.isLeaving && {
          lagMs: this.readLagMs(),
          waitingCoreMs: sumWaiting(service, this.jobs.values()),
        }),
      }),
      'dispatcher.relay': async (params, peer) => ({
        end: await this.submitters.hold(
          params.job.id,
          peer,
          this.takeRelayed(params),
        ),
        waiting: this.countWaiting(params.queue.name),
      }),
      'dispatcher.abandon': ({job}) => this.giveUp(job),
      'dispatcher.follow': ({job, remainingMs}) =>
        this.answerFollower(
          job,
          computeDeadline(this.clock.now(), remainingMs),
        ),
    };
  }

  /** Gives a job up whose caller has gone. */
  giveUp(id: JobId): void {
    if (this.relay.release(id)) return;
    const job = this.jobs.get(id);
    if (job !== undefined && !job.isAnswered) {
      this.close(job, {kind: 'expired'});
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.placing[Symbol.dispose]();
    for (const {expiry} of this.jobs.values()) clearTimeout(expiry);
    await this.fleet[Symbol.asyncDispose]();
    await this.fellows[Symbol.asyncDispose]();
  }

  /** Joins a job that is in hand, or finds how it ended; waits out one that is being given up. */
  private async findHere(id: JobId): Promise<JobOutcome | undefined> {
    const known = this.jobs.get(id);
    if (known === undefined) return this.finished.get(id);
    if (!known.isAnswered) {
      return new Promise(resolve => known.waiters.push(resolve));
    }
    await new Promise<void>(resolve => known.closers.push(resolve));
    return this.finished.get(id);
  }

  private async takeRelayed({
    job,
    queue,
    ageMs,
    remainingMs,
  }: RelayJobParams): Promise<JobOutcome> {
    if (this.isLeaving) {
      const detail = 'this dispatcher is about to stop';
      return {
        kind: 'refused',
        cause: 'leaving',
        retryAfterMs: leavingRetryMs,
        detail,
      };
    }
    const now = this.clock.now();
    const leavesAt = computeDeadline(now, remainingMs);
    const submission = {job, queue, arrivedAt: now - ageMs, leavesAt};
    return (await this.findHere(job.id)) ?? this.admit(submission);
  }

  private async answerFollower(
    id: JobId,
    deadline: Instant,
  ): Promise<FollowJobResult> {
    const isKnown = this.jobs.has(id) || this.given.has(id);
    const outcome = await Promise.race([
      this.findHere(id),
      sleepUntil(deadline, this.clock),
    ]);
    if (outcome?.kind === 'completed' || outcome?.kind === 'failed') {
      return {kind: outcome.kind};
    }
    if (!isKnown) return {kind: 'unknown'};
    const known = this.jobs.get(id);
    if (known !== undefined) {
      this.giveUp(id);
      await new Promise<void>(resolve => known.closers.push(resolve));
    }
    return {kind: 'closed'};
  }

  private run(
    {job: submitted, queue, arrivedAt, leavesAt}: JobSubmission,
    isFirst: boolean,
  ): Promise<JobOutcome> {
    const now = this.clock.now();
    const job = this.forecast.adjust(submitted, queue.name);
    return new Promise(resolve => {
      const submission = {job: submitted, queue, arrivedAt, leavesAt};
      const active = openActiveJob(submission, job, isFirst, resolve);
      this.expiry.arm(active, active.uselessAt - active.chainMs);
      this.jobs.set(job.id, active);
      this.waiting.add(active);
      this.fleet.followNeeds(queue.service, job);
      this.options.log.debug(
        {
          event: 'job-accepted',
          job: job.id,
          queue: queue.name,
          dueMs: Math.round(active.dueAt - now),
          patienceMs: Math.round(leavesAt - now),
          jobs: this.jobs.size,
        },
        'accepted a job',
      );
      this.placing.schedule();
    });
  }

  /** Places what can be placed; true when it is to be tried again, though nothing may have changed but the time. */
  private placeWaiting(): boolean {
    const now = this.clock.now();
    for (const job of this.waiting) {
      if (!hasReady(job.state)) this.waiting.delete(job);
    }
    const impossible = this.placer.placeAll(this.waiting, now);
    this.rescuer.look(now);
    for (const job of impossible) {
      const canHold = this.fleet.canHold(job.queue.service, job.state.job);
      if (!canHold) this.close(job, {kind: 'failed'});
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
    if (end === 'succeeded') this.observeRun(job, run, target, runMs);
    job.tickets.delete(run.ticket);
    job.state = endRun(job.state, run.ref, end);
    this.waiting.add(job);
    if (end !== 'not-run') job.hasRun = true;
    this.metrics.increment('queued.runs', 1, {queue: job.queue.name, end});
    if (job.isAnswered) {
      this.forgetEnded(job);
      return;
    }
    const isUsual = end === 'succeeded' || end === 'not-run';
    const level = isUsual ? 'debug' : 'info';
    this.options.log[level](
      {event: 'run-ended', target, ...run.ref, end},
      'a run is over',
    );
    switch (job.state.phase) {
      case 'completed':
        this.close(job, {kind: 'completed'});
        return;
      case 'failed':
        this.close(job, {kind: 'failed'});
        return;
      case 'open':
      case 'cancelled':
        this.placing.schedule();
    }
  }

  private observeRun(
    {submitted, queue}: ActiveJob,
    {ref}: OutstandingRun,
    target: TargetId,
    runMs: number,
  ): void {
    const {estimateMs} = submitted.steps[ref.step]!;
    const relativeSlowness = this.fleet.computeRelativeSlowness(target);
    this.forecast.observe(queue.name, {estimateMs, runMs, relativeSlowness});
  }

  private close(job: ActiveJob, outcome: JobOutcome): void {
    clearTimeout(job.expiry);
    job.isAnswered = true;
    job.state = cancelJob(job.state);
    if (outcome.kind === 'completed' || outcome.kind === 'failed') {
      this.finished.set(job.state.job.id, outcome);
    } else {
      this.given.set(job.state.job.id, true);
    }
    withdrawRuns(this.fleet, job, false);
    logEnd(this.options.log, job, outcome, this.clock.now());
    measureEnd(this.metrics, job, outcome, this.clock.now());
    this.metrics.gauge('queued.jobs.open', this.jobs.size);
    for (const resolve of job.waiters) resolve(outcome);
    this.forgetEnded(job);
  }

  /** Forgets an answered job once nothing of it runs any more. */
  private forgetEnded(job: ActiveJob): void {
    if (job.tickets.size > 0) return;
    this.jobs.delete(job.state.job.id);
    for (const close of job.closers) close();
  }
}
