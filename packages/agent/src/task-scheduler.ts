import {
  type Clock,
  computeDeadline,
  type Epoch,
  type Instant,
  type PlacementPolicy,
  type ResourceDemand,
  type ServiceConfig,
  type TaskRef,
  type TaskRefusal,
  type TaskStatus,
} from '#model';
import type {FenceParams, StartParams, StartTask, TaskReport} from '#protocol';
import type {Metrics} from '#telemetry';
import {type FencePage, formatTask, TaskTable} from './task-table.js';
import {type RunEnd, Runner, type StopCause} from './runner.js';
import {type QueuedStart, Slots} from './slots.js';
import type {RunRequest, Target} from './target.js';

/** Whether tasks may start at the target, and under which limits. */
export type Readiness =
  | {
      readonly kind: 'open';
      readonly service: ServiceConfig;
      readonly policy: PlacementPolicy;
      readonly slots: number;
    }
  | {readonly kind: 'shut'; readonly reason: TaskRefusal};

export interface TaskSchedulerOptions {
  readonly target: Target;
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** Called when a scheduling pass is due. */
  readonly onChange: () => void;
  /** Called when the target could not be reached. */
  readonly onUnreachable: () => void;
}

/** Pending messages for the entry of one epoch. */
export interface EpochMessages {
  /** Each batch is one message. */
  readonly reports: readonly (readonly TaskReport[])[];
  readonly granted: number;
  readonly recalled: number;
}

export interface PassResult {
  readonly messages: ReadonlyMap<Epoch, EpochMessages>;
  /** When the next pass is due at the latest; `Infinity` when none is needed. */
  readonly nextPassAt: Instant;
}

/** The slot that a running task occupies. */
interface HeldSlot {
  readonly epoch: Epoch;
  readonly demand: ResourceDemand;
}

interface AcceptedTask extends Omit<RunRequest, 'demand' | 'maxTaskMs'> {
  readonly deadline: Instant;
  readonly keepUntil: Instant;
}

const maxRetainedBytes = 24 * 1024 * 1024;
const maxReportBytes = 16 * 1024 * 1024;
/** Limits the memory of the task table; further starts are refused. */
const maxKnownTasks = 200_000;
const maxQueuedPerSlot = 2;

/**
 * Runs, queues or refuses each task that entries start, and collects the
 * reports and slot grants to send to them.
 */
export class TaskScheduler {
  private readonly taskTable: TaskTable;
  private readonly slots = new Slots<AcceptedTask>();
  private readonly runner: Runner;
  private readonly refusals = new Map<Epoch, TaskReport[]>();
  private readonly running = new Map<string, HeldSlot>();
  private readiness: Readiness = {kind: 'shut', reason: 'no-slot'};
  private startCount = 0;
  private duplicateCount = 0;
  private lastStart: Instant;

  constructor(private readonly options: TaskSchedulerOptions) {
    const {target, clock} = options;
    this.lastStart = clock.now();
    this.taskTable = new TaskTable(maxRetainedBytes, clock.now());
    this.runner = new Runner(target, clock, (request, end) =>
      this.finishTask(request, end),
    );
  }

  /** True when nothing runs or is queued and every outcome was reported. */
  get isIdle(): boolean {
    return (
      this.taskTable.running === 0 &&
      this.slots.queued === 0 &&
      this.taskTable.pendingReports === 0 &&
      this.refusals.size === 0
    );
  }

  /** When the last start arrived. */
  get lastStartAt(): Instant {
    return this.lastStart;
  }

  get counts() {
    return {
      running: this.taskTable.running,
      slots: this.slots.total,
      queued: this.slots.queued,
      started: this.startCount,
      duplicates: this.duplicateCount,
      known: this.taskTable.size,
    };
  }

  /** Lists the resources that each running task was started with. */
  listDemands(): readonly ResourceDemand[] {
    return [...this.running.values()].map(({demand}) => demand);
  }

