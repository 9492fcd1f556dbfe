import type {
  Instant,
  JobStep,
  ResourceRequest,
  ServiceName,
  TargetId,
} from '#model';
import {
  hasReadyTask,
  listReadyTasks,
  getRunRef,
  placeTask,
  type TaskPosition,
  type TaskState,
} from '#jobs';
import {
  chooseTarget,
  canHoldWhenEmpty,
  computeRemoteFactor,
  isWithinCapacity,
  canWaitAtTarget,
  reserveCapacity,
  type CandidateTarget,
  type LocalityPolicy,
} from '#policy';
import type {RunTicket} from '#protocol';
import {type ActiveJob, estimateLatestStart, rankJob} from './active-job.js';
import type {Logger, Metrics} from '#telemetry';
import type {OutstandingRun, RunnerLink} from './link.js';

/** The part of the runner fleet that placement uses. */
export interface PlacementFleet {
  /** Describes the targets of a service on which runs can be placed. */
  readonly listTargets: (service: ServiceName) => readonly CandidateTarget[];
  readonly find: (
    target: TargetId,
  ) => Pick<RunnerLink, 'slowness' | 'place'> | undefined;
}

/** The targets of a service during one round of placement, in which their free capacity only shrinks. */
interface Pool {
  readonly targets: Map<TargetId, CandidateTarget>;
  /** What fitted on no target in this round; later tasks that need at least as much won't fit either. */
  readonly unplaceable: Unplaceable[];
  /** Processors that tasks wait for near their data, by rack, in thousandths of a core. */
  readonly nearWaitingMillis: Map<string, number>;
}

/** A task that fitted on no target with the required label, leaving out the one to avoid. */
interface Unplaceable {
  readonly demand: ResourceRequest;
  readonly requiredLabel: string | undefined;
  readonly avoid: TargetId | undefined;
}

/** A task and the target that was chosen for it. */
interface PlacedTask {
  readonly pos: TaskPosition;
  readonly target: TargetId;
  /** Whether its run may wait if the target turns out to be full. */
  readonly mayWait: boolean;
  /** Factor on its run time by the distance of its data. */
  readonly remoteFactor: number;
}

interface PlacedRuns {
  readonly target: TargetId;
  readonly step: number;
  readonly mayWait: boolean;
  readonly runs: Map<RunTicket, OutstandingRun>;
}

/** True when some task of a job cannot run on any target, even an empty one. */
function isImpossible({state}: ActiveJob, {targets}: Pool): boolean {
  const all = [...targets.values()];
  if (all.length === 0) return false;
  return state.job.steps.some(
    step => !all.some(target => canHoldWhenEmpty(target, step)),
  );
}

/**
 * True when an equal or smaller demand fitted on none of the targets that a task may use, in this
 * round. That demand came from a job that is at least as urgent, so this task would not displace a
 * queued run either.
 *
 * Load pattern: a full pool in which most waiting tasks were returned by some target, each of them to
 * be avoided. They are tried once for each target to avoid, not once each.
 */
function isUnplaceable(
  {demand, requiredLabel}: JobStep,
  avoid: TargetId | undefined,
  {unplaceable}: Pool,
): boolean {
  return unplaceable.some(
    earlier =>
      (earlier.avoid === undefined || earlier.avoid === avoid) &&
      (earlier.requiredLabel === undefined ||
        earlier.requiredLabel === requiredLabel) &&
      isWithinCapacity(earlier.demand, demand),
  );
}

function getAvoidedTarget(task: TaskState): TargetId | undefined {
  return task.kind === 'ready' ? task.avoid : undefined;
}

/** Whether a job's runs may wait at targets that have filled up since their loads were reported. */
function canWaitAtFullTargets(job: ActiveJob, now: Instant): boolean {
  if (job.queue.urgentRuns !== 'return') return true;
  return canWaitAtTarget(estimateLatestStart(job), now);
}

export interface PlacerOptions {
  readonly metrics?: Metrics;
  /** Unset: no task waits for a target near its data. */
  readonly locality?: LocalityPolicy;
}

/** Places ready tasks on targets with enough free capacity, those of the most urgent job first. */
export class Placer {
  /** True when some task of the last round waits for a faster target; only the passing of time may end this wait. */
  isWaitingForFaster = false;
  private nextTicket: RunTicket = 1;

  constructor(
    private readonly fleet: PlacementFleet,
    private readonly log: Logger,
    private readonly options: PlacerOptions = {},
  ) {}

  /** Places what it can; returns the jobs with a task that no target can ever run. */
  placeAll(jobs: Iterable<ActiveJob>, now: Instant): readonly ActiveJob[] {
    const waiting = [...jobs]
      .filter(({state, isHeldBack}) => !isHeldBack && hasReadyTask(state))
      .map(job => ({job, rank: rankJob(job, now)}))
      .sort((a, b) => a.rank - b.rank);
    this.isWaitingForFaster = false;
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
    const byId = new Map(targets.map(target => [target.target, target]));
    const pool: Pool = {
      targets: byId,
      unplaceable: [],
      nearWaitingMillis: new Map(),
    };
    pools.set(service, pool);
    return pool;
  }

