import type {Instant, QueueConfig, ServiceName} from '#model';
import {
  computeDueMs,
  computeUsefulMs,
  estimateChainMs,
  type JobState,
} from '#jobs';
import {
  estimateBacklogMs,
  type DispatcherLoad,
  judgeBacklog,
  judgeSaturation,
  type PoolBacklog,
  type RoomTarget,
  estimatePoolBacklog,
} from '#policy';
import type {Logger, Metrics} from '#telemetry';
import type {ActiveJob, JobOutcome, JobSubmission} from './active-job.js';
import type {RunnerFleet} from './runner-fleet.js';

type Refusal = Extract<JobOutcome, {kind: 'refused'}>;

/** How long a caller waits when nothing could take its job, in ms. */
const noTargetRetryMs = 500;
const maxRetryMs = 5000;

export interface IntakeOptions {
  readonly fleet: RunnerFleet;
  /** Lists what other dispatchers have told of their load lately. */
  readonly listLoads: () => readonly DispatcherLoad[];
  /** Counts the dispatchers that share the targets of a service. */
  readonly countDispatchers: (service: ServiceName) => number;
  readonly log: Logger;
  readonly metrics: Metrics;
  /** Reads how late this process's event loop is, in ms. */
  readonly readLagMs: () => number;
}

/** Decides which jobs a dispatcher takes. */
export class Intake {
  constructor(private readonly options: IntakeOptions) {}

  /** Refuses a job that cannot be run before its caller leaves; undefined when it is taken. */
  judge(
    submission: JobSubmission,
    jobs: Iterable<ActiveJob>,
    now: Instant,
  ): Refusal | undefined {
    const {job, queue, arrivedAt, leavesAt} = submission;
    const saturated = this.judgeSaturation(submission, now);
    if (saturated !== undefined) return saturated;
    const targets = this.options.fleet.listTargets(queue.service);
    if (this.options.fleet.isReturning(queue.service)) return undefined;
    if (targets.length === 0) return this.judgeWithoutTargets(submission);
    const chainMs = estimateChainMs(job);
    const uselessAt = arrivedAt + computeUsefulMs(job, queue.objective);
    const backlog = this.estimateBacklog(queue.service, targets, jobs);
    const verdict = judgeBacklog(
      {
        chainMs,
        dueAt: arrivedAt + computeDueMs(job, queue.objective),
        leavesAt: Math.min(leavesAt, uselessAt),
      },
      backlog,
      now,
    );
    if (verdict.kind === 'admit') return undefined;
    this.countRefusal(queue, 'backlog');
    this.options.log.info(
      {
        event: 'job-refused',
        job: job.id,
        queue: queue.name,
        cause: 'backlog',
        backlogMs: Math.round(estimateBacklogMs(backlog)),
        chainMs,
        patienceMs: Math.round(leavesAt - now),
        targets: targets.length,
        retryAfterMs: verdict.retryAfterMs,
      },
      'refused a job: the targets cannot come to it in time',
    );
    return {
      kind: 'refused',
      cause: 'backlog',
      retryAfterMs: verdict.retryAfterMs,
      detail: 'the targets cannot come to it before its caller leaves',
    };
  }

  /** Refuses a job that this process would answer too late, whatever the targets could do. */
  private judgeSaturation(
    {job, queue, arrivedAt, leavesAt}: JobSubmission,
    now: Instant,
  ): Refusal | undefined {
    const lagMs = this.options.readLagMs();
    const uselessAt = arrivedAt + computeUsefulMs(job, queue.objective);
    const chainMs = estimateChainMs(job);
    const verdict = judgeSaturation(
      {chainMs, leavesAt: Math.min(leavesAt, uselessAt)},
      lagMs,
      now,
    );
    if (verdict.kind === 'admit') return undefined;
    const {retryAfterMs} = verdict;
    this.countRefusal(queue, 'saturated');
    this.options.log.info(
      {
        event: 'job-refused',
        job: job.id,
        queue: queue.name,
        cause: 'saturated',
        lagMs: Math.round(lagMs),
        chainMs,
        patienceMs: Math.round(leavesAt - now),
        retryAfterMs,
      },
      'refused a job: this process is at the limit of its processor',
    );
    const detail = 'this entry cannot come to it before its caller leaves';
    return {kind: 'refused', cause: 'saturated', retryAfterMs, detail};
  }

  /** Estimates when the targets will have done what waits now, in ms. */
  estimateRetryMs(service: ServiceName, jobs: Iterable<ActiveJob>): number {
    const targets = this.options.fleet.listTargets(service);
    const backlog = this.estimateBacklog(service, targets, jobs);
    const backlogMs = estimateBacklogMs(backlog);
    return Math.min(maxRetryMs, Math.max(noTargetRetryMs, backlogMs));
  }

  /** Estimates what waits at all dispatchers and what all targets can do, by what is known of some. */
  private estimateBacklog(
    service: ServiceName,
    targets: readonly RoomTarget[],
    jobs: Iterable<ActiveJob>,
  ): PoolBacklog {
    const {countDispatchers, fleet, listLoads} = this.options;
    const told = listLoads().map(({waitingCoreMs}) => waitingCoreMs);
    return estimatePoolBacklog({
      ownCoreMs: sumWaiting(service, jobs),
      reportedCoreMs: told,
      dispatchers: countDispatchers(service),
      rates: targets.map(({room, slowness}) => room.cpuMillis / slowness),
      targets: fleet.listKnown(service).length,
    });
  }

  private countRefusal({name}: QueueConfig, cause: string): void {
    this.options.metrics.increment('queued.refusals', 1, {queue: name, cause});
  }

  private judgeWithoutTargets({
    job,
    queue,
  }: JobSubmission): Refusal | undefined {
    this.countRefusal(queue, 'no-target');
    const detail = `no target of service "${queue.service}" can be reached`;
    this.options.log.warn(
      {
        event: 'job-refused',
        job: job.id,
        queue: queue.name,
        cause: 'no-target',
        retryAfterMs: noTargetRetryMs,
      },
      'refused a job: no target of its service can be reached',
    );
    return {
      kind: 'refused',
      cause: 'no-target',
      retryAfterMs: noTargetRetryMs,
      detail,
    };
  }
}

/** Sums up the work of a service's jobs that waits for a target, in thousandths of a core times ms. */
export function sumWaiting(
  service: ServiceName,
  jobs: Iterable<ActiveJob>,
): number {
  let workCoreMs = 0;
  for (const {state, queue} of jobs) {
    if (queue.service === service) workCoreMs += measureWaiting(state);
  }
  return workCoreMs;
}

/** Sums up the work of a job's tasks that wait for a target, in thousandths of a core times ms. */
function measureWaiting(state: JobState): number {
  let work = 0;
  for (const [step, tasks] of state.steps.entries()) {
    const {demand, estimateMs} = state.job.steps[step]!;
    for (const {kind} of tasks) {
      if (kind === 'ready' || kind === 'blocked') {
        work += demand.cpuMillis * estimateMs;
      }
    }
  }
  return work;
}
