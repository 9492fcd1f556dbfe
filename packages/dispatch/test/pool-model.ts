import type {Instant, QueueConfig, ResourceRequest} from '#model';
import {endRun} from '#jobs';
import {
  type CandidateTarget,
  chooseTargetSubset,
  createRandom,
  emptyDemand,
  subtractDemand,
  sumDemand,
  type RandomSource,
} from '#policy';
import type {RunBatch} from '#protocol';
import {noopMetrics, openLog} from '#telemetry';
import {type ActiveJob, openActiveJob} from '../src/active-job.js';
import {Admission, sumWaitingWork} from '../src/admission.js';
import type {OutstandingRun} from '../src/link.js';
import {Placer, type PlacementFleet} from '../src/placer.js';
import {type ModelRun, ModelTarget} from './model-target.js';

/** A class of jobs and its arrival rate. */
export interface LoadClass {
  readonly queue: QueueConfig;
  readonly tasks: number;
  readonly workMs: number;
  /** Returns the jobs that arrive a second at a time in ms. */
  readonly computeRate: (now: Instant) => number;
}

export interface LoadPattern {
  readonly classes: readonly LoadClass[];
  readonly lengthMs: number;
  readonly seed: number;
  readonly targets: number;
  readonly dispatchers: number;
  /** Time that a host takes for each message, one after the other. */
  readonly messageMs: number;
  /** Jobs that arrive earlier reach their dispatchers at this time, as after a loss of power. */
  readonly startsAt?: Instant;
}

interface DrawnJob {
  readonly queue: QueueConfig;
  readonly id: string;
  readonly arrivedAt: Instant;
  /** Work of each task in ms at a target of mean speed. */
  readonly works: readonly number[];
  readonly estimateMs: number;
  readonly dueMs: number;
}

type JobEnd = 'in-time' | 'late' | 'useless' | 'refused';

interface JobRecord {
  readonly queue: string;
  readonly arrivedAt: Instant;
  readonly end: JobEnd;
}

const demand: ResourceRequest = {
  cpuMillis: 3400,
  memoryMb: 64,
  accelerators: 0,
};
const delayMs = 1;
const loadReportMs = 15;
const placementDelayMs = 0.5;
const stepsPerMs = 10;
const windowMs = 2000;
const lateCredit = 0.2;
/** A caller waits for this long and four times the due time. */
const patienceMs = 1500;

/** Replays a load pattern on a pool of uneven targets with the product's admission and placement. */
export class PoolModel {
  now: Instant = 0;
  placed = 0;
  begun = 0;
  readonly targets: readonly ModelTarget[];
  readonly dispatchers: readonly ModelDispatcher[];
  private readonly ends: JobRecord[] = [];
  private readonly events: (() => void)[][] = [];

  constructor(readonly pattern: LoadPattern) {
    const {classes, dispatchers, seed, targets} = pattern;
    this.targets = Array.from(
      {length: targets},
      (_, i) => new ModelTarget(this, i),
    );
    const infos = this.targets.map(({info}) => info);
    this.dispatchers = Array.from({length: dispatchers}, (_, i) => {
      const own = infos[(2 * i) % targets]!.target;
      const subset = chooseTargetSubset(own, infos);
      return new ModelDispatcher(
        this,
        subset.map(({target}) => this.targets[Number(target)]!),
      );
    });
    for (const [i, each] of classes.entries())
      this.scheduleArrival(each, 0, createRandom(seed + i));
    this.runEvents();
  }

  /** Mean credit of a queue's jobs: 1 in time, a fifth late. */
  computeCredit(queue: string): number {
    return computeMean(this.ends.filter(end => end.queue === queue));
  }

  /** Lowest mean credit of the jobs that arrived in the same two seconds. */
  computeWorstWindow(): number {
    const windows: JobRecord[][] = [];
    for (const each of this.ends)
      (windows[Math.floor(each.arrivedAt / windowMs)] ??= []).push(each);
    return Math.min(...windows.map(computeMean));
  }

  /** Share of a queue's jobs that ended in a way. */
  computeShare(queue: string, end: JobEnd): number {
    const ends = this.ends.filter(each => each.queue === queue);
    return ends.filter(each => each.end === end).length / ends.length;
  }

  schedule(at: Instant, event: () => void): void {
    const step = Math.max(
      Math.ceil(at * stepsPerMs),
      Math.floor(this.now * stepsPerMs) + 1,
    );
    (this.events[step] ??= []).push(event);
  }

  /** Delivers a message to a host, which handles one at a time. */
  send(host: {busyUntil: Instant}, event: () => void): void {
    this.schedule(this.now + delayMs, () => {
      host.busyUntil =
        Math.max(host.busyUntil, this.now) + this.pattern.messageMs;
      this.schedule(host.busyUntil, event);
    });
  }

