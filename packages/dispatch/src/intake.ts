import type {Instant, QueueConfig, ServiceName} from '#model';
import {
  computeDueMs,
  computeUsefulMs,
  estimateChainMs,
  type JobState,
} from '#jobs';
import {
  estimateBacklogMs,
  judgeBacklog,
  judgeSaturation,
  type PoolBacklog,
  type RoomTarget,
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
    const backlog = measureBacklog(queue.service, targets, jobs);
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
    return {kind: 'refused', retryAfterMs, detail};
  }

  /** Estimates when the targets will have done what waits now, in ms. */
  estimateRetryMs(service: ServiceName, jobs: Iterable<ActiveJob>): number {
    const targets = this.options.fleet.listTargets(service);
    const backlogMs = estimateBacklogMs(measureBacklog(service, targets, jobs));
    return Math.min(maxRetryMs, Math.max(noTargetRetryMs, backlogMs));
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
    return {kind: 'refused', retryAfterMs: noTargetRetryMs, detail};
  }
}

function measureBacklog(
  service: ServiceName,
  targets: readonly RoomTarget[],
  jobs: Iterable<ActiveJob>,
): PoolBacklog {
  let workCoreMs = 0;
  for (const {state, queue} of jobs) {
    if (queue.service === service) workCoreMs += measureWaiting(state);
  }
  const rate = targets.reduce(
    (sum, {room, slowness}) => sum + room.cpuMillis / slowness,
    0,
  );
  return {workCoreMs, rate};
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
