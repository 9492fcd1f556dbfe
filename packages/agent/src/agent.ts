import {type Either, Left, Right} from 'purify-ts';
import {
  computeDeadline,
  computeRemainingMs,
  type Configuration,
  type Epoch,
  type Instant,
  type ServiceConfig,
  type TargetInfo,
  type VersionedSource,
} from '#model';
import {
  type AgentStatus,
  type FenceParams,
  type FenceResult,
  type Handlers,
  type HelloParams,
  type HelloResult,
  defaultLiveness,
  idleLiveness,
  type Liveness,
  type Peer,
  PeerListener,
  type QueryResult,
  type TasksParams,
} from '#protocol';
import {resolvePolicy} from '#policy';
import type {AgentRole, ProcessSettings} from '#settings';
import type {Runtime} from '#telemetry';
import {ControlLink} from './control-link.js';
import {awaitDrained} from './drain.js';
import {
  TaskScheduler,
  type EpochMessages,
  type Readiness,
} from './task-scheduler.js';
import {countSlots} from './capacity.js';
import {EntrySessions} from './sessions.js';
import type {Target} from './target.js';
import {TargetHealthMonitor} from './target-health.js';

export interface AgentOptions {
  readonly settings: ProcessSettings<AgentRole>;
  readonly target: Target;
  readonly runtime: Pick<Runtime, 'log' | 'metrics' | 'clock' | 'intake'>;
  /** Parses a configuration for this agent's site; `Left` describes the errors. */
  readonly readConfiguration: (
    configuration: VersionedSource,
  ) => Either<string, Configuration>;
  /** Identifies this start of the agent; control refuses incarnations older than the one it knows. */
  readonly incarnation: number;
  readonly liveness?: Liveness;
}

const sweepIntervalMs = 1000;
const healthIntervalMs = 250;
const maxDrainMs = 24 * 3_600_000;

/** Runs next to one target and decides which tasks start there. */
export class Agent implements AsyncDisposable {
  /** Resolves once a drain has ended, with whether no work or report was left. */
  readonly drained: Promise<boolean>;

  private readonly sessions: EntrySessions;
  private readonly scheduler: TaskScheduler;
  private readonly targetHealth: TargetHealthMonitor;
  private readonly sweepTimer: NodeJS.Timeout;
  private listener!: PeerListener;
  private control!: ControlLink;
  private info!: TargetInfo;
  private configuration: Configuration | undefined;
  private configVersion = -1;
  private isEvacuated = false;
  /** The configuration version that was committed when this agent was first announced. */
  private committedVersion: number | undefined;
  /** Slots of the healthy target, as sent to entries when they connect. */
  private slots = 0;
  private isPassScheduled = false;
  private passTimer: NodeJS.Timeout | undefined;
  private drainResult: Promise<boolean> | undefined;
  private resolveDrained!: (complete: boolean) => void;
  private disposed = false;

  private constructor(private readonly options: AgentOptions) {
    const {target, runtime} = options;
    this.drained = new Promise(resolve => (this.resolveDrained = resolve));
    this.targetHealth = new TargetHealthMonitor(target, healthIntervalMs, () =>
      this.handleHealthChange(),
    );
    this.sessions = new EntrySessions(runtime.clock, epoch =>
      this.scheduler.endSession(epoch),
    );
    this.scheduler = new TaskScheduler({
      target,
      clock: runtime.clock,
      metrics: runtime.metrics,
      onChange: () => this.schedulePass(),
      onUnreachable: () => this.targetHealth.markDown(),
    });
    this.sweepTimer = setInterval(() => this.sweep(), sweepIntervalMs);
    this.sweepTimer.unref();
  }

  /** Listens for entries and starts to announce the target; fails with the system's error. */
  static async start(options: AgentOptions): Promise<Either<string, Agent>> {
    const agent = new Agent(options);
    const listening = await agent.listen();
    if (listening.isRight()) return Right(agent);
    await agent[Symbol.asyncDispose]();
    return Left(String(listening.extract()));
  }

  /** The address at which entries connect. */
  get address(): string {
    return this.listener.address;
  }

  /** Number of connected entries. */
  get sessionCount(): number {
    return this.sessions.size;
  }

  getStatus(): AgentStatus {
    const {running, slots, queued, started, duplicates} = this.scheduler.counts;
    return {
      target: this.info,
      running,
      slots,
      queued,
      started,
      duplicates,
      configVersion: this.getConfigVersion(),
    };
  }

  /**
   * Refuses new tasks at once, lets running ones finish, reports every outcome
   * and withdraws. Resolves with false when the deadline or the signal came first.
   */
  drain(deadline: Instant, halt?: AbortSignal): Promise<boolean> {
    this.drainResult ??= this.runDrain(deadline, halt);
    return this.drainResult;
  }

