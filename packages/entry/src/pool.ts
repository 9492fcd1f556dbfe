import PQueue from 'p-queue';
import {
  type Capacity,
  type Clock,
  computeRemainingMs,
  type Epoch,
  type Instant,
  type JobId,
  type ServiceConfig,
  type Submission,
  type TargetId,
  type TeamName,
} from '#model';
import {
  type InFlightLimit,
  computeDrainRate,
  createDrainRate,
  createFairQueueClass,
  createPlacement,
  createRetryBudget,
  depositStart,
  type DrainRate,
  FairQueue,
  type FairQueueOptions,
  judgeRetry,
  type Placement,
  type PlacementAction,
  type PlacementEvent,
  PoolHealth,
  type RandomSource,
  resolvePolicy,
  type RetryBudget,
  type RunEstimate,
  RunTimes,
  type ServiceLoad,
  updateDrainRate,
} from '#policy';
import type {Execution} from './execution.js';
import {failJob} from './job.js';
import type {AgentLink} from './link.js';
import {estimateRun} from './run-estimate.js';
import {formatTask, type TaskEnd} from './sent-tasks.js';

/** What a pool needs of the entry that owns it. */
export interface PoolOwner {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** The epoch under which tasks may start now, if any. */
  readonly getStartingEpoch: () => Epoch | undefined;
  /** How long agents keep fates after a job's deadline, in ms. */
  readonly getKeepMs: () => number;
  readonly getWeight: (team: TeamName) => number;
  /** A task ended that waited so long for a slot, in ms. */
  readonly onTaskEnd: (
    execution: Execution,
    end: TaskEnd,
    queuedMs: number,
  ) => void;
}

/** Counters of one pool since the entry started. */
export interface PoolCounts {
  readonly started: number;
  /** Starts that the agent refused without running them. */
  readonly refused: number;
  /** Inner messages that carried no task: asked for, moved or gave back slots. */
  readonly overheadMessages: number;
}

interface Destination {
  readonly target: TargetId;
  readonly granted: boolean;
}

const healthIntervalMs = 500;
const starvedIntervalMs = 10;

/** One service's waiting tasks, its targets and the slots that they grant. */
export class Pool implements Disposable {
  private readonly fair = new FairQueue();
  private readonly queue: PQueue<FairQueue, FairQueueOptions>;
  private readonly links = new Map<TargetId, AgentLink>();
  /** Slots in all by target, as its agent welcomed this entry. */
  private readonly slots = new Map<TargetId, number>();
  private readonly runTimes = new RunTimes();
  private readonly health = new PoolHealth();
  private readonly healthTimer: NodeJS.Timeout;
  private placement: Placement;
  private retries: RetryBudget = createRetryBudget();
  private drainRate: DrainRate;
  private destination: Destination | undefined;
  /** Links on which tasks were started in this turn. */
  private readonly startedOn = new Set<AgentLink>();
  /** Tasks of jobs whose admission is under way, by team. */
  private readonly announced = new Map<TeamName, number>();
  private armed = false;
  private wakeTimer: NodeJS.Timeout | undefined;
  private counts = {started: 0, refused: 0, overheadMessages: 0};

  constructor(
    private service: ServiceConfig,
    private readonly owner: PoolOwner,
  ) {
    this.queue = new PQueue({
      queueClass: createFairQueueClass(this.fair),
      autoStart: false,
    });
    this.placement = this.createPlacement();
    this.drainRate = createDrainRate(owner.clock.now());
    this.healthTimer = setInterval(
      () => this.allow(this.health.advance(this.getTime())),
      healthIntervalMs,
    );
    this.healthTimer.unref();
  }

  get config(): ServiceConfig {
    return this.service;
  }

  /** Tasks that wait for a slot. */
  get waiting(): number {
    return this.fair.size;
  }

  /** Tasks at targets. */
  get running(): number {
    return this.queue.pending;
  }

  getCounts(): PoolCounts {
    return this.counts;
  }

  /** Counts the targets that get no tasks because they fail too many. */
  countEjected(): number {
    return this.health.countEjected();
  }

  /** What the service's targets can hold. */
  listCapacities(): readonly Capacity[] {
    return [...this.links.values()]
      .map(({target}) => target.capacity)
      .filter(capacity => capacity.kind !== 'room');
  }

