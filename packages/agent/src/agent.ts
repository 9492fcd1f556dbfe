import {type Either, Left, Right} from 'purify-ts';
import {
  type Clock,
  computeDeadline,
  computeRemainingMs,
  type Configuration,
  type Epoch,
  type Instant,
  type ServiceConfig,
  type TargetInfo,
  type TaskRef,
  type TaskRefusal,
  type VersionedSource,
} from '#model';
import {
  type AgentStatus,
  type FenceParams,
  type FenceResult,
  type HelloParams,
  type HelloResult,
  type Liveness,
  type Peer,
  PeerListener,
  type QueryResult,
  type StartTask,
  type TaskReport,
  type TasksParams,
} from '#protocol';
import type {AgentRole, ProcessSettings} from '#settings';
import type {Runtime} from '#telemetry';
import {ControlLink} from './control-link.js';
import {awaitDrained} from './drain.js';
import {formatTask, Ledger} from './ledger.js';
import {Runner, type RunEnd} from './runner.js';
import {choosePlacement, countSlots, findService} from './service.js';
import {Sessions} from './sessions.js';
import {type QueuedStart, Slots} from './slots.js';
import type {RunRequest, Target} from './target.js';
import {TargetWatch} from './target-watch.js';

/** What an agent gets from its surroundings. */
export interface AgentOptions {
  readonly settings: ProcessSettings<AgentRole>;
  readonly target: Target;
  readonly runtime: Pick<Runtime, 'log' | 'metrics' | 'clock'>;
  /** Reads a configuration for this agent's site. */
  readonly readConfiguration: (
    configuration: VersionedSource,
  ) => Either<string, Configuration>;
  /** Differs at each start of the agent. */
  readonly incarnation: number;
  readonly liveness?: Liveness;
}

interface AcceptedTask extends RunRequest {
  readonly deadline: Instant;
  readonly keepUntil: Instant;
}

const maxRetainedBytes = 24 * 1024 * 1024;
const maxReportBytes = 16 * 1024 * 1024;
const maxKnownTasks = 400_000;
const maxQueuedPerSlot = 2;
const sweepIntervalMs = 1000;
const healthIntervalMs = 250;

/** The process beside one target: the last word on what starts there. */
export class Agent implements AsyncDisposable {
  private readonly ledger: Ledger;
  private readonly sessions = new Sessions();
  private readonly peers = new Map<Epoch, Peer>();
  private readonly refusals = new Map<Epoch, TaskReport[]>();
  /** The epochs whose slots the running tasks hold. */
  private readonly holders = new Map<string, Epoch>();
  private readonly slots: Slots<AcceptedTask>;
  private readonly runner: Runner;
  private readonly clock: Clock;
  private readonly watch: TargetWatch;
  private readonly sweeper: NodeJS.Timeout;
  private listener!: PeerListener;
  private control!: ControlLink;
  private info!: TargetInfo;
  private service: ServiceConfig | undefined;
  private configVersion: number | undefined;
  private settling = false;
  private started = 0;
  private duplicates = 0;
  private lastStart: Instant = 0;
  private drainResult: Promise<boolean> | undefined;
  private resolveDrained!: (complete: boolean) => void;
  private disposed = false;

  /** Resolves once a drain is over; true when nothing was left. */
  readonly drained = new Promise<boolean>(
    resolve => (this.resolveDrained = resolve),
  );

  private constructor(private readonly options: AgentOptions) {
    const {target, runtime} = options;
    this.clock = runtime.clock;
    this.ledger = new Ledger(maxRetainedBytes, this.clock.now());
    this.slots = new Slots(0, 'credit', 0);
    this.runner = new Runner(target, this.clock, (request, end) =>
      this.finishTask(request, end),
    );
    this.watch = new TargetWatch(target, healthIntervalMs, () =>
      this.noteTargetChange(),
    );
    this.sweeper = setInterval(() => this.sweep(), sweepIntervalMs);
    this.sweeper.unref();
  }

  /** Listens for entries and begins to announce the target; fails with the system's error. */
  static async start(options: AgentOptions): Promise<Either<string, Agent>> {
    const agent = new Agent(options);
    const listening = await agent.listen();
    if (listening.isRight()) return Right(agent);
    await agent[Symbol.asyncDispose]();
    return Left(String(listening.extract()));
  }

  /** Where entries connect. */
  get address(): string {
    return this.listener.address;
  }

