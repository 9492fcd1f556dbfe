import {
  type Address,
  computeRemainingMs,
  failUnreachable,
  type Instant,
  type JobId,
  monotonicClock,
  type QueueConfig,
  type ServiceName,
} from '#model';
import type {View} from '#membership';
import {estimateCriticalPathMs} from '#jobs';
import {chooseHomeDispatchers, checkSaturation} from '#policy';
import type {CancelJobResult, Liveness, RefusalCause} from '#protocol';
import {type Logger, type Metrics, noopMetrics} from '#telemetry';
import type {JobOutcome, JobSubmission} from './active-job.js';
import {chooseAnswerDeadline} from './admission.js';
import {rankRegistrars} from './claims.js';
import {PeerDispatchers} from './peer-dispatchers.js';
import {groupTargets} from './runner-fleet.js';
import {WaitingJobCounts} from './waiting-counts.js';

export interface JobRouterOptions {
  readonly log: Logger;
  readonly metrics?: Metrics;
  /** Returns this process's event loop lag in ms. */
  readonly readLagMs?: () => number;
}

/** The retry delay for callers while no dispatcher is reachable. */
const noHomeRetryMs = 500;
/** At most this many dispatchers are asked to run a job, as each refusal costs two messages. */
const maxHomes = 3;
/** The number of connections opened before the first job. */
const maxEagerConnections = 64;
/** The interval at which lost connections are reopened. */
const reconnectIntervalMs = 1000;
/** For connections without jobs: a failed dispatcher is detected before a job is sent to it and lost. */
const idleLiveness: Liveness = {probeAfterMs: 1000, silenceLimitMs: 2200};

interface RoutedJob {
  /** Callers other than the first; each is called with the outcome. */
  readonly waiters: ((outcome: JobOutcome) => void)[];
  /** The dispatcher that was last asked to run it; undefined before the first attempt. */
  home: Address | undefined;
}

/**
 * Routes an entry's queued jobs: relays each whole job to its home, the dispatcher that ranks first for
 * the job's id, and returns the outcome. Jobs submitted to several entries are deduplicated at the home.
 */
export class JobRouter implements AsyncDisposable {
  private readonly peerDispatchers = new PeerDispatchers(idleLiveness);
  private readonly jobs = new Map<JobId, RoutedJob>();
  private readonly waiting = new WaitingJobCounts();
  /** The addresses of the dispatchers that accept jobs, by service. */
  private homes: ReadonlyMap<ServiceName, readonly Address[]> = new Map();
  private readonly metrics: Metrics;
  private readonly reconnectTimer: NodeJS.Timeout;

  constructor(private readonly options: JobRouterOptions) {
    this.metrics = options.metrics ?? noopMetrics;
    this.reconnectTimer = setInterval(
      () => this.connect(),
      reconnectIntervalMs,
    );
    this.reconnectTimer.unref();
  }

  /** The number of routed jobs without an outcome. */
  get jobCount(): number {
    return this.jobs.size;
  }

  /** The number of connected dispatchers. */
  get homeCount(): number {
    const homes = [...this.homes.values()].flat();
    return homes.filter(home => this.peerDispatchers.isConnected(home)).length;
  }

  /** True when some dispatcher is connected. */
  get isConnected(): boolean {
    return this.homeCount > 0;
  }

  /** Returns counts of jobs and connected dispatchers for the log. */
  describe(): Readonly<Record<string, number>> {
    return {jobs: this.jobCount, homes: this.homeCount};
  }

  /** Sums the waiting jobs of a queue from dispatchers' recent reports. */
  countWaiting(queue: string): number {
    return this.waiting.sum(queue, monotonicClock.now());
  }

  /** Updates the dispatchers from control's view: each target has one at its address. */
  follow(view: View): void {
    this.homes = new Map(
      [...groupTargets(view)].map(([service, targets]) => [
        service,
        chooseHomeDispatchers(service, targets, view.evacuated)
          .filter(({leaving}) => !leaving)
          .map(({address}) => address),
      ]),
    );
    this.connect();
  }

  /** Has a dispatcher run a job to its end. Resolves at the latest when its caller stops waiting. */
  async submit(submission: JobSubmission): Promise<JobOutcome> {
    const {id} = submission.job;
    const known = this.jobs.get(id);
    if (known !== undefined) {
      return new Promise(resolve => known.waiters.push(resolve));
    }
    const refusal = this.checkSaturation(submission);
    if (refusal !== undefined) return refusal;
    const routed: RoutedJob = {waiters: [], home: undefined};
    this.jobs.set(id, routed);
    const outcome = await this.relay(submission, routed);
    if (this.jobs.get(id) === routed) this.jobs.delete(id);
    for (const resolve of routed.waiters) resolve(outcome);
    this.measure(submission, outcome);
    return outcome;
  }

  /** Cancels a job whose caller has disconnected. */
  cancel(id: JobId): void {
    const home = this.jobs.get(id)?.home;
    this.jobs.delete(id);
    if (home !== undefined) void this.peerDispatchers.cancel(home, id);
  }