  /** Describes the work in hand, as admission needs it for one team. */
  describeLoad(team: TeamName): ServiceLoad {
    const idle = this.fair.size > 0 ? 0 : this.countIdleSlots();
    const announced = this.countAnnounced();
    const unplaced = Math.max(0, announced - idle);
    const ofTeam = Math.min(unplaced, this.announced.get(team) ?? 0);
    return {
      waiting: this.fair.size + unplaced,
      teamWaiting: this.fair.countWaiting(team) + ofTeam,
      teamShare: this.fair.computeShare(team, this.owner.getWeight(team)),
      freeSlots: Math.max(0, idle - announced),
      startsPerSecond: computeDrainRate(this.drainRate),
      running: this.queue.pending,
    };
  }

  /** Estimates the run time of a task, with the caller's hint blended in. */
  estimateRun(hintMs: number | undefined): RunEstimate {
    const {name} = this.service;
    return estimateRun(this.runTimes, name, hintMs, this.getTime());
  }

  /** Puts a changed service in force. A change of policy starts with what is connected. */
  configure(service: ServiceConfig): void {
    const before = describePlacement(this.service);
    this.service = service;
    if (before === describePlacement(service)) return;
    this.placement = this.createPlacement();
    for (const link of this.links.values()) link.reconnect();
  }

  addLink(link: AgentLink): void {
    this.links.set(link.target.target, link);
    this.health.addTarget(link.target.target, this.getTime());
  }

  /** The target left the view; tasks sent to it may still end. */
  removeLink(link: AgentLink): void {
    const {target} = link.target;
    this.links.delete(target);
    this.slots.delete(target);
    this.health.removeTarget(target, this.getTime());
    this.runTimes.forgetTarget(this.service.name, target);
    this.apply({kind: 'target-gone', target});
  }

  /** Takes in what happened to a target's connection or slots. */
  apply(event: PlacementEvent): void {
    if (event.kind === 'target-connected') {
      this.slots.set(event.target, event.slots);
    }
    this.execute(this.placement.apply(event, this.getTime()));
    if (event.kind === 'target-connected') {
      const allowances = this.health.listInFlightLimits();
      this.allow(allowances.filter(({target}) => target === event.target));
    }
    this.arm();
  }

  /** Queues tasks of a job until there are slots for them. */
  add(execution: Execution, tasks: readonly number[]): void {
    const {submission, deadline} = execution.job;
    const queuedAt = this.getTime();
    for (const task of tasks) {
      void this.queue.add(() => this.place(execution, task, queuedAt), {
        id: formatTask({job: submission.job, task}),
        job: submission.job,
        team: submission.team,
        weight: this.owner.getWeight(submission.team),
        inHand: execution.hasSent,
        deadline,
      });
    }
    this.arm();
  }

  /** Counts tasks as waiting until disposal: they come once their admission is on record. */
  announce(team: TeamName, tasks: number): Disposable {
    const change = (by: number) =>
      this.announced.set(team, (this.announced.get(team) ?? 0) + by);
    change(tasks);
    return {[Symbol.dispose]: () => void change(-tasks)};
  }

  /** Takes a job's waiting tasks out of the queue. */
  discard(job: JobId, tasks: readonly number[]): void {
    for (const task of tasks) this.fair.remove(formatTask({job, task}));
  }

  /** Places what can be placed, at the end of this turn of the loop. */
  arm(): void {
    if (this.armed) return;
    this.armed = true;
    setImmediate(() => this.placeWaiting());
  }

  [Symbol.dispose](): void {
    clearInterval(this.healthTimer);
    clearTimeout(this.wakeTimer);
  }

  private countAnnounced(): number {
    let sum = 0;
    for (const tasks of this.announced.values()) sum += tasks;
    return sum;
  }

  /** An upper bound: slots of connected targets less the tasks of this entry. */
  private countIdleSlots(): number {
    let slots = 0;
    for (const [target, count] of this.slots) {
      if (this.links.get(target)?.isReady) slots += count;
    }
    return Math.max(0, slots - this.queue.pending);
  }

  private placeWaiting(): void {
    this.armed = false;
    const now = this.getTime();
    const before = this.fair.size;
    let until: Instant = Infinity;
    const canStart = this.owner.getStartingEpoch() !== undefined;
    while (canStart && this.fair.size > 0) {
      const {deadline = Infinity} = this.fair.peek()!;
      const tasks = {waiting: this.fair.size, deadline};
      const verdict = this.placement.place(tasks, now);
      if (verdict.kind === 'wait') {
        until = verdict.until;
        break;
      }
      this.startNext(verdict);
    }
    const {size} = this.fair;
    const started = before - size;
    this.drainRate = updateDrainRate(this.drainRate, started, size, now);
    const told = this.placement.tellWaiting(size, now);
    for (const link of this.startedOn) link.setWaiting(told);
    this.startedOn.clear();
    this.execute(this.placement.settle(size, now));
    this.wakeAt(until, now);
  }