  getStatus(): AgentStatus {
    return {
      target: this.info,
      running: this.ledger.running,
      slots: this.slots.total,
      queued: this.slots.queued,
      started: this.started,
      duplicates: this.duplicates,
      configVersion: this.configVersion ?? 0,
    };
  }

  /**
   * Leaves: refuses new work at once, finishes what runs, tells every fate and
   * withdraws. Returns false when the deadline or the signal came first.
   */
  drain(deadline: Instant, halt?: AbortSignal): Promise<boolean> {
    this.drainResult ??= this.leave(deadline, halt);
    return this.drainResult;
  }

  /** Ends at once. What still runs is stopped and told as unknown. */
  async [Symbol.asyncDispose](): Promise<void> {
    if (this.disposed) return;
    this.disposed = true;
    clearInterval(this.sweeper);
    this.watch[Symbol.dispose]();
    await this.runner.stopAll();
    this.settle();
    await this.control?.[Symbol.asyncDispose]();
    await this.listener?.[Symbol.asyncDispose]();
    await this.options.target[Symbol.asyncDispose]();
  }

  private async leave(deadline: Instant, halt?: AbortSignal): Promise<boolean> {
    this.options.runtime.log.info({event: 'drain'}, 'refusing new tasks');
    this.info = {...this.info, leaving: true};
    this.resize();
    for (const {epoch, task} of this.slots.dropAllClaims()) {
      this.refuse(epoch, task, 'draining');
    }
    const timeout = AbortSignal.timeout(
      Math.ceil(computeRemainingMs(this.clock.now(), deadline)),
    );
    const complete = await awaitDrained(
      {
        clock: this.clock,
        isIdle: () =>
          this.ledger.running === 0 &&
          this.ledger.pendingReports === 0 &&
          this.refusals.size === 0,
        hasSessions: () => this.peers.size > 0,
        getLastStart: () => this.lastStart,
        announce: signal => this.control.announce(signal),
      },
      halt === undefined ? timeout : AbortSignal.any([halt, timeout]),
    );
    await this.control.withdraw();
    this.resolveDrained(complete);
    return complete;
  }

  private async listen(): Promise<Either<string, unknown>> {
    const {settings, liveness, runtime, incarnation} = this.options;
    const {role} = settings;
    const listening = await PeerListener.listen(
      role.listen,
      {
        'agent.hello': (hello, peer) => this.greet(hello, peer),
        'agent.query': (query, peer) => this.answerQuery(query, peer),
        'agent.fence': fence => this.fence(fence),
        'agent.drain': ({remainingMs}) => {
          void this.drain(computeDeadline(this.clock.now(), remainingMs));
          return {};
        },
        'agent.status': () => this.getStatus(),
        'agent.start': ({tasks, waiting}, peer) =>
          this.withSession(peer, epoch => {
            this.slots.setWaiting(epoch, waiting);
            for (const task of tasks) this.receiveTask(epoch, task);
          }),
        'agent.reserve': ({slots}, peer) =>
          this.withSession(peer, epoch => this.slots.reserve(epoch, slots)),
        'agent.release': ({slots}, peer) =>
          this.withSession(peer, epoch => this.slots.giveBack(epoch, slots)),
        'agent.demand': ({waiting}, peer) =>
          this.withSession(peer, epoch =>
            this.slots.setWaiting(epoch, waiting),
          ),
        'agent.cancel': ({tasks}, peer) =>
          this.withSession(peer, epoch => this.cancelTasks(epoch, tasks)),
      },
      undefined,
      liveness,
    );
    return listening.map(listener => {
      this.listener = listener;
      this.info = {
        target: settings.id,
        incarnation,
        service: role.service,
        address: listener.address,
        place: settings.place,
        capacity: role.capacity,
        leaving: false,
      };
      this.control = new ControlLink({
        controls: settings.controls,
        leases: settings.leases,
        clock: this.clock,
        log: runtime.log,
        liveness,
        describeTarget: () => this.info,
        getConfigVersion: () => this.configVersion ?? 0,
        onConfiguration: configuration => this.configure(configuration),
      });
    });
  }

