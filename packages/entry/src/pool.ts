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
  depositRetryTokens,
  type DrainRate,
  FairQueue,
  type FairQueueOptions,
  decideRetry,
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
import {createFailedAnswer} from './job.js';
import type {AgentLink} from './agent-link.js';
import {estimateRun} from './run-estimate.js';
import {formatTask, type TaskEnd} from './sent-tasks.js';

/** What a pool needs from the entry that owns it. */
export interface PoolOwner {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** The epoch under which tasks may start now, if any. */
  readonly getStartingEpoch: () => Epoch | undefined;
  /** How long agents retain task outcomes after a job's deadline, in ms. */
  readonly getRetentionMs: () => number;
  readonly getWeight: (team: TeamName) => number;
  /** Called when a task has ended; `queuedMs` is the time it waited for a slot. */
  readonly onTaskEnd: (
    execution: Execution,
    end: TaskEnd,
    queuedMs: number,
  ) => void;
}

/** Counters of one pool since it was created. */
export interface PoolCounts {
  readonly started: number;
  /** Started tasks that agents refused or that did not run for another reason. */
  readonly refused: number;
  /** Messages to agents that carried no task: reservations, releases and demand reports. */
  readonly overheadMessages: number;
}

interface Destination {
  readonly target: TargetId;
  readonly granted: boolean;
}

const healthIntervalMs = 500;
const placementRetryMs = 10;

/** The waiting tasks of one service, its targets and the slots that they grant. */
export class Pool implements Disposable {
  private readonly fairQueue = new FairQueue();
  private readonly queue: PQueue<FairQueue, FairQueueOptions>;
  private readonly links = new Map<TargetId, AgentLink>();
  /** Total slots by target, as reported when the session was opened. */
  private readonly slots = new Map<TargetId, number>();
  private readonly runTimes = new RunTimes();
  private readonly health = new PoolHealth();
  private readonly healthTimer: NodeJS.Timeout;
  private placement: Placement;
  private retryBudget: RetryBudget = createRetryBudget();
  private drainRate: DrainRate;
  private destination: Destination | undefined;
  /** Links on which tasks were started in the current placement round. */
  private readonly startedLinks = new Set<AgentLink>();
  /** Number of tasks by team whose job's admission is not confirmed yet. */
  private readonly pendingAdmissions = new Map<TeamName, number>();
  private placementScheduled = false;
  private wakeTimer: NodeJS.Timeout | undefined;
  private counts = {started: 0, refused: 0, overheadMessages: 0};

  constructor(
    private service: ServiceConfig,
    private readonly owner: PoolOwner,
  ) {
    this.queue = new PQueue({
      queueClass: createFairQueueClass(this.fairQueue),
      autoStart: false,
    });
    this.placement = this.createPlacement();
    this.drainRate = createDrainRate(owner.clock.now());
    this.healthTimer = setInterval(
      () => this.applyInFlightLimits(this.health.advance(this.getTime())),
      healthIntervalMs,
    );
    this.healthTimer.unref();
  }

  get config(): ServiceConfig {
    return this.service;
  }

  /** Number of tasks that wait for a slot. */
  get waiting(): number {
    return this.fairQueue.size;
  }

  /** Number of tasks at targets. */
  get running(): number {
    return this.queue.pending;
  }

  getCounts(): PoolCounts {
    return this.counts;
  }

  /** Number of targets that get no tasks because too many of their tasks failed. */
  countEjected(): number {
    return this.health.countEjected();
  }

  /** Lists the slot capacities of the service's targets. */
  listCapacities(): readonly Capacity[] {
    return [...this.links.values()]
      .map(({target}) => target.capacity)
      .filter(capacity => capacity.kind !== 'room');
  }

  /** Describes the service's load as admission control needs it for one team. */
  describeLoad(team: TeamName): ServiceLoad {
    const idle = this.fairQueue.size > 0 ? 0 : this.countIdleSlots();
    const pending = this.countPendingAdmissions();
    const unplaced = Math.max(0, pending - idle);
    const teamUnplaced = Math.min(
      unplaced,
      this.pendingAdmissions.get(team) ?? 0,
    );
    return {
      waiting: this.fairQueue.size + unplaced,
      teamWaiting: this.fairQueue.countWaiting(team) + teamUnplaced,
      teamShare: this.fairQueue.computeShare(team, this.owner.getWeight(team)),
      freeSlots: Math.max(0, idle - pending),
      startsPerSecond: computeDrainRate(this.drainRate),
      running: this.queue.pending,
    };
  }

  /** Estimates the run time of a task, taking the caller's hint into account. */
  estimateRun(hintMs: number | undefined): RunEstimate {
    const {name} = this.service;
    return estimateRun(this.runTimes, name, hintMs, this.getTime());
  }

  /**
   * Applies a changed service configuration. A change of the placement policy reconnects all links,
   * so that the new policy starts without granted slots.
   */
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

  /** Removes a target that left the view; outcomes of tasks sent to it may still arrive. */
  removeLink(link: AgentLink): void {
    const {target} = link.target;
    this.links.delete(target);
    this.slots.delete(target);
    this.health.removeTarget(target, this.getTime());
    this.runTimes.forgetTarget(this.service.name, target);
    this.apply({kind: 'target-gone', target});
  }