  /** Shuts down at once. Running tasks are stopped and reported as unknown. */
  async [Symbol.asyncDispose](): Promise<void> {
    if (this.disposed) return;
    this.disposed = true;
    clearInterval(this.sweepTimer);
    clearTimeout(this.passTimer);
    this.targetHealth[Symbol.dispose]();
    await this.scheduler.stopAll();
    this.runPass();
    await this.control?.[Symbol.asyncDispose]();
    await this.listener?.[Symbol.asyncDispose]();
    await this.options.target[Symbol.asyncDispose]();
  }

  private async runDrain(
    deadline: Instant,
    halt?: AbortSignal,
  ): Promise<boolean> {
    const {clock, log} = this.options.runtime;
    log.info({event: 'drain'}, 'drain started; refusing new tasks');
    this.info = {...this.info, leaving: true};
    this.updateReadiness();
    const remainingMs = computeRemainingMs(clock.now(), deadline);
    const timeout = AbortSignal.timeout(
      Math.ceil(Math.min(maxDrainMs, remainingMs)),
    );
    const complete = await awaitDrained(
      {
        clock,
        isIdle: () => this.scheduler.isIdle,
        hasSessions: () => this.sessions.size > 0,
        hasPendingReconnects: () => this.sessions.hasPendingReconnects(),
        syncAll: () => this.sessions.syncAll(),
        getLastStart: () => this.scheduler.lastStartAt,
        announce: signal => this.control.announce(signal),
      },
      halt === undefined ? timeout : AbortSignal.any([halt, timeout]),
    );
    await this.control.withdraw();
    log.info({event: 'drained', complete}, 'drain ended');
    this.resolveDrained(complete);
    return complete;
  }

  private async listen(): Promise<Either<string, unknown>> {
    const {settings, liveness, runtime, incarnation} = this.options;
    const {role} = settings;
    const listening = await PeerListener.listen(
      role.listen,
      this.createHandlers(),
      undefined,
      liveness,
      runtime.intake,
    );
    return listening.map(listener => {
      this.listener = listener;
      this.info = {
        target: settings.id,
        incarnation,
        service: role.service,
        address: role.advertise ?? listener.address,
        place: settings.place,
        capacity: role.capacity,
        leaving: false,
      };
      this.control = new ControlLink({
        listControls: () => settings.controls,
        leases: settings.leases,
        clock: runtime.clock,
        log: runtime.log,
        liveness,
        describeTarget: () => this.info,
        onAnnounced: version => {
          this.committedVersion ??= version;
          this.updateReadiness();
        },
        configuration: {
          getVersion: () => this.getConfigVersion(),
          onConfiguration: source => this.applyConfiguration(source),
          onEvacuations: domains =>
            this.setEvacuated(domains.has(settings.place.failureDomain)),
        },
      });
      this.targetHealth.start();
    });
  }

  private createHandlers(): Handlers {
    const {scheduler} = this;
    return {
      'agent.hello': (hello, peer) => this.openSession(hello, peer),
      'agent.query': (query, peer) => this.answerQuery(query, peer),
      'agent.fence': fence => this.fence(fence),
      'agent.drain': ({remainingMs}) => {
        const now = this.options.runtime.clock.now();
        void this.drain(computeDeadline(now, remainingMs));
        return {};
      },
      'agent.status': () => this.getStatus(),
      'agent.start': (start, peer) =>
        this.applyInSession(peer, epoch =>
          scheduler.receiveStart(epoch, start),
        ),
      'agent.reserve': ({slots}, peer) =>
        this.applyInSession(peer, epoch => scheduler.reserve(epoch, slots)),
      'agent.release': ({slots}, peer) =>
        this.applyInSession(peer, epoch =>
          scheduler.releaseUnused(epoch, slots),
        ),
      'agent.demand': ({waiting}, peer) =>
        this.applyInSession(peer, epoch =>
          scheduler.setWaiting(epoch, waiting),
        ),
      'agent.cancel': ({tasks}, peer) =>
        this.applyInSession(peer, epoch => scheduler.cancel(epoch, tasks)),
    };
  }

  private openSession(hello: HelloParams, peer: Peer): HelloResult {
    const {epoch} = hello;
    if (this.scheduler.isFenced(epoch)) return {kind: 'fenced'};
    if (!this.sessions.open(hello, peer)) return {kind: 'fenced'};
    peer.setLiveness(idleLiveness);
    this.scheduler.connect(epoch);
    return {
      kind: 'welcome',
      target: this.info,
      slots: this.slots,
    };
  }

  private applyInSession(peer: Peer, apply: (epoch: Epoch) => void): void {
    const epoch = this.sessions.findEpoch(peer);
    if (epoch !== undefined) apply(epoch);
  }

  private answerQuery({tasks}: TasksParams, peer: Peer): QueryResult {
    const epoch = this.sessions.findEpoch(peer);
    if (epoch === undefined) {
      throw new Error('the connection has no session: call agent.hello first');
    }
    return {standings: tasks.map(ref => this.scheduler.query(epoch, ref))};
  }

  private fence(params: FenceParams): FenceResult {
    const {records: tasks, next} = this.scheduler.fence(params);
    for (const epoch of params.epochs) {
      if (this.scheduler.isFenced(epoch)) this.sessions.end(epoch);
    }
    const {target, incarnation} = this.info;
    return {target, incarnation, tasks, ...(next !== undefined && {next})};
  }