  private greet(hello: HelloParams, peer: Peer): HelloResult {
    if (this.ledger.isBarred(hello.epoch)) return {kind: 'fenced'};
    const verdict = this.sessions.greet(hello);
    if (verdict.kind === 'fenced') return verdict;
    if (verdict.replaced !== undefined) this.endSession(verdict.replaced.epoch);
    const {epoch} = hello;
    this.peers.set(epoch, peer);
    this.slots.connect(epoch);
    void peer.closed.then(() => {
      if (this.peers.get(epoch) === peer) this.endSession(epoch);
    });
    this.scheduleSettle();
    return {kind: 'welcome', target: this.info, slots: this.slots.total};
  }

  /** Ends an epoch's connection: what still arrives on it is ignored. */
  private endSession(epoch: Epoch): void {
    const peer = this.peers.get(epoch);
    this.peers.delete(epoch);
    this.refusals.delete(epoch);
    this.slots.disconnect(epoch);
    peer?.close('the session is over');
    this.scheduleSettle();
  }

  private findSession(peer: Peer): Epoch | undefined {
    for (const [epoch, current] of this.peers) {
      if (current === peer) return epoch;
    }
    return undefined;
  }

  private withSession(peer: Peer, act: (epoch: Epoch) => void): void {
    const epoch = this.findSession(peer);
    if (epoch === undefined) return;
    act(epoch);
    this.scheduleSettle();
  }

  private answerQuery({tasks}: TasksParams, peer: Peer): QueryResult {
    const epoch = this.findSession(peer);
    if (epoch === undefined) throw new Error('no session: say agent.hello');
    return {
      standings: tasks.map(ref =>
        this.slots.hasQueued(formatTask(ref))
          ? {kind: 'running'}
          : this.ledger.query(epoch, ref),
      ),
    };
  }

  private fence({epochs, heir}: FenceParams): FenceResult {
    const tasks = this.ledger.fence(epochs, heir);
    for (const epoch of epochs) {
      if (this.ledger.isBarred(epoch)) this.endSession(epoch);
    }
    const {target, incarnation} = this.info;
    return {target, incarnation, tasks};
  }

  private receiveTask(epoch: Epoch, task: StartTask): void {
    this.lastStart = this.clock.now();
    const deadline = computeDeadline(this.lastStart, task.remainingMs);
    const accepted: AcceptedTask = {
      job: task.job,
      task: task.task,
      payload: task.payload,
      deadline,
      keepUntil: deadline + task.keepMs,
    };
    const key = formatTask(task);
    if (this.ledger.has(task)) {
      this.duplicates++;
      this.ledger.start(epoch, task, accepted.keepUntil);
      this.returnGrant(epoch, task);
      return;
    }
    const refusal = this.slots.hasQueued(key)
      ? 'no-slot'
      : this.judgeStart(task);
    if (refusal !== undefined) {
      this.refuse(epoch, task, refusal);
      this.returnGrant(epoch, task);
      return;
    }
    if (task.granted && this.slots.useGrant(epoch)) {
      this.startTask(epoch, accepted);
      return;
    }
    if (!this.slots.enqueue({epoch, key, task: accepted})) {
      this.refuse(epoch, task, 'no-slot');
    }
  }

  /** Tells why a task that is not known here cannot start; undefined when it can. */
  private judgeStart(task: StartTask): TaskRefusal | undefined {
    if (this.info.leaving) return 'draining';
    if (task.remainingMs <= 0) return 'expired';
    if (this.configVersion === undefined) return 'no-slot';
    if (this.service === undefined) return 'wrong-service';
    if (this.watch.isDown) return 'target-down';
    if (this.slots.total === 0) return 'too-large';
    if (this.ledger.size >= maxKnownTasks) return 'no-slot';
    return undefined;
  }

  /** Frees the slot of a granted start that does not run. */
  private returnGrant(epoch: Epoch, task: StartTask): void {
    if (task.granted && this.slots.useGrant(epoch)) this.slots.free(epoch);
  }

  private refuse(epoch: Epoch, ref: TaskRef, reason: TaskRefusal): void {
    this.options.runtime.metrics.increment('agent.refusal', 1, {reason});
    const {job, task} = ref;
    const reports = this.refusals.get(epoch) ?? [];
    reports.push({job, task, fate: {kind: 'not-run', reason}, runMs: 0});
    this.refusals.set(epoch, reports);
  }

  /** Runs a task that holds a slot of the epoch. */
  private startTask(epoch: Epoch, task: AcceptedTask): void {
    this.ledger.start(epoch, task, task.keepUntil);
    this.started++;
    this.holders.set(formatTask(task), epoch);
    this.runner.run(task, this.service!.maxTaskMs);
  }

