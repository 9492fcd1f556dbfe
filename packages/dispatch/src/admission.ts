import type {Instant, QueueConfig, ServiceName} from '#model';
import {
  computeDueMs,
  computeUsefulLifetimeMs,
  estimateCriticalPathMs,
  type JobState,
} from '#jobs';
import {
  estimateBacklogMs,
  type DispatcherLoad,
  checkBacklog,
  checkEvacuation,
  checkSaturation,
  chooseAdmissionDeadline,
  type PoolBacklog,
  type CandidateTarget,
  estimatePoolBacklog,
} from '#policy';
import type {Logger, Metrics} from '#telemetry';
import type {ActiveJob, JobOutcome, JobSubmission} from './active-job.js';
import type {RunnerFleet} from './runner-fleet.js';

type Refusal = Extract<JobOutcome, {kind: 'refused'}>;

/** The retry delay while no target is reachable, and the minimum one for a job refused after waiting. */
const noTargetRetryMs = 500;
const maxRetryMs = 5000;
/** Short, as another dispatcher can take the job at once. */
const leavingRetryMs = 200;
/** Refuses jobs while a dispatcher is shutting down. */
export const leavingRefusal: Refusal = {
  kind: 'refused',
  cause: 'leaving',
  retryAfterMs: leavingRetryMs,
  detail: 'this dispatcher is about to stop',
};
const emptyBacklog: PoolBacklog = {workMillicoreMs: 0, rate: 1};

export interface AdmissionOptions {
  readonly fleet: Pick<
    RunnerFleet,
    | 'isEvacuatedOnly'
    | 'isTemporarilyUnreachable'
    | 'countInService'
    | 'listTargets'
  >;
  /** Lists the recently reported loads of other dispatchers. */
  readonly listLoads: () => readonly DispatcherLoad[];
  /** Counts the dispatchers that share the targets of a service. */
  readonly countDispatchers: (service: ServiceName) => number;
  readonly log: Logger;
  readonly metrics: Metrics;
  /** Returns this process's event loop lag in ms. */
  readonly readLagMs: () => number;
}

/** Decides which jobs a dispatcher accepts. */
export class Admission {
  constructor(private readonly options: AdmissionOptions) {}

  /**
   * Refuses a job that cannot end while its answer is useful; returns undefined when it is accepted.
   * While connections to targets are being opened, the backlog is not known: a job is then refused only
   * where late jobs are avoided and it would be late even if it started now.
   */
  checkAdmission(
    submission: JobSubmission,
    jobs: Iterable<ActiveJob>,
    now: Instant,
  ): Refusal | undefined {
    const {job, queue, callerDeadline} = submission;
    const saturated = this.checkSaturation(submission, now);
    if (saturated !== undefined) return saturated;
    if (this.options.fleet.isEvacuatedOnly(queue.service, job)) {
      return this.checkEvacuation(submission, now);
    }
    const targets = this.options.fleet.listTargets(queue.service);
    const isConnecting = this.options.fleet.isTemporarilyUnreachable(
      queue.service,
    );
    if (isConnecting && queue.lateJobs !== 'avoid') return undefined;
    if (!isConnecting && targets.length === 0) {
      return this.refuseWithoutTargets(submission);
    }
    const chainMs = estimateCriticalPathMs(job);
    const backlog = isConnecting
      ? emptyBacklog
      : this.estimateBacklog(queue.service, targets, jobs);
    const answerDeadline = chooseAnswerDeadline(
      submission,
      isConnecting ? Infinity : estimateBacklogMs(backlog),
    );
    const decision = checkBacklog({chainMs, answerDeadline}, backlog, now);
    if (decision.kind === 'admit') return undefined;
    const {retryAfterMs} = decision;
    this.countRefusal(queue, 'backlog');
    this.options.log.info(
      {
        event: 'job-refused',
        job: job.id,
        queue: queue.name,
        cause: 'backlog',
        backlogMs: Math.round(estimateBacklogMs(backlog)),
        chainMs,
        remainingMs: Math.round(answerDeadline - now),
        patienceMs: Math.round(callerDeadline - now),
        targets: targets.length,
        isConnecting,
        retryAfterMs,
      },
      'refused a job: the backlog at the targets is too long for it',
    );
    return {
      kind: 'refused',
      cause: 'backlog',
      retryAfterMs,
      detail: 'the targets cannot come to it while its answer is of use',
    };
  }

