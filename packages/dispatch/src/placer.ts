import type {Instant, ServiceName, TargetId} from '#model';
import {
  hasReady,
  listReady,
  nameRun,
  placeTask,
  type TaskPosition,
} from '#jobs';
import {chooseTarget, reserveRoom, type RoomTarget} from '#policy';
import type {RunTicket} from '#protocol';
import {type ActiveJob, rankJob} from './active-job.js';
import type {Logger} from '#telemetry';
import type {OutstandingRun} from './link.js';
import type {RunnerFleet} from './runner-fleet.js';

type Pool = Map<TargetId, RoomTarget>;

interface PlacedRuns {
  readonly target: TargetId;
  readonly step: number;
  readonly runs: Map<RunTicket, OutstandingRun>;
}

/** Sends ready tasks to targets with room for them, the most urgent job's first. */
export class Placer {
  private nextTicket: RunTicket = 1;

  constructor(
    private readonly fleet: RunnerFleet,
    private readonly log: Logger,
  ) {}

  /** Places what can be placed; returns the jobs of which a task can never be held by any target. */
  placeAll(jobs: Iterable<ActiveJob>, now: Instant): readonly ActiveJob[] {
    const waiting = [...jobs]
      .filter(({state, isHeldBack}) => !isHeldBack && hasReady(state))
      .map(job => ({job, rank: rankJob(job, now)}))
      .sort((a, b) => a.rank - b.rank);
    const pools = new Map<ServiceName, Pool>();
    const impossible: ActiveJob[] = [];
    for (const {job, rank} of waiting) {
      const pool = this.openPool(pools, job.queue.service);
      if (!this.placeJob(job, rank, pool, now)) impossible.push(job);
    }
    return impossible;
  }

  private openPool(pools: Map<ServiceName, Pool>, service: ServiceName): Pool {
    const known = pools.get(service);
    if (known !== undefined) return known;
    const targets = this.fleet.listTargets(service);
    const pool = new Map(targets.map(target => [target.target, target]));
    pools.set(service, pool);
    return pool;
  }

  /** False when a task fits no target even when it is empty. */
  private placeJob(
    job: ActiveJob,
    rank: number,
    pool: Pool,
    now: Instant,
  ): boolean {
    const placed: [TaskPosition, TargetId][] = [];
    const joined = new Map<number, Set<TargetId>>();
    let targets = [...pool.values()];
    for (const pos of listReady(job.state)) {
      const step = job.state.job.steps[pos.step]!;
      const task = job.state.steps[pos.step]![pos.index]!;
      const choice = chooseTarget(
        {
          ...step,
          rank,
          dueAt: job.dueAt,
          joined: joined.get(pos.step),
          ...(task.kind === 'ready' && {avoid: task.avoid}),
        },
        targets,
        now,
      );
      if (choice.kind === 'impossible') return false;
      if (choice.kind === 'wait') continue;
      const target = pool.get(choice.target)!;
      pool.set(choice.target, reserveRoom(target, {...step, rank}));
      targets = [...pool.values()];
      placed.push([pos, choice.target]);
      const told = joined.get(pos.step) ?? new Set<TargetId>();
      joined.set(pos.step, told.add(choice.target));
    }
    this.sendRuns(job, rank, placed, now);
    return true;
  }

  private sendRuns(
    job: ActiveJob,
    rank: number,
    placed: readonly (readonly [TaskPosition, TargetId])[],
    now: Instant,
  ): void {
    const batches = new Map<string, PlacedRuns>();
    for (const [pos, target] of placed) {
      const run = this.openRun(job, pos, target, now);
      const key = `${target} ${pos.step}`;
      const batch = batches.get(key) ?? {
        target,
        step: pos.step,
        runs: new Map(),
      };
      batch.runs.set(run.ticket, run);
      batches.set(key, batch);
    }
    for (const batch of batches.values())
      this.sendBatch(job, rank - now, batch);
  }

  private openRun(
    job: ActiveJob,
    pos: TaskPosition,
    target: TargetId,
    now: Instant,
  ): OutstandingRun {
    const ref = nameRun(job.state, pos);
    job.state = placeTask(job.state, pos, target);
    const ticket = this.nextTicket++;
    job.tickets.set(ticket, target);
    const {demand} = job.state.job.steps[pos.step]!;
    return {
      ticket,
      ref,
      demand,
      placedAt: now,
      slownessThen: this.fleet.find(target)!.slowness,
      isMoving: false,
    };
  }

  private sendBatch(
    job: ActiveJob,
    rankMs: number,
    {target, step, runs}: PlacedRuns,
  ): void {
    const {id, payload, steps} = job.state.job;
    const {demand, estimateMs} = steps[step]!;
    this.log.debug(
      {event: 'runs-placed', job: id, step, target, runs: runs.size, rankMs},
      'told a target to run tasks',
    );
    this.fleet.find(target)!.place(
      {
        job: id,
        payload,
        step,
        demand,
        estimateMs,
        rankMs,
        runs: [...runs].map(([ticket, {ref}]) => [ticket, ref.index, ref.run]),
      },
      runs,
    );
  }
}