  record(
    {queue, arrivedAt, dueMs}: DrawnJob,
    kind: 'answered' | 'refused',
  ): void {
    const ageMs = this.now - arrivedAt;
    const answer =
      ageMs <= dueMs ? 'in-time' : ageMs <= 3 * dueMs ? 'late' : 'useless';
    this.ends.push({
      queue: queue.name,
      arrivedAt,
      end: kind === 'refused' ? kind : answer,
    });
  }

  private runEvents(): void {
    for (let step = 0; step < this.events.length; step++) {
      this.now = step / stepsPerMs;
      for (const event of this.events[step] ?? []) event();
      delete this.events[step];
    }
  }

  private scheduleArrival(
    each: LoadClass,
    index: number,
    random: RandomSource,
  ): void {
    const gapMs =
      (-1000 * Math.log(1 - random.drawFloat())) / each.computeRate(this.now);
    const arrivedAt = this.now + gapMs;
    if (arrivedAt >= this.pattern.lengthMs) return;
    this.schedule(arrivedAt, () => {
      const job = drawJob(
        each,
        `${each.queue.name}-${index}`,
        arrivedAt,
        random,
      );
      const home = this.dispatchers[random.drawInt(this.dispatchers.length)]!;
      this.schedule(Math.max(arrivedAt, this.pattern.startsAt ?? 0), () =>
        this.send(home, () => home.admit(job)),
      );
      this.scheduleArrival(each, index + 1, random);
    });
  }
}

function computeMean(ends: readonly JobRecord[]): number {
  const credits = ends.map(({end}) =>
    end === 'in-time' ? 1 : end === 'late' ? lateCredit : 0,
  );
  return credits.reduce<number>((sum, credit) => sum + credit, 0) / ends.length;
}

/** Draws a job: sizes, work and the caller's estimate are off by two fifths, its tasks by a seventh. */
function drawJob(
  {queue, tasks, workMs}: LoadClass,
  id: string,
  arrivedAt: Instant,
  random: RandomSource,
): DrawnJob {
  const vary = (deviation: number) => {
    const angle = 2 * Math.PI * random.drawFloat();
    return Math.exp(
      deviation *
        Math.sqrt(-2 * Math.log(1 - random.drawFloat())) *
        Math.cos(angle),
    );
  };
  const mean = workMs * vary(0.4);
  const works = Array.from(
    {length: Math.max(1, Math.round(tasks * vary(0.4)))},
    () => mean * vary(0.15),
  );
  const {stretch, slackMs} = queue.objective;
  return {
    queue,
    id,
    arrivedAt,
    works,
    estimateMs: mean * vary(0.3),
    dueMs: stretch * mean + slackMs,
  };
}

interface SeenTarget {
  used: ResourceRequest;
  slowness: number;
  waitingRank: number | undefined;
  own: ResourceRequest;
}

/** A dispatcher with the product's admission and placement on late load reports. */
export class ModelDispatcher {
  busyUntil: Instant = 0;
  private readonly jobs = new Map<ActiveJob, DrawnJob>();
  private readonly runs = new Map<ModelTarget, Set<ModelRun>>();
  private readonly seen = new Map<ModelTarget, SeenTarget>();
  private readonly placer: Placer;
  private readonly admission: Admission;
  private isScheduled = false;

  constructor(
    private readonly model: PoolModel,
    private readonly targets: readonly ModelTarget[],
  ) {
    const log = openLog('silent', 'agent', 'model');
    const fleet = {
      listTargets: () => targets.map(target => this.describe(target)),
      countInService: () => model.targets.length,
      isEvacuatedOnly: () => false,
      isTemporarilyUnreachable: () => false,
    };
    this.placer = new Placer({...fleet, find: id => this.findTarget(id)}, log);
    this.admission = new Admission({
      fleet,
      log,
      metrics: noopMetrics,
      readLagMs: () => Math.max(0, this.busyUntil - model.now),
      countDispatchers: () => model.dispatchers.length,
      listLoads: () =>
        model.dispatchers
          .filter(other => other !== this)
          .map(other => ({
            address: '',
            lagMs: 0,
            waitingCoreMs: sumWaitingWork('tally', other.jobs.keys()),
          })),
    });
    for (const [i, target] of targets.entries()) {
      this.runs.set(target, new Set());
      this.seen.set(target, {
        used: emptyDemand,
        slowness: 1,
        waitingRank: undefined,
        own: emptyDemand,
      });
      this.scheduleReport(target, (i * loadReportMs) / targets.length);
    }
  }

