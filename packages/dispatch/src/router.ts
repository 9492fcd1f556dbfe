import {
  type Address,
  computeRemainingMs,
  failUnreachable,
  type JobId,
  monotonicClock,
  type ServiceName,
} from '#model';
import type {View} from '#membership';
import {computeUsefulMs, estimateChainMs} from '#jobs';
import {chooseHomes, judgeSaturation} from '#policy';
import type {Liveness, RefusalCause} from '#protocol';
import {type Logger, type Metrics, silentMetrics} from '#telemetry';
import type {JobOutcome, JobSubmission} from './active-job.js';
import {rankRegistrars} from './claims.js';
import {Fellows} from './fellows.js';
import {groupTargets} from './runner-fleet.js';
import {WaitingCounts} from './waiting-counts.js';

export interface JobRouterOptions {
  readonly log: Logger;
  readonly metrics?: Metrics;
  /** Reads how late this process's event loop is, in ms. */
  readonly readLagMs?: () => number;
}

/** How long a caller waits when no dispatcher could be reached, in ms. */
const noHomeRetryMs = 500;
/** Dispatchers that are asked to take a job: each that refuses costs two messages. */
const maxHomes = 3;
/** Connections that are opened ahead of the first job. */
const maxReadyLines = 64;
/** Connections that were lost are opened again this often, in ms. */
const reconnectMs = 1000;
/** On a connection without jobs, so that a dispatcher that is gone is noticed before a job is lost to it. */
const idleLiveness: Liveness = {probeAfterMs: 1000, silenceLimitMs: 2200};

interface RoutedJob {
  /** Told what becomes of it, beside the first caller. */
  readonly waiters: ((outcome: JobOutcome) => void)[];
  /** Set once it was handed to a dispatcher. */
  home: Address | undefined;
}

/**
 * An entry's part of queued jobs: hands each one whole to its home, the dispatcher beside a target that
 * ranks first for the job's id, and passes its answer on. A job that is submitted to several entries
 * meets itself at its home.
 */
export class JobRouter implements AsyncDisposable {
  private readonly fellows = new Fellows(idleLiveness);
  private readonly jobs = new Map<JobId, RoutedJob>();
  private readonly waiting = new WaitingCounts();
  /** Where the dispatchers listen that take jobs, by service. */
  private homes: ReadonlyMap<ServiceName, readonly Address[]> = new Map();
  private readonly metrics: Metrics;
  private readonly reconnecting: NodeJS.Timeout;

  constructor(private readonly options: JobRouterOptions) {
    this.metrics = options.metrics ?? silentMetrics;
    this.reconnecting = setInterval(() => this.connect(), reconnectMs);
    this.reconnecting.unref();
  }

  /** Jobs handed on and not answered. */
  get jobCount(): number {
    return this.jobs.size;
  }

  /** Dispatchers that could take a job at once. */
  get homeCount(): number {
    const homes = [...this.homes.values()].flat();
    return homes.filter(home => this.fellows.isConnected(home)).length;
  }

  /** True when some dispatcher could take a job. */
  get isConnected(): boolean {
    return this.homeCount > 0;
  }

  /** Counts what is in hand, for the log. */
  describe(): Readonly<Record<string, number>> {
    return {jobs: this.jobCount, homes: this.homeCount};
  }

  /** Counts the jobs of a queue of which no task was placed, as their dispatchers told lately. */
  countWaiting(queue: string): number {
    return this.waiting.sum(queue, monotonicClock.now());
  }

  /** Follows the targets that control knows: a dispatcher stands beside each. */
  follow(view: View): void {
    this.homes = new Map(
      [...groupTargets(view)].map(([service, targets]) => [
        service,
        chooseHomes(service, targets)
          .filter(({leaving}) => !leaving)
          .map(({address}) => address),
      ]),
    );
    this.connect();
  }