  private schedulePass(): void {
    if (this.isPassScheduled) return;
    this.isPassScheduled = true;
    setImmediate(() => this.runPass());
  }

  /** Assigns free slots and sends pending messages; runs at most once per turn of the event loop. */
  private runPass(): void {
    this.isPassScheduled = false;
    clearTimeout(this.passTimer);
    const {messages: messagesByEpoch, nextPassAt} = this.scheduler.runPass(
      this.sessions.listEpochs(),
    );
    if (nextPassAt < Infinity && !this.disposed) {
      const waitMs = nextPassAt - this.options.runtime.clock.now();
      this.passTimer = setTimeout(() => this.schedulePass(), waitMs);
    }
    for (const [epoch, messages] of messagesByEpoch) {
      const peer = this.sessions.getPeer(epoch);
      if (peer === undefined) continue;
      sendMessages(peer, messages);
      // Another entry may be waiting for the recalled slots, so a peer that has
      // failed must be detected soon.
      if (messages.recalled > 0) peer.ensureAlive(this.liveness);
    }
  }

  private get liveness(): Liveness {
    return this.options.liveness ?? defaultLiveness;
  }

  private getConfigVersion(): number {
    return Math.max(0, this.configVersion);
  }

  private applyConfiguration(source: VersionedSource): void {
    const {version} = source;
    const {log} = this.options.runtime;
    if (version <= this.configVersion) return;
    this.options.readConfiguration(source).caseOf({
      Left: detail =>
        log.error(
          {event: 'configuration-unreadable', version, detail},
          'cannot parse the configuration; the previous one stays in force',
        ),
      Right: configuration => {
        log.info({event: 'configured', version}, 'applied a configuration');
        this.configVersion = version;
        this.configuration = configuration;
        this.updateSlots();
        this.updateReadiness();
      },
    });
  }

  /** Entries get the number of slots when a session opens, so a new number needs new sessions. */
  private updateSlots(): void {
    const service = this.findService();
    if (service === undefined) return;
    const slots = countSlots(this.options.settings.role.capacity, [
      service.demand,
    ]);
    if (slots === this.slots) return;
    this.slots = slots;
    this.sessions.closeAll('the number of slots has changed');
  }

  private findService(): ServiceConfig | undefined {
    return this.configuration?.services.find(
      ({name}) => name === this.info.service,
    );
  }

  private updateReadiness(): void {
    this.scheduler.setReadiness(this.computeReadiness());
  }

  private computeReadiness(): Readiness {
    if (this.info.leaving) return {kind: 'shut', reason: 'draining'};
    if (this.isEvacuated) return {kind: 'shut', reason: 'no-slot'};
    const {committedVersion} = this;
    if (
      committedVersion === undefined ||
      this.configVersion < committedVersion
    ) {
      return {kind: 'shut', reason: 'no-slot'};
    }
    const service = this.findService();
    if (service === undefined) return {kind: 'shut', reason: 'wrong-service'};
    if (this.targetHealth.isDown) return {kind: 'shut', reason: 'target-down'};
    const slots = countSlots(this.options.settings.role.capacity, [
      service.demand,
      ...this.scheduler.listDemands(),
    ]);
    if (slots === 0) return {kind: 'shut', reason: 'too-large'};
    const policy = resolvePolicy(service);
    return {kind: 'open', service, policy, slots};
  }

  /** While the failure domain is evacuated, grants and starts nothing; running tasks continue. */
  private setEvacuated(isEvacuated: boolean): void {
    if (isEvacuated === this.isEvacuated) return;
    this.isEvacuated = isEvacuated;
    this.options.runtime.log.info(
      {event: isEvacuated ? 'runner-evacuated' : 'runner-restored'},
      isEvacuated
        ? 'the failure domain is evacuated; no task is started'
        : 'the failure domain is back in service',
    );
    this.updateReadiness();
  }

  private handleHealthChange(): void {
    const {log} = this.options.runtime;
    if (this.targetHealth.isDown) {
      log.warn({event: 'target-down'}, 'target is down');
    } else {
      log.info({event: 'target-up'}, 'target is up');
    }
    this.updateReadiness();
  }

  private sweep(): void {
    this.scheduler.sweep();
    if (this.info.capacity.kind === 'worker') this.updateReadiness();
    const {metrics} = this.options.runtime;
    const {running, queued, known} = this.scheduler.counts;
    metrics.gauge('agent.running', running);
    metrics.gauge('agent.queued', queued);
    metrics.gauge('agent.known_tasks', known);
  }
}

/** Sends pending messages to an entry; granted slots are part of the first report. */
function sendMessages(
  peer: Peer,
  {reports, granted, recalled}: EpochMessages,
): void {
  let slots = granted;
  for (const tasks of reports) {
    peer.notify('entry.report', {tasks, slots});
    slots = 0;
  }
  if (slots > 0) peer.notify('entry.grant', {slots});
  if (recalled > 0) peer.notify('entry.recall', {slots: recalled});
}