  private finishTask(request: RunRequest, end: RunEnd): void {
    const key = formatTask(request);
    this.slots.free(this.holders.get(key)!);
    this.holders.delete(key);
    this.options.runtime.metrics.timing('agent.task', end.runMs, {
      service: this.info.service,
      fate: end.fate.kind,
    });
    if (end.fate.kind === 'not-run') {
      for (const epoch of this.ledger.resolveOwners(request)) {
        this.refuse(epoch, request, end.fate.reason);
      }
      this.ledger.retract(request);
    } else {
      this.ledger.end(request, end.fate, end.bytes, end.runMs);
    }
    if (end.unreachable) this.watch.suspend();
    this.scheduleSettle();
  }

  private cancelTasks(epoch: Epoch, tasks: readonly TaskRef[]): void {
    for (const ref of tasks) {
      const key = formatTask(ref);
      if (this.slots.dequeue(key)) {
        this.refuse(epoch, ref, 'cancelled');
      } else if (this.ledger.resolveOwners(ref).includes(epoch)) {
        this.runner.stop(key, {kind: 'cancelled'});
      }
    }
  }

  private scheduleSettle(): void {
    if (this.settling) return;
    this.settling = true;
    setImmediate(() => this.settle());
  }

  /** Once a turn of the loop: deals out free slots and sends what has gathered. */
  private settle(): void {
    this.settling = false;
    const {grants, recalls, starts} = this.slots.settle();
    for (const start of starts) this.startQueued(start);
    for (const [epoch, peer] of this.peers) {
      this.sendReports(epoch, peer, grants.get(epoch) ?? 0);
      const recall = recalls.get(epoch) ?? 0;
      if (recall > 0) peer.notify('entry.recall', {slots: recall});
    }
  }

  private startQueued({epoch, task}: QueuedStart<AcceptedTask>): void {
    if (task.deadline <= this.clock.now()) {
      this.slots.free(epoch);
      this.refuse(epoch, task, 'expired');
      this.scheduleSettle();
      return;
    }
    this.startTask(epoch, task);
  }

  /** Sends an epoch its reports; the first message carries the slots granted. */
  private sendReports(epoch: Epoch, peer: Peer, granted: number): void {
    let slots = granted;
    let tasks = this.refusals.get(epoch) ?? [];
    this.refusals.delete(epoch);
    for (;;) {
      tasks = [...tasks, ...this.ledger.takeReports(epoch, maxReportBytes)];
      if (tasks.length === 0) break;
      peer.notify('entry.report', {tasks, slots});
      slots = 0;
      tasks = [];
    }
    if (slots > 0) peer.notify('entry.grant', {slots});
  }

  private configure(configuration: VersionedSource): void {
    const {version} = configuration;
    if (this.configVersion !== undefined && version <= this.configVersion) {
      return;
    }
    this.options.readConfiguration(configuration).caseOf({
      Left: detail =>
        this.options.runtime.log.error(
          {event: 'configuration-unreadable', version, detail},
          'a configuration is not taken over',
        ),
      Right: checked => {
        this.configVersion = version;
        this.service = findService(checked, this.info.service);
        this.resize();
      },
    });
  }

  /** Sets how many slots there are and how they reach entries, from all that bears on it. */
  private resize(): void {
    const {service} = this;
    const open =
      service !== undefined && !this.watch.isDown && !this.info.leaving;
    const total = open ? countSlots(this.info.capacity, service.demand) : 0;
    this.slots.setTotal(total);
    if (service !== undefined)
      this.slots.setMode(choosePlacement(service).kind);
    this.slots.setMaxQueued(total * maxQueuedPerSlot);
    this.scheduleSettle();
  }

  private noteTargetChange(): void {
    const {log} = this.options.runtime;
    if (this.watch.isDown) {
      log.warn({event: 'target-down'}, 'the target cannot be reached');
    } else {
      log.info({event: 'target-up'}, 'the target answers again');
    }
    this.resize();
  }

  private sweep(): void {
    this.ledger.sweep(this.clock.now());
    const {metrics} = this.options.runtime;
    metrics.gauge('agent.running', this.ledger.running);
    metrics.gauge('agent.queued', this.slots.queued);
    metrics.gauge('agent.known_tasks', this.ledger.size);
  }
}
