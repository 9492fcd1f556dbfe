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
  type TaskStanding,
} from '#model';
import type {FenceParams, StartParams, StartTask, TaskReport} from '#protocol';
import type {Metrics} from '#telemetry';
import {type FencePage, formatTask, Ledger} from './ledger.js';
import {type RunEnd, Runner, type StopCause} from './runner.js';
import {type QueuedStart, Slots} from './slots.js';
import type {RunRequest, Target} from './target.js';

/** What the target and this agent can take at present. */
export type Readiness =
  | {
      readonly kind: 'open';
      readonly service: ServiceConfig;
      readonly policy: PlacementPolicy;
      readonly slots: number;
    }
  | {readonly kind: 'shut'; readonly reason: TaskRefusal};

export interface IntakeOptions {
  readonly target: Target;
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** Something is to be settled. */
  readonly onChange: () => void;
  /** The target could not be reached. */
  readonly onUnreachable: () => void;
}

/** Messages that are due to one entry epoch. */
export interface Mail {
  /** Each batch is one message. */
  readonly reports: readonly (readonly TaskReport[])[];
  readonly granted: number;
  readonly recalled: number;
}

export interface IntakeSettlement {
  readonly mail: ReadonlyMap<Epoch, Mail>;
  /** Settle again then at the latest; `Infinity` when there is no need. */
  readonly againAt: Instant;
}

/** The slot of a running task. */
interface HeldSlot {
  /** Whose slot it is. */
  readonly epoch: Epoch;
  readonly demand: ResourceDemand;
}

interface AcceptedTask extends Omit<RunRequest, 'demand' | 'maxTaskMs'> {
  readonly deadline: Instant;
  readonly keepUntil: Instant;
}

const maxRetainedBytes = 24 * 1024 * 1024;
const maxReportBytes = 16 * 1024 * 1024;
/** Bounds the start table's memory; beyond it starts are refused. */
const maxKnownTasks = 200_000;
const maxQueuedPerSlot = 2;

/** Decides on each start that arrives, runs what may run, and gathers what entries are to be told. */
export class Intake {
  private readonly ledger: Ledger;
  private readonly slots = new Slots<AcceptedTask>();
  private readonly runner: Runner;
  private readonly refusals = new Map<Epoch, TaskReport[]>();
  private readonly running = new Map<string, HeldSlot>();
  private readiness: Readiness = {kind: 'shut', reason: 'no-slot'};
  private startCount = 0;
  private duplicateCount = 0;
  private lastStart: Instant;

  constructor(private readonly options: IntakeOptions) {
    const {target, clock} = options;
    this.lastStart = clock.now();
    this.ledger = new Ledger(maxRetainedBytes, clock.now());
    this.runner = new Runner(target, clock, (request, end) =>
      this.finishTask(request, end),
    );
  }

  /** Nothing runs or waits, and every fate was told. */
  get isIdle(): boolean {
    return (
      this.ledger.running === 0 &&
      this.slots.queued === 0 &&
      this.ledger.pendingReports === 0 &&
      this.refusals.size === 0
    );
  }

  /** When a start last arrived. */
  get lastStartAt(): Instant {
    return this.lastStart;
  }

  get counts() {
    return {
      running: this.ledger.running,
      slots: this.slots.total,
      queued: this.slots.queued,
      started: this.startCount,
      duplicates: this.duplicateCount,
      known: this.ledger.size,
    };
  }

  /** What each running task was started with. */
  listDemands(): readonly ResourceDemand[] {
    return [...this.running.values()].map(({demand}) => demand);
  }

  /** Changes what may start from now on; what runs goes on. */
  setReadiness(readiness: Readiness): void {
    this.readiness = readiness;
    if (readiness.kind === 'open') {
      const {slots, policy} = readiness;
      this.slots.open(slots, policy, slots * maxQueuedPerSlot);
    } else {
      this.slots.shut();
      this.refuseQueued(readiness.reason);
    }
    this.options.onChange();
  }

  isBarred(epoch: Epoch): boolean {
    return this.ledger.isBarred(epoch);
  }

  connect(epoch: Epoch): void {
    this.slots.connect(epoch, this.options.clock.now());
    this.options.onChange();
  }