  /**
   * Cancels a job for its caller, wherever it was submitted. When no home of its queue's service has it, those
   * of the others are asked, as the queue may have moved since. The result is `uncertain` when none answers
   * in time.
   */
  async cancelForCaller(
    job: JobId,
    {service}: QueueConfig,
    deadline: Instant,
  ): Promise<CancelJobResult> {
    const result = await this.cancelInService(job, service, deadline);
    if (result.kind === 'cancelled' || result.kind === 'ended') return result;
    const others = [...this.homes.keys()].filter(each => each !== service);
    const results = await Promise.all(
      others.map(each => this.cancelInService(job, each, deadline)),
    );
    return results.find(({kind}) => kind === 'cancelled') ?? result;
  }

  /** Asks the homes of a service in rank until one answers, which has the owner end the job. */
  private async cancelInService(
    job: JobId,
    service: ServiceName,
    deadline: Instant,
  ): Promise<CancelJobResult> {
    const homes = this.listReachableHomes(service);
    for (const home of rankRegistrars(job, homes).slice(0, maxHomes)) {
      const result = await this.peerDispatchers.cancelForCaller(
        home,
        {job, service},
        deadline,
      );
      if (result !== undefined) return result;
    }
    return {kind: 'uncertain'};
  }

  async [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.reconnectTimer);
    await this.peerDispatchers[Symbol.asyncDispose]();
  }

  private connect(): void {
    const ready = [...this.homes.values()].flat().slice(0, maxEagerConnections);
    for (const address of ready) void this.peerDispatchers.connect(address);
  }

  /** Asks the job's home to run it. While a refusal concerns only the dispatcher that was asked, the next one in rank is asked. */
  private async relay(
    submission: JobSubmission,
    routed: RoutedJob,
  ): Promise<JobOutcome> {
    const {job, queue, callerDeadline, arrivedAt} = submission;
    const homes = this.listReachableHomes(queue.service);
    let refusal: JobOutcome | undefined;
    let asked = 0;
    for (const home of rankRegistrars(job.id, homes)) {
      if (asked === maxHomes) break;
      routed.home = home;
      const now = monotonicClock.now();
      const relayed = await this.peerDispatchers.relay(
        home,
        {
          job,
          queue,
          ageMs: Math.max(0, now - arrivedAt),
          remainingMs: computeRemainingMs(now, callerDeadline),
          knowsCancelled: true,
        },
        callerDeadline,
      );
      switch (relayed.kind) {
        case 'unsent':
          continue;
        case 'lost':
          this.logLost(job.id, home);
          return {kind: 'expired'};
        case 'answered':
          break;
        default:
          return failUnreachable(relayed);
      }
      asked++;
      const {end, waiting} = relayed.result;
      this.waiting.record(queue.name, home, waiting, monotonicClock.now());
      if (end.kind !== 'refused' || !isDispatcherCause(end.cause)) return end;
      refusal = end;
    }
    return refusal ?? this.refuse(submission);
  }

  /**
   * Lists the connected homes, or all homes when none is connected: dialling an unreachable one takes
   * longer to fail than a short job may last. Reconnecting happens in the background.
   */
  private listReachableHomes(service: ServiceName): readonly Address[] {
    const homes = this.homes.get(service) ?? [];
    const ready = homes.filter(home => this.peerDispatchers.isConnected(home));
    return ready.length > 0 ? ready : homes;
  }

  /** Refuses a job that this process would answer too late because its event loop lags. */
  private checkSaturation(submission: JobSubmission): JobOutcome | undefined {
    const {job, queue} = submission;
    const lagMs = this.options.readLagMs?.() ?? 0;
    const decision = checkSaturation(
      {
        chainMs: estimateCriticalPathMs(job),
        answerDeadline: chooseAnswerDeadline(submission, lagMs),
      },
      lagMs,
      monotonicClock.now(),
    );
    if (decision.kind === 'admit') return undefined;
    const {retryAfterMs} = decision;
    this.options.log.info(
      {
        event: 'job-refused',
        job: job.id,
        queue: queue.name,
        cause: 'saturated',
        lagMs: Math.round(lagMs),
        retryAfterMs,
      },
      'refused a job: this process is saturated',
    );
    const detail = 'this entry cannot come to it before its caller leaves';
    return {kind: 'refused', cause: 'saturated', retryAfterMs, detail};
  }

  private refuse({job, queue}: JobSubmission): JobOutcome {
    const detail = `no dispatcher of service "${queue.service}" can be reached`;
    this.options.log.warn(
      {event: 'job-refused', job: job.id, queue: queue.name, cause: 'no-home'},
      'refused a job: no dispatcher of its service can be reached',
    );
    return {
      kind: 'refused',
      cause: 'no-target',
      retryAfterMs: noHomeRetryMs,
      detail,
    };
  }

  private logLost(job: JobId, home: Address): void {
    this.options.log.info(
      {event: 'job-lost', job, home},
      'the outcome of a job is unknown: its dispatcher stopped responding, or its caller stopped waiting',
    );
  }

  private measure(
    {queue, arrivedAt}: JobSubmission,
    {kind: outcome}: JobOutcome,
  ): void {
    const ageMs = monotonicClock.now() - arrivedAt;
    const tags = {queue: queue.name, outcome};
    this.metrics.increment('routed.jobs', 1, tags);
    this.metrics.timing('routed.job.response', ageMs, tags);
  }
}

/** True when a refusal concerns the dispatcher that was asked, so that another one may accept the job. */
function isDispatcherCause(cause: RefusalCause): boolean {
  switch (cause) {
    case 'leaving':
    case 'saturated':
    case 'no-target':
      return true;
    case 'backlog':
    case 'no-room':
      return false;
    default:
      return failUnreachable(cause);
  }
}