  /** Changes what may start from now on; running tasks continue. */
  setReadiness(readiness: Readiness): void {
    this.readiness = readiness;
    if (readiness.kind === 'open') {
      const {slots, policy} = readiness;
      this.slots.open(slots, policy, slots * maxQueuedPerSlot);
    } else {
      this.slots.close();
      this.refuseQueued(readiness.reason);
    }
    this.options.onChange();
  }

  isFenced(epoch: Epoch): boolean {
    return this.taskTable.isFenced(epoch);
  }

  connect(epoch: Epoch): void {
    this.slots.connect(epoch, this.options.clock.now());
    this.options.onChange();
  }

  /**
   * Ends an epoch's session: drops its refusals, queued tasks, reservations and
   * idle grants. Its running tasks continue.
   */
  endSession(epoch: Epoch): void {
    this.refusals.delete(epoch);
    this.slots.removeEpoch(epoch);
    this.options.onChange();
  }

  receiveStart(epoch: Epoch, {tasks, waiting}: StartParams): void {
    this.setWaiting(epoch, waiting);
    for (const task of tasks) this.receiveTask(epoch, task);
  }

  reserve(epoch: Epoch, slots: number): void {
    this.slots.reserve(epoch, slots);
    this.options.onChange();
  }

  releaseUnused(epoch: Epoch, slots: number): void {
    this.slots.releaseUnused(epoch, slots);
    this.options.onChange();
  }

  setWaiting(epoch: Epoch, waiting: number): void {
    this.slots.setWaiting(epoch, waiting, this.options.clock.now());
    this.options.onChange();
  }

  /** Cancels tasks of an epoch; ignores those that the epoch is not responsible for here. */
  cancel(epoch: Epoch, tasks: readonly TaskRef[]): void {
    for (const ref of tasks) {
      const key = formatTask(ref);
      if (this.slots.dequeue(key, epoch)) {
        this.refuse(epoch, ref, 'cancelled');
      } else if (this.taskTable.resolveOwners(ref).includes(epoch)) {
        this.runner.stop(key, {kind: 'cancelled'});
      }
    }
    this.options.onChange();
  }

  /** Stops a running task, whichever epoch started it. */
  stop(ref: TaskRef, cause: StopCause): void {
    this.runner.stop(formatTask(ref), cause);
  }

  query(epoch: Epoch, ref: TaskRef): TaskStatus {
    if (this.slots.hasQueued(formatTask(ref))) return {kind: 'running'};
    return this.taskTable.query(epoch, ref);
  }

  fence({epochs, heir: successor, after}: FenceParams): FencePage {
    return this.taskTable.fence(epochs, successor, after);
  }

  /** Stops all running tasks; resolves once each outcome is known. */
  stopAll(): Promise<void> {
    return this.runner.stopAll();
  }

  sweep(): void {
    this.taskTable.sweep(this.options.clock.now());
  }

  /** Assigns free slots, starts queued tasks and collects the messages for each connected epoch. */
  runPass(epochs: Iterable<Epoch>): PassResult {
    const {grants, recalls, starts, nextPassAt} = this.slots.assignSlots(
      this.options.clock.now(),
    );
    for (const start of starts) this.startQueued(start);
    const messages = new Map<Epoch, EpochMessages>();
    for (const epoch of epochs) {
      const reports = this.takeReports(epoch);
      const granted = grants.get(epoch) ?? 0;
      const recalled = recalls.get(epoch) ?? 0;
      if (reports.length + granted + recalled === 0) continue;
      messages.set(epoch, {reports, granted, recalled});
    }
    return {messages, nextPassAt};
  }