  /** Refuses a job that this process would answer too late because its event loop lags, whatever the targets could do. */
  private checkSaturation(
    submission: JobSubmission,
    now: Instant,
  ): Refusal | undefined {
    const {job, queue, callerDeadline} = submission;
    const lagMs = this.options.readLagMs();
    const chainMs = estimateCriticalPathMs(job);
    const answerDeadline = chooseAnswerDeadline(submission, lagMs);
    const decision = checkSaturation({chainMs, answerDeadline}, lagMs, now);
    if (decision.kind === 'admit') return undefined;
    const {retryAfterMs} = decision;
    this.countRefusal(queue, 'saturated');
    this.options.log.info(
      {
        event: 'job-refused',
        job: job.id,
        queue: queue.name,
        cause: 'saturated',
        lagMs: Math.round(lagMs),
        chainMs,
        patienceMs: Math.round(callerDeadline - now),
        retryAfterMs,
      },
      'refused a job: this process is saturated',
    );
    const detail = 'this entry cannot come to it before its caller leaves';
    return {kind: 'refused', cause: 'saturated', retryAfterMs, detail};
  }

  /** Refuses a job that only targets of evacuated failure domains could run, unless it can wait for them. */
  private checkEvacuation(
    {job, queue, arrivedAt, callerDeadline}: JobSubmission,
    now: Instant,
  ): Refusal | undefined {
    const uselessAt = arrivedAt + computeUsefulLifetimeMs(job, queue.objective);
    const decision = checkEvacuation(
      {
        chainMs: estimateCriticalPathMs(job),
        answerDeadline: Math.min(callerDeadline, uselessAt),
      },
      now,
    );
    if (decision.kind === 'admit') return undefined;
    const {retryAfterMs} = decision;
    this.countRefusal(queue, 'evacuated');
    this.options.log.info(
      {
        event: 'job-refused',
        job: job.id,
        queue: queue.name,
        cause: 'evacuated',
        patienceMs: Math.round(callerDeadline - now),
        retryAfterMs,
      },
      'refused a job: only targets of evacuated failure domains could run it',
    );
    const detail = 'only targets of evacuated failure domains could run it';
    return {kind: 'refused', cause: 'no-room', retryAfterMs, detail};
  }

  /** Estimates how long the targets need for the current backlog, in ms, within bounds for a retry delay. */
  estimateRetryMs(service: ServiceName, jobs: Iterable<ActiveJob>): number {
    const targets = this.options.fleet.listTargets(service);
    const backlog = this.estimateBacklog(service, targets, jobs);
    const backlogMs = estimateBacklogMs(backlog);
    return Math.min(maxRetryMs, Math.max(noTargetRetryMs, backlogMs));
  }

  /** Estimates the backlog of all dispatchers and the throughput of all targets, extrapolating from the known ones. */
  private estimateBacklog(
    service: ServiceName,
    targets: readonly CandidateTarget[],
    jobs: Iterable<ActiveJob>,
  ): PoolBacklog {
    const {countDispatchers, fleet, listLoads} = this.options;
    const reportedMillicoreMs = listLoads().map(
      ({waitingCoreMs}) => waitingCoreMs,
    );
    return estimatePoolBacklog({
      ownMillicoreMs: sumWaitingWork(service, jobs),
      reportedMillicoreMs,
      dispatchers: countDispatchers(service),
      rates: targets.map(
        ({capacity, slowness}) => capacity.cpuMillis / slowness,
      ),
      targets: fleet.countInService(service),
    });
  }

  private countRefusal({name}: QueueConfig, cause: string): void {
    this.options.metrics.increment('queued.refusals', 1, {queue: name, cause});
  }

  private refuseWithoutTargets({
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

/** Chooses when a job must be expected to end to be admitted, if new work waits this long, in ms. */
export function chooseAnswerDeadline(
  {job, queue, arrivedAt, callerDeadline}: JobSubmission,
  waitMs: number,
): Instant {
  const {objective, lateJobs} = queue;
  const dueAt = arrivedAt + computeDueMs(job, objective);
  const uselessAt = arrivedAt + computeUsefulLifetimeMs(job, objective);
  const answerDeadline = Math.min(callerDeadline, uselessAt);
  return chooseAdmissionDeadline({dueAt, answerDeadline}, lateJobs, waitMs);
}

/** Sums the unplaced work of a service's jobs, in millicore-milliseconds. */
export function sumWaitingWork(
  service: ServiceName,
  jobs: Iterable<ActiveJob>,
): number {
  let workMillicoreMs = 0;
  for (const {state, queue} of jobs) {
    if (queue.service === service)
      workMillicoreMs += sumWaitingWorkOfJob(state);
  }
  return workMillicoreMs;
}

/** Sums the work of a job's unplaced tasks, in millicore-milliseconds. */
function sumWaitingWorkOfJob(state: JobState): number {
  let workMillicoreMs = 0;
  for (const [step, tasks] of state.steps.entries()) {
    const {demand, estimateMs} = state.job.steps[step]!;
    for (const {kind} of tasks) {
      if (kind === 'ready' || kind === 'blocked') {
        workMillicoreMs += demand.cpuMillis * estimateMs;
      }
    }
  }
  return workMillicoreMs;
}
