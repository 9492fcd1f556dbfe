import type {Instant, ServiceName, TargetId} from '#model';
import {
  findRoom,
  type MovableRun,
  reserveRoom,
  type RoomTarget,
  shouldMove,
} from '#policy';
import type {RunTicket} from '#protocol';
import type {Logger} from '#telemetry';
import {type ActiveJob, rankJob} from './active-job.js';
import type {OutstandingRun, RunnerLink} from './link.js';
import type {RunnerFleet} from './runner-fleet.js';

/** Between two looks at the runs, in ms: a slow target is known within some tenths of a second. */
const lookIntervalMs = 30;

/** Takes runs from targets that have turned slow, so that their jobs are in time elsewhere. */
export class Rescuer {
  private lookedAt: Instant = -Infinity;

  constructor(
    private readonly fleet: RunnerFleet,
    private readonly findJob: (id: string) => ActiveJob | undefined,
    private readonly log: Logger,
  ) {}

  /** Looks at all runs, unless it has just done so. */
  look(now: Instant): void {
    if (now < this.lookedAt + lookIntervalMs) return;
    this.lookedAt = now;
    const pools = new Map<ServiceName, Map<TargetId, RoomTarget>>();
    for (const link of this.fleet.listSlowed()) {
      const pool = pools.get(link.service) ?? this.openPool(link.service);
      pools.set(link.service, pool);
      this.moveFrom(link, pool, now);
    }
  }

  private openPool(service: ServiceName): Map<TargetId, RoomTarget> {
    const targets = this.fleet.listTargets(service);
    return new Map(targets.map(target => [target.target, target]));
  }

  private moveFrom(
    link: RunnerLink,
    pool: Map<TargetId, RoomTarget>,
    now: Instant,
  ): void {
    const moved: RunTicket[] = [];
    for (const run of link.listRuns()) {
      const job = this.findJob(run.ref.job);
      if (job === undefined || job.isAnswered || run.isMoving) continue;
      if (!this.tryMove(link, run, job, pool, now)) continue;
      run.isMoving = true;
      moved.push(run.ticket);
    }
    if (moved.length === 0) return;
    this.log.info(
      {
        event: 'runs-moved',
        target: link.target,
        runs: moved.length,
        slowness: link.slowness,
      },
      'runs are taken from a target that has turned slow',
    );
    link.withdraw(moved);
  }

  /** True when the run is to be moved; the room that it needs is then taken from the pool. */
  private tryMove(
    link: RunnerLink,
    run: OutstandingRun,
    job: ActiveJob,
    pool: Map<TargetId, RoomTarget>,
    now: Instant,
  ): boolean {
    const step = job.state.job.steps[run.ref.step]!;
    const others = [...pool.values()].filter(
      ({target}) => target !== link.target,
    );
    const rank = rankJob(job, now);
    const place = findRoom({...step, rank, dueAt: job.dueAt}, others);
    if (place === undefined) return false;
    const movable: MovableRun = {
      estimateMs: step.estimateMs,
      placedAt: run.placedAt,
      slownessThen: run.slownessThen,
      dueAt: job.dueAt,
      leavesAt: job.leavesAt,
    };
    if (!shouldMove(movable, link.slowness, place.cost, now)) return false;
    const target = pool.get(place.target)!;
    pool.set(place.target, reserveRoom(target, {...step, rank}));
    return true;
  }
}