  /** Applies an event of a target to the placement and executes the resulting actions. */
  apply(event: PlacementEvent): void {
    if (event.kind === 'target-connected') {
      this.slots.set(event.target, event.slots);
    }
    this.execute(this.placement.apply(event, this.getTime()));
    if (event.kind === 'target-connected') {
      const limits = this.health.listInFlightLimits();
      this.applyInFlightLimits(
        limits.filter(({target}) => target === event.target),
      );
    }
    this.schedulePlacement();
  }

  /** Queues tasks of a job until slots are available. */
  add(execution: Execution, tasks: readonly number[]): void {
    const {submission, deadline} = execution.job;
    const queuedAt = this.getTime();
    for (const task of tasks) {
      void this.queue.add(() => this.place(execution, task, queuedAt), {
        id: formatTask({job: submission.job, task}),
        job: submission.job,
        team: submission.team,
        weight: this.owner.getWeight(submission.team),
        isJobStarted: execution.hasSent,
        deadline,
      });
    }
    this.schedulePlacement();
  }

  /**
   * Counts tasks as waiting until disposal, while the admission of their job is not recorded yet.
   */
  addPending(team: TeamName, tasks: number): Disposable {
    const adjust = (by: number) =>
      this.pendingAdmissions.set(
        team,
        (this.pendingAdmissions.get(team) ?? 0) + by,
      );
    adjust(tasks);
    return {[Symbol.dispose]: () => void adjust(-tasks)};
  }

  /** Removes a job's waiting tasks from the queue. */
  discard(job: JobId, tasks: readonly number[]): void {
    for (const task of tasks) this.fairQueue.remove(formatTask({job, task}));
  }

  /** Schedules a placement round at the end of this event loop iteration. */
  schedulePlacement(): void {
    if (this.placementScheduled) return;
    this.placementScheduled = true;
    setImmediate(() => this.placeWaiting());
  }

  [Symbol.dispose](): void {
    clearInterval(this.healthTimer);
    clearTimeout(this.wakeTimer);
  }

  private countPendingAdmissions(): number {
    let sum = 0;
    for (const tasks of this.pendingAdmissions.values()) sum += tasks;
    return sum;
  }

  /**
   * Returns an upper bound on idle slots: the slots of connected targets minus this entry's tasks.
   */
  private countIdleSlots(): number {
    let slots = 0;
    for (const [target, count] of this.slots) {
      if (this.links.get(target)?.isReady) slots += count;
    }
    return Math.max(0, slots - this.queue.pending);
  }

  private placeWaiting(): void {
    this.placementScheduled = false;
    const now = this.getTime();
    const before = this.fairQueue.size;
    let until: Instant = Infinity;
    const canStart = this.owner.getStartingEpoch() !== undefined;
    while (canStart && this.fairQueue.size > 0) {
      const {deadline = Infinity} = this.fairQueue.peek()!;
      const tasks = {waiting: this.fairQueue.size, deadline};
      const decision = this.placement.place(tasks, now);
      if (decision.kind === 'wait') {
        until = decision.until;
        break;
      }
      this.startNext(decision);
    }
    const {size} = this.fairQueue;
    const started = before - size;
    this.drainRate = updateDrainRate(this.drainRate, started, size, now);
    const reported = this.placement.reportWaiting(size, now);
    for (const link of this.startedLinks) link.setWaiting(reported);
    this.startedLinks.clear();
    this.execute(this.placement.settle(size, now));
    this.schedulePlacementAt(until, now);
  }

  /** Lets the queue run exactly one task, which `place` sends to the given destination. */
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
      this.retryBudget = depositRetryTokens(this.retryBudget);
    }
    execution.apply({kind: 'sent', task, target, incarnation});
    this.counts.started++;
    this.startedLinks.add(link);
    execution.beginTask();
    const end = await link.start({
      job: submission.job,
      task,
      service: this.service.name,
      payload: submission.tasks[task]!.payload,
      remainingMs: computeRemainingMs(now, deadline),
      keepMs: this.owner.getRetentionMs(),
      granted: destination.granted,
    });
    execution.endTask();
    this.recordOutcome(submission, task, target, end);
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

  private recordOutcome(
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
    this.applyInFlightLimits(this.health.record({target, job, succeeded}, now));
  }

  private retry(execution: Execution, task: number): void {
    const state = execution.job.tasks[task]!;
    const placements = state.kind === 'waiting' ? state.placements : 0;
    const now = this.getTime();
    const decision = decideRetry(
      this.retryBudget,
      placements,
      this.service.maxPlacements,
      now,
      this.owner.random,
    );
    if (decision.kind === 'exhausted') {
      const detail = `task ${task} was refused and may not be placed again: no ${decision.cause} left`;
      execution.resolve(
        createFailedAnswer(execution.job, 'retries-exhausted', detail),
      );
      return;
    }
    this.retryBudget = decision.budget;
    setTimeout(
      () => {
        if (!execution.isOver) this.add(execution, [task]);
      },
      computeRemainingMs(now, decision.at),
    );
  }

  private applyInFlightLimits(limits: readonly InFlightLimit[]): void {
    for (const {target, maxInFlight} of limits) {
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

  /**
   * Schedules a placement round at `until`, and at least every `placementRetryMs` so that slots are
   * requested in time.
   */
  private schedulePlacementAt(until: Instant, now: Instant): void {
    clearTimeout(this.wakeTimer);
    if (this.fairQueue.size === 0) return;
    const dueMs = Math.max(1, Math.min(until - now, placementRetryMs));
    this.wakeTimer = setTimeout(() => this.schedulePlacement(), dueMs);
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