  /** Has a job run to its end. Resolves at the latest when its caller leaves. */
  async submit(submission: JobSubmission): Promise<JobOutcome> {
    const {id} = submission.job;
    const known = this.jobs.get(id);
    if (known !== undefined) {
      return new Promise(resolve => known.waiters.push(resolve));
    }
    const refusal = this.judgeSaturation(submission);
    if (refusal !== undefined) return refusal;
    const routed: RoutedJob = {waiters: [], home: undefined};
    this.jobs.set(id, routed);
    const outcome = await this.relay(submission, routed);
    if (this.jobs.get(id) === routed) this.jobs.delete(id);
    for (const tell of routed.waiters) tell(outcome);
    this.measure(submission, outcome);
    return outcome;
  }

  /** Gives a job up whose caller has gone. */
  giveUp(id: JobId): void {
    const home = this.jobs.get(id)?.home;
    this.jobs.delete(id);
    if (home !== undefined) void this.fellows.release(home, id);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.reconnecting);
    await this.fellows[Symbol.asyncDispose]();
  }

  private connect(): void {
    const ready = [...this.homes.values()].flat().slice(0, maxReadyLines);
    for (const address of ready) void this.fellows.connect(address);
  }

  /** Asks the job's home to run it, or the next ones while it is refused for a reason of the one asked. */
  private async relay(
    submission: JobSubmission,
    routed: RoutedJob,
  ): Promise<JobOutcome> {
    const {job, queue, leavesAt, arrivedAt} = submission;
    const homes = this.listReady(queue.service);
    let refusal: JobOutcome | undefined;
    let asked = 0;
    for (const home of rankRegistrars(job.id, homes)) {
      if (asked === maxHomes) break;
      routed.home = home;
      const now = monotonicClock.now();
      const handed = await this.fellows.relay(
        home,
        {
          job,
          queue,
          ageMs: Math.max(0, now - arrivedAt),
          remainingMs: computeRemainingMs(now, leavesAt),
        },
        leavesAt,
      );
      switch (handed.kind) {
        case 'unsent':
          continue;
        case 'lost':
          this.logLost(job.id, home);
          return {kind: 'expired'};
        case 'answered':
          break;
        default:
          return failUnreachable(handed);
      }
      asked++;
      const {end, waiting} = handed.result;
      this.waiting.note(queue.name, home, waiting, monotonicClock.now());
      if (end.kind !== 'refused' || !isOwn(end.cause)) return end;
      refusal = end;
    }
    return refusal ?? this.refuse(submission);
  }

  /**
   * Lists the homes that can be asked at once, or all where none can: a connection to one that is cut off
   * takes longer to fail than a short job may last. They are connected to beside the jobs.
   */
  private listReady(service: ServiceName): readonly Address[] {
    const homes = this.homes.get(service) ?? [];
    const ready = homes.filter(home => this.fellows.isConnected(home));
    return ready.length > 0 ? ready : homes;
  }

  /** Refuses a job that this process would answer too late. */
  private judgeSaturation(submission: JobSubmission): JobOutcome | undefined {
    const {job, queue, arrivedAt, leavesAt} = submission;
    const lagMs = this.options.readLagMs?.() ?? 0;
    const uselessAt = arrivedAt + computeUsefulMs(job, queue.objective);
    const verdict = judgeSaturation(
      {
        chainMs: estimateChainMs(job),
        leavesAt: Math.min(leavesAt, uselessAt),
      },
      lagMs,
      monotonicClock.now(),
    );
    if (verdict.kind === 'admit') return undefined;
    const {retryAfterMs} = verdict;
    this.options.log.info(
      {
        event: 'job-refused',
        job: job.id,
        queue: queue.name,
        cause: 'saturated',
        lagMs: Math.round(lagMs),
        retryAfterMs,
      },
      'refused a job: this process is at the limit of its processor',
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
      'the end of a job is not known: its dispatcher fell silent, or its caller left',
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

/** True of a cause that lies with the dispatcher asked and not with the targets. */
function isOwn(cause: RefusalCause): boolean {
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