  admit(drawn: DrawnJob): void {
    const {model} = this;
    const {queue, id, arrivedAt, works, estimateMs} = drawn;
    const job = {
      id,
      payload: '',
      steps: [
        {
          count: works.length,
          demand,
          estimateMs,
          after: [],
          checkpoints: false,
        },
      ],
    };
    const submission = {
      job,
      queue,
      arrivedAt,
      callerDeadline: arrivedAt + patienceMs + 4 * drawn.dueMs,
    };
    if (
      this.admission.checkAdmission(submission, this.jobs.keys(), model.now) !==
      undefined
    ) {
      model.record(drawn, 'refused');
      return;
    }
    const active = openActiveJob(submission, job, true, () => {});
    this.jobs.set(active, drawn);
    model.schedule(active.uselessAt - active.chainMs, () => {
      if (!active.hasRun) this.close(active, 'refused');
    });
    model.schedule(active.callerDeadline + 1, () =>
      this.close(active, 'answered'),
    );
    this.schedulePlacement();
  }

  end(
    target: ModelTarget,
    run: ModelRun,
    end: 'succeeded' | 'not-run',
    runMs: number,
  ): void {
    const {job} = run;
    this.runs.get(target)!.delete(run);
    const seen = this.seen.get(target)!;
    seen.own = subtractDemand(seen.own, run.run.demand);
    Object.assign(seen, this.readLoad(target));
    job.hasRun ||= runMs > 0;
    job.state = endRun(job.state, run.run.ref, end);
    if (job.state.phase === 'completed') this.close(job, 'answered');
    this.schedulePlacement();
  }

  private close(job: ActiveJob, kind: 'answered' | 'refused'): void {
    const drawn = this.jobs.get(job);
    if (drawn === undefined) return;
    this.jobs.delete(job);
    this.model.record(drawn, kind);
    for (const [target, runs] of this.runs) {
      const isThere = [...runs].some(run => run.job === job);
      if (isThere) this.model.send(target, () => target.withdraw(job));
    }
  }

  private scheduleReport(target: ModelTarget, at: Instant): void {
    const {model} = this;
    model.schedule(at, () => {
      const load = this.readLoad(target);
      const hasChanged =
        load.used.cpuMillis !== this.seen.get(target)!.used.cpuMillis;
      if (hasChanged) {
        model.schedule(model.now + delayMs, () => {
          Object.assign(this.seen.get(target)!, load);
          this.schedulePlacement();
        });
      }
      if (model.now < 2 * model.pattern.lengthMs)
        this.scheduleReport(target, model.now + loadReportMs);
    });
  }

  private readLoad(target: ModelTarget): Omit<SeenTarget, 'own'> {
    const own = [...this.runs.get(target)!].reduce(
      (sum, {run}) => sumDemand(sum, run.demand),
      emptyDemand,
    );
    const {accepted, slowness, waitingRank} = target;
    return {used: subtractDemand(accepted, own), slowness, waitingRank};
  }

  private describe(target: ModelTarget): CandidateTarget {
    const {used, own, slowness, waitingRank} = this.seen.get(target)!;
    return {
      target: target.info.target,
      capacity: target.capacity,
      used: sumDemand(used, own),
      slowness,
      failing: 0,
      isInSameDomain: true,
      pendingStarts: 0,
      ...(waitingRank !== undefined && {waitingRank}),
    };
  }

  private findTarget(id: string): ReturnType<PlacementFleet['find']> {
    const {model} = this;
    const target = model.targets[Number(id)]!;
    const seen = this.seen.get(target)!;
    const place = (
      batch: RunBatch,
      runs: ReadonlyMap<number, OutstandingRun>,
    ) => {
      const job = [...this.jobs.keys()].find(
        ({state}) => state.job.id === batch.job,
      )!;
      const rank = model.now + batch.rankMs;
      const {works} = this.jobs.get(job)!;
      const sent = [...runs.values()].map(run => ({
        from: this,
        job,
        batch,
        run,
        rank,
        workMs: works[run.ref.index]!,
      }));
      for (const run of sent) {
        this.runs.get(target)!.add(run);
        seen.own = sumDemand(seen.own, run.run.demand);
      }
      model.placed += sent.length;
      model.send(target, () => sent.forEach(run => target.accept(run)));
    };
    return {slowness: seen.slowness, place};
  }

  private schedulePlacement(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    const {model} = this;
    model.schedule(model.now + placementDelayMs, () => {
      this.isScheduled = false;
      this.placer.placeAll(this.jobs.keys(), model.now);
      if (this.placer.isWaitingForFaster)
        model.schedule(model.now + 20, () => this.schedulePlacement());
    });
  }
}