  private receiveTask(epoch: Epoch, task: StartTask): void {
    this.lastStart = this.options.clock.now();
    const deadline = computeDeadline(this.lastStart, task.remainingMs);
    const accepted: AcceptedTask = {
      job: task.job,
      task: task.task,
      payload: task.payload,
      deadline,
      keepUntil: deadline + task.keepMs,
    };
    if (this.taskTable.has(task)) {
      this.duplicateCount++;
      this.taskTable.start(epoch, task, accepted.keepUntil);
      if (task.granted) this.slots.discardGrant(epoch);
      return;
    }
    const refusal = this.findRefusal(task);
    if (refusal !== undefined) {
      this.refuse(epoch, task, refusal);
      if (task.granted) this.slots.discardGrant(epoch);
      return;
    }
    if (task.granted && this.slots.useGrant(epoch)) {
      this.startTask(epoch, accepted);
      return;
    }
    const key = formatTask(task);
    if (!this.slots.enqueue({epoch, key, task: accepted})) {
      this.refuse(epoch, task, 'no-slot');
    }
  }

  /** Returns why a task that is not in the table cannot start; undefined when it can. */
  private findRefusal(task: StartTask): TaskRefusal | undefined {
    if (task.remainingMs <= 0) return 'expired';
    if (this.readiness.kind === 'shut') return this.readiness.reason;
    const {service = this.readiness.service.name} = task;
    if (service !== this.readiness.service.name) return 'wrong-service';
    if (this.taskTable.size >= maxKnownTasks) return 'no-slot';
    if (this.slots.hasQueued(formatTask(task))) return 'no-slot';
    return undefined;
  }

  private refuse(epoch: Epoch, ref: TaskRef, reason: TaskRefusal): void {
    this.options.metrics.increment('agent.refusal', 1, {reason});
    const {job, task} = ref;
    const reports = this.refusals.get(epoch) ?? [];
    reports.push({job, task, fate: {kind: 'not-run', reason}, runMs: 0});
    this.refusals.set(epoch, reports);
  }

  private refuseQueued(reason: TaskRefusal): void {
    for (const {epoch, task} of this.slots.dropQueued()) {
      this.refuse(epoch, task, reason);
    }
  }

  /** Starts a task for which the epoch has taken a slot. */
  private startTask(epoch: Epoch, task: AcceptedTask): void {
    const {readiness} = this;
    if (readiness.kind === 'shut') {
      this.slots.release(epoch, this.options.clock.now());
      this.refuse(epoch, task, readiness.reason);
      return;
    }
    this.taskTable.start(epoch, task, task.keepUntil);
    this.startCount++;
    const {demand, maxTaskMs} = readiness.service;
    this.running.set(formatTask(task), {epoch, demand});
    this.runner.run({...task, demand, maxTaskMs});
  }

  private startQueued({epoch, task}: QueuedStart<AcceptedTask>): void {
    if (task.deadline > this.options.clock.now()) {
      this.startTask(epoch, task);
      return;
    }
    this.slots.release(epoch, this.options.clock.now());
    this.refuse(epoch, task, 'expired');
    this.options.onChange();
  }

  private finishTask(request: RunRequest, end: RunEnd): void {
    const key = formatTask(request);
    const {epoch} = this.running.get(key)!;
    this.running.delete(key);
    if (end.released === undefined) this.releaseSlot(epoch);
    else void end.released.then(() => this.releaseSlot(epoch));
    this.options.metrics.timing('agent.task', end.runMs, {
      fate: end.fate.kind,
    });
    if (end.fate.kind === 'not-run') {
      for (const owner of this.taskTable.resolveOwners(request)) {
        this.refuse(owner, request, end.fate.reason);
      }
      this.taskTable.forget(request);
    } else {
      this.taskTable.end(request, end.fate, end.bytes, end.runMs);
    }
    if (end.unreachable) this.options.onUnreachable();
    this.options.onChange();
  }

  private releaseSlot(epoch: Epoch): void {
    this.slots.release(epoch, this.options.clock.now());
    this.options.onChange();
  }

  private takeReports(epoch: Epoch): readonly (readonly TaskReport[])[] {
    const batches: (readonly TaskReport[])[] = [];
    let batch: readonly TaskReport[] = this.refusals.get(epoch) ?? [];
    this.refusals.delete(epoch);
    for (;;) {
      batch = [...batch, ...this.taskTable.takeReports(epoch, maxReportBytes)];
      if (batch.length === 0) return batches;
      batches.push(batch);
      batch = [];
    }
  }
}