  /** False when some task does not fit any target, even an empty one. */
  private placeJob(
    job: ActiveJob,
    rank: number,
    pool: Pool,
    now: Instant,
  ): boolean {
    if (!job.isFeasibilityChecked && isImpossible(job, pool)) return false;
    job.isFeasibilityChecked = pool.targets.size > 0;
    const {steps} = job.state.job;
    if (steps.every(step => isUnplaceable(step, undefined, pool))) return true;
    const isPatient = canWaitAtFullTargets(job, now);
    const {locality} = this.options;
    // Of earlier rounds: a wait that another task of the step begins in this one is no reason to wait.
    const nearWaits = new Map(job.nearWaits);
    const placed: PlacedTask[] = [];
    const targetsByStep = new Map<number, Set<TargetId>>();
    let isPossible = true;
    let targets = [...pool.targets.values()];
    for (const pos of listReadyTasks(job.state)) {
      const step = job.state.job.steps[pos.step]!;
      const avoid = getAvoidedTarget(job.state.steps[pos.step]![pos.index]!);
      if (isUnplaceable(step, avoid, pool)) continue;
      const choice = chooseTarget(
        {
          ...step,
          rank,
          dueAt: job.dueAt,
          batchTargets: targetsByStep.get(pos.step),
          avoid,
          locality,
          nearWaitDeadline: nearWaits.get(pos.step),
          nearWaitingMillis: pool.nearWaitingMillis.get(step.dataRack ?? ''),
        },
        targets,
        now,
      );
      if (choice.kind === 'impossible') isPossible = false;
      if (choice.kind === 'full' || choice.kind === 'impossible') {
        const {demand, requiredLabel} = step;
        pool.unplaceable.push({demand, requiredLabel, avoid});
      }
      if (choice.kind === 'wait') this.isWaitingForFaster = true;
      if (choice.kind === 'wait-near') {
        this.waitNear(job, pos.step, choice.deadline, pool, now);
      }
      if (choice.kind !== 'place') continue;
      const target = pool.targets.get(choice.target)!;
      pool.targets.set(choice.target, reserveCapacity(target, {...step, rank}));
      targets = [...pool.targets.values()];
      const mayWait = choice.isQueued || isPatient;
      const remoteFactor =
        locality === undefined
          ? 1
          : computeRemoteFactor({...step, locality}, target);
      placed.push({pos, target: choice.target, mayWait, remoteFactor});
      const stepTargets = targetsByStep.get(pos.step) ?? new Set<TargetId>();
      targetsByStep.set(pos.step, stepTargets.add(choice.target));
    }
    this.sendRuns(job, rank, placed, now);
    return isPossible;
  }

  /** Lets a task wait for a target near its data, and those behind it know. */
  private waitNear(
    job: ActiveJob,
    step: number,
    deadline: Instant,
    {nearWaitingMillis}: Pool,
    now: Instant,
  ): void {
    const {demand, dataRack = ''} = job.state.job.steps[step]!;
    const waiting = nearWaitingMillis.get(dataRack) ?? 0;
    nearWaitingMillis.set(dataRack, waiting + demand.cpuMillis);
    this.isWaitingForFaster = true;
    if (job.nearWaits.has(step)) return;
    job.nearWaits.set(step, deadline);
    const waitMs = Math.round(deadline - now);
    this.log.debug(
      {event: 'near-wait', job: job.state.job.id, step, dataRack, waitMs},
      'waiting for a target near the data',
    );
  }

  private sendRuns(
    job: ActiveJob,
    rank: number,
    placed: readonly PlacedTask[],
    now: Instant,
  ): void {
    const batches = new Map<string, PlacedRuns>();
    for (const task of placed) {
      const {pos, target, mayWait} = task;
      const run = this.openRun(job, task, now);
      const key = `${target} ${pos.step} ${mayWait}`;
      const batch = batches.get(key) ?? {
        target,
        step: pos.step,
        mayWait,
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
    {pos, target, remoteFactor}: PlacedTask,
    now: Instant,
  ): OutstandingRun {
    const ref = getRunRef(job.state, pos);
    job.state = placeTask(job.state, pos, target);
    const ticket = this.nextTicket++;
    job.tickets.set(ticket, target);
    const {demand} = job.state.job.steps[pos.step]!;
    this.countDistance(job, pos.step, remoteFactor);
    return {
      ticket,
      ref,
      demand,
      placedAt: now,
      slownessAtPlacement: this.fleet.find(target)!.slowness,
      remoteFactor,
      isMoving: false,
    };
  }

  /** Counts tasks with data by where they were placed. */
  private countDistance(
    {queue, state, nearWaits}: ActiveJob,
    step: number,
    remoteFactor: number,
  ): void {
    if (state.job.steps[step]!.dataRack === undefined) return;
    const place = remoteFactor === 1 ? 'near' : 'remote';
    const waited = nearWaits.has(step) ? 'yes' : 'no';
    const labels = {queue: queue.name, place, waited};
    this.options.metrics?.increment('queued.locality', 1, labels);
  }

  private sendBatch(
    job: ActiveJob,
    rankMs: number,
    {target, step, mayWait, runs}: PlacedRuns,
  ): void {
    const {id, payload, steps} = job.state.job;
    const {demand, estimateMs, requiredLabel} = steps[step]!;
    const [first] = runs.values();
    this.log.debug(
      {
        event: 'runs-placed',
        job: id,
        step,
        target,
        runs: runs.size,
        rankMs,
        mayWait,
      },
      'placed runs on a target',
    );
    this.fleet.find(target)!.place(
      {
        job: id,
        payload,
        step,
        demand,
        service: job.queue.service,
        ...(requiredLabel !== undefined && {requiredLabel}),
        // The runner judges the target's speed by it.
        estimateMs: estimateMs * first!.remoteFactor,
        rankMs,
        ...(!mayWait && {mayWait}),
        runs: [...runs].map(([ticket, {ref}]) => [ticket, ref.index, ref.run]),
      },
      runs,
    );
  }
}
