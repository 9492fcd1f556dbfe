import type {Instant, ServiceName, TargetId} from '#model';
import {
  findFreeTarget,
  type LocalityPolicy,
  type MovableRun,
  reserveCapacity,
  type CandidateTarget,
  shouldMove,
} from '#policy';
import type {RunTicket} from '#protocol';
import type {Logger} from '#telemetry';
import {type ActiveJob, rankJob} from './active-job.js';
import type {OutstandingRun, RunnerLink} from './link.js';
import type {RunnerFleet} from './runner-fleet.js';

/** The minimum time between two checks; a slow target is detected within some tenths of a second. */
const checkIntervalMs = 30;

export interface RunMoverOptions {
  readonly fleet: RunnerFleet;
  readonly findJob: (id: string) => ActiveJob | undefined;
  readonly log: Logger;
  readonly locality?: LocalityPolicy;
}

/** Moves runs off targets that have become slow, so that their jobs end in time elsewhere. */
export class RunMover {
  private checkedAt: Instant = -Infinity;

  constructor(private readonly options: RunMoverOptions) {}

  /** Checks the runs on slow targets, at most once per `checkIntervalMs`. */
  moveSlowRuns(now: Instant): void {
    if (now < this.checkedAt + checkIntervalMs) return;
    this.checkedAt = now;
    const pools = new Map<ServiceName, Map<TargetId, CandidateTarget>>();
    for (const link of this.options.fleet.listSlowedLinks()) {
      const pool = pools.get(link.service) ?? this.openPool(link.service);
      pools.set(link.service, pool);
      this.moveFrom(link, pool, now);
    }
  }

  private openPool(service: ServiceName): Map<TargetId, CandidateTarget> {
    const targets = this.options.fleet.listTargets(service);
    return new Map(targets.map(target => [target.target, target]));
  }

  private moveFrom(
    link: RunnerLink,
    pool: Map<TargetId, CandidateTarget>,
    now: Instant,
  ): void {
    const moved: RunTicket[] = [];
    for (const run of link.listRuns()) {
      const job = this.options.findJob(run.ref.job);
      if (job === undefined || job.isAnswered || run.isMoving) continue;
      if (!this.tryMove(link, run, job, pool, now)) continue;
      run.isMoving = true;
      moved.push(run.ticket);
    }
    if (moved.length === 0) return;
    this.options.log.info(
      {
        event: 'runs-moved',
        target: link.target,
        runs: moved.length,
        slowness: link.slowness,
      },
      'withdrawing runs from a target that has become slow',
    );
    link.withdraw(moved);
  }

  /** True when the run is to be moved; the capacity that it needs is then reserved in the pool. */
  private tryMove(
    link: RunnerLink,
    run: OutstandingRun,
    job: ActiveJob,
    pool: Map<TargetId, CandidateTarget>,
    now: Instant,
  ): boolean {
    const step = job.state.job.steps[run.ref.step]!;
    const others = [...pool.values()].filter(
      ({target}) => target !== link.target,
    );
    const rank = rankJob(job, now);
    const {locality} = this.options;
    const task = {...step, rank, dueAt: job.dueAt, locality};
    const place = findFreeTarget(task, others);
    if (place === undefined) return false;
    const movable: MovableRun = {
      estimateMs: step.estimateMs * run.remoteFactor,
      placedAt: run.placedAt,
      slownessAtPlacement: run.slownessAtPlacement,
      dueAt: job.dueAt,
      callerDeadline: job.callerDeadline,
    };
    if (!shouldMove(movable, link.slowness, place.cost, now)) return false;
    const target = pool.get(place.target)!;
    pool.set(place.target, reserveCapacity(target, {...step, rank}));
    return true;
  }
}