  /** Ends an epoch's session: what it only waited for is dropped, what runs goes on. */
  lose(epoch: Epoch): void {
    this.refusals.delete(epoch);
    this.slots.lose(epoch);
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

  giveBack(epoch: Epoch, slots: number): void {
    this.slots.giveBack(epoch, slots);
    this.options.onChange();
  }

  setWaiting(epoch: Epoch, waiting: number): void {
    this.slots.setWaiting(epoch, waiting, this.options.clock.now());
    this.options.onChange();
  }

  /** Ends tasks of an epoch; those that it did not start here are passed over. */
  cancel(epoch: Epoch, tasks: readonly TaskRef[]): void {
    for (const ref of tasks) {
      const key = formatTask(ref);
      if (this.slots.dequeue(key, epoch)) {
        this.refuse(epoch, ref, 'cancelled');
      } else if (this.ledger.resolveOwners(ref).includes(epoch)) {
        this.runner.stop(key, {kind: 'cancelled'});
      }
    }
    this.options.onChange();
  }

  /** Ends a running task for a cause of the agent's own. */
  stop(ref: TaskRef, cause: StopCause): void {
    this.runner.stop(formatTask(ref), cause);
  }

  query(epoch: Epoch, ref: TaskRef): TaskStanding {
    if (this.slots.hasQueued(formatTask(ref))) return {kind: 'running'};
    return this.ledger.query(epoch, ref);
  }

  fence({epochs, heir, after}: FenceParams): FencePage {
    return this.ledger.fence(epochs, heir, after);
  }

  /** Stops everything that runs; resolves once each fate is known. */
  stopAll(): Promise<void> {
    return this.runner.stopAll();
  }

  sweep(): void {
    this.ledger.sweep(this.options.clock.now());
  }

  /** Deals out free slots, starts queued tasks and takes what is due to each connected epoch. */
  settle(epochs: Iterable<Epoch>): IntakeSettlement {
    const {grants, recalls, starts, againAt} = this.slots.settle(
      this.options.clock.now(),
    );
    for (const start of starts) this.startQueued(start);
    const mail = new Map<Epoch, Mail>();
    for (const epoch of epochs) {
      const reports = this.takeReports(epoch);
      const granted = grants.get(epoch) ?? 0;
      const recalled = recalls.get(epoch) ?? 0;
      if (reports.length + granted + recalled === 0) continue;
      mail.set(epoch, {reports, granted, recalled});
    }
    return {mail, againAt};
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
    if (this.ledger.has(task)) {
      this.duplicateCount++;
      this.ledger.start(epoch, task, accepted.keepUntil);
      if (task.granted) this.slots.spendGrant(epoch);
      return;
    }
    const refusal = this.judgeStart(task);
    if (refusal !== undefined) {
      this.refuse(epoch, task, refusal);
      if (task.granted) this.slots.spendGrant(epoch);
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

  /** Tells why a task that is not known here cannot start; undefined when it can. */
  private judgeStart(task: StartTask): TaskRefusal | undefined {
    if (task.remainingMs <= 0) return 'expired';
    if (this.readiness.kind === 'shut') return this.readiness.reason;
    if (this.ledger.size >= maxKnownTasks) return 'no-slot';
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

  /** Runs a task that holds a slot of the epoch. */
  private startTask(epoch: Epoch, task: AcceptedTask): void {
    const {readiness} = this;
    if (readiness.kind === 'shut') {
      this.slots.release(epoch, this.options.clock.now());
      this.refuse(epoch, task, readiness.reason);
      return;
    }
    this.ledger.start(epoch, task, task.keepUntil);
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
    if (end.released === undefined) this.returnSlot(epoch);
    else void end.released.then(() => this.returnSlot(epoch));
    this.options.metrics.timing('agent.task', end.runMs, {
      fate: end.fate.kind,
    });
    if (end.fate.kind === 'not-run') {
      for (const owner of this.ledger.resolveOwners(request)) {
        this.refuse(owner, request, end.fate.reason);
      }
      this.ledger.forget(request);
    } else {
      this.ledger.end(request, end.fate, end.bytes, end.runMs);
    }
    if (end.unreachable) this.options.onUnreachable();
    this.options.onChange();
  }

  private returnSlot(epoch: Epoch): void {
    this.slots.release(epoch, this.options.clock.now());
    this.options.onChange();
  }

  private takeReports(epoch: Epoch): readonly (readonly TaskReport[])[] {
    const batches: (readonly TaskReport[])[] = [];
    let batch: readonly TaskReport[] = this.refusals.get(epoch) ?? [];
    this.refusals.delete(epoch);
    for (;;) {
      batch = [...batch, ...this.ledger.takeReports(epoch, maxReportBytes)];
      if (batch.length === 0) return batches;
      batches.push(batch);
      batch = [];
    }
  }
}