  /** Lets the queue run exactly one task, whose turn reads the destination. */
  private startNext(destination: Destination): void {
    this.destination = destination;
    this.queue.concurrency = this.queue.pending + 1;
    this.queue.start();
    this.queue.pause();
  }

  private async place(
    execution: Execution,
    task: number,
    queuedAt: Instant,
  ): Promise<void> {
    const destination = this.destination!;
    const link = this.links.get(destination.target);
    if (execution.isOver || link === undefined) {
      this.apply({...destination, kind: 'start-unused'});
      if (!execution.isOver) this.add(execution, [task]);
      return;
    }
    const now = this.getTime();
    const {submission, deadline} = execution.job;
    const {target, incarnation} = link.target;
    const state = execution.job.tasks[task]!;
    if (state.kind === 'waiting' && state.placements === 0) {
      this.retries = depositStart(this.retries);
    }
    execution.apply({kind: 'sent', task, target, incarnation});
    this.counts.started++;
    this.startedOn.add(link);
    execution.beginTask();
    const end = await link.start({
      job: submission.job,
      task,
      payload: submission.tasks[task]!.payload,
      remainingMs: computeRemainingMs(now, deadline),
      keepMs: this.owner.getKeepMs(),
      granted: destination.granted,
    });
    execution.endTask();
    this.learn(submission, task, target, end);
    this.finish(execution, task, target, end);
    this.owner.onTaskEnd(execution, end, now - queuedAt);
  }

  private finish(
    execution: Execution,
    task: number,
    target: TargetId,
    end: TaskEnd,
  ): void {
    execution.apply({kind: 'fate', task, fate: end.fate});
    this.apply({kind: 'task-ended', target});
    if (end.fate.kind !== 'not-run') return;
    this.counts.refused++;
    if (!execution.isOver) this.retry(execution, task);
  }

  private learn(
    {job, tasks}: Submission,
    task: number,
    target: TargetId,
    {fate, runMs}: TaskEnd,
  ): void {
    if (fate.kind !== 'succeeded' && fate.kind !== 'failed') return;
    const succeeded = fate.kind === 'succeeded';
    const now = this.getTime();
    if (succeeded && runMs > 0) {
      const hintMs = tasks[task]!.expectedMs;
      const {name} = this.service;
      this.runTimes.observe(name, target, runMs, hintMs, now);
    }
    this.allow(this.health.record({target, job, succeeded}, now));
  }

  private retry(execution: Execution, task: number): void {
    const state = execution.job.tasks[task]!;
    const placements = state.kind === 'waiting' ? state.placements : 0;
    const now = this.getTime();
    const verdict = judgeRetry(
      this.retries,
      placements,
      this.service.maxPlacements,
      now,
      this.owner.random,
    );
    if (verdict.kind === 'exhausted') {
      const detail = `task ${task} was refused and may not be placed again: no ${verdict.cause} left`;
      execution.resolve(failJob(execution.job, 'retries-exhausted', detail));
      return;
    }
    this.retries = verdict.budget;
    setTimeout(
      () => {
        if (!execution.isOver) this.add(execution, [task]);
      },
      computeRemainingMs(now, verdict.at),
    );
  }

  private allow(allowances: readonly InFlightLimit[]): void {
    for (const {target, maxInFlight} of allowances) {
      this.apply({kind: 'target-allowed', target, maxInFlight});
    }
  }

  private execute(actions: readonly PlacementAction[]): void {
    for (const action of actions) {
      const link = this.links.get(action.target);
      if (link === undefined) continue;
      this.counts.overheadMessages++;
      if (action.kind === 'reserve') link.reserve(action.slots);
      if (action.kind === 'release') link.release(action.slots);
      if (action.kind === 'demand') link.reportDemand(action.waiting);
    }
  }

  /** Waiting tasks are looked at again at the verdict's time, and often enough to ask for slots. */
  private wakeAt(until: Instant, now: Instant): void {
    clearTimeout(this.wakeTimer);
    if (this.fair.size === 0) return;
    const dueMs = Math.max(1, Math.min(until - now, starvedIntervalMs));
    this.wakeTimer = setTimeout(() => this.arm(), dueMs);
  }

  private createPlacement(): Placement {
    return createPlacement(resolvePolicy(this.service), {
      service: this.service.name,
      objective: this.service.objective,
      runTimes: this.runTimes,
      random: this.owner.random,
    });
  }

  private getTime(): Instant {
    return this.owner.clock.now();
  }
}

function describePlacement(service: ServiceConfig): string {
  return JSON.stringify([service.objective, resolvePolicy(service)]);
}
