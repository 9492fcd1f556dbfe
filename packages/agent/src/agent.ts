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
import {Intake, type Mail, type Readiness} from './intake.js';
import {countSlots} from './capacity.js';
import {Sessions} from './sessions.js';
import type {Target} from './target.js';
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

const sweepIntervalMs = 1000;
const healthIntervalMs = 250;
const maxDrainMs = 24 * 3_600_000;

/** The process beside one target: the last word on what starts there. */
export class Agent implements AsyncDisposable {
  /** Resolves once a drain is over; true when nothing was left. */
  readonly drained: Promise<boolean>;

  private readonly sessions: Sessions;
  private readonly intake: Intake;
  private readonly watch: TargetWatch;
  private readonly sweeper: NodeJS.Timeout;
  private listener!: PeerListener;
  private control!: ControlLink;
  private info!: TargetInfo;
  private configuration: Configuration | undefined;
  private configVersion = -1;
  /** The version that was committed when this agent was first announced. */
  private committedVersion: number | undefined;
  /** Slots while the target is well and the agent stays, as entries are told. */
  private slots = 0;
  private settling = false;
  private settleTimer: NodeJS.Timeout | undefined;
  private drainResult: Promise<boolean> | undefined;
  private resolveDrained!: (complete: boolean) => void;
  private disposed = false;

  private constructor(private readonly options: AgentOptions) {
    const {target, runtime} = options;
    this.drained = new Promise(resolve => (this.resolveDrained = resolve));
    this.watch = new TargetWatch(target, healthIntervalMs, () =>
      this.noteTargetChange(),
    );
    this.sessions = new Sessions(runtime.clock, epoch =>
      this.intake.lose(epoch),
    );
    this.intake = new Intake({
      target,
      clock: runtime.clock,
      metrics: runtime.metrics,
      onChange: () => this.scheduleSettle(),
      onUnreachable: () => this.watch.suspend(),
    });
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

  /** Entries connected. */
  get sessionCount(): number {
    return this.sessions.size;
  }

  getStatus(): AgentStatus {
    const {running, slots, queued, started, duplicates} = this.intake.counts;
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
    clearTimeout(this.settleTimer);
    this.watch[Symbol.dispose]();
    await this.intake.stopAll();
    this.settle();
    await this.control?.[Symbol.asyncDispose]();
    await this.listener?.[Symbol.asyncDispose]();
    await this.options.target[Symbol.asyncDispose]();
  }

  private async leave(deadline: Instant, halt?: AbortSignal): Promise<boolean> {
    const {clock, log} = this.options.runtime;
    log.info({event: 'drain'}, 'refusing new tasks');
    this.info = {...this.info, leaving: true};
    this.adjustReadiness();
    const remainingMs = computeRemainingMs(clock.now(), deadline);
    const timeout = AbortSignal.timeout(
      Math.ceil(Math.min(maxDrainMs, remainingMs)),
    );
    const complete = await awaitDrained(
      {
        clock,
        isIdle: () => this.intake.isIdle,
        hasSessions: () => this.sessions.size > 0,
        hasMissing: () => this.sessions.hasMissing(),
        confirmAll: () => this.sessions.confirmAll(),
        getLastStart: () => this.intake.lastStartAt,
        announce: signal => this.control.announce(signal),
      },
      halt === undefined ? timeout : AbortSignal.any([halt, timeout]),
    );
    await this.control.withdraw();
    log.info({event: 'drained', complete}, 'the drain is over');
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
        controls: settings.controls,
        leases: settings.leases,
        clock: runtime.clock,
        log: runtime.log,
        liveness,
        describeTarget: () => this.info,
        getConfigVersion: () => this.getConfigVersion(),
        onAnnounced: version => {
          this.committedVersion ??= version;
          this.adjustReadiness();
        },
        onConfiguration: source => this.applyConfiguration(source),
      });
      this.watch.start();
    });
  }

  private createHandlers(): Handlers {
    const {intake} = this;
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
        this.applyInSession(peer, epoch => intake.receiveStart(epoch, start)),
      'agent.reserve': ({slots}, peer) =>
        this.applyInSession(peer, epoch => intake.reserve(epoch, slots)),
      'agent.release': ({slots}, peer) =>
        this.applyInSession(peer, epoch => intake.giveBack(epoch, slots)),
      'agent.demand': ({waiting}, peer) =>
        this.applyInSession(peer, epoch => intake.setWaiting(epoch, waiting)),
      'agent.cancel': ({tasks}, peer) =>
        this.applyInSession(peer, epoch => intake.cancel(epoch, tasks)),
    };
  }

  private openSession(hello: HelloParams, peer: Peer): HelloResult {
    const {epoch} = hello;
    if (this.intake.isBarred(epoch)) return {kind: 'fenced'};
    if (!this.sessions.open(hello, peer)) return {kind: 'fenced'};
    peer.setLiveness(idleLiveness);
    this.intake.connect(epoch);
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
    return {standings: tasks.map(ref => this.intake.query(epoch, ref))};
  }

  private fence(params: FenceParams): FenceResult {
    const {records: tasks, next} = this.intake.fence(params);
    for (const epoch of params.epochs) {
      if (this.intake.isBarred(epoch)) this.sessions.end(epoch);
    }
    const {target, incarnation} = this.info;
    return {target, incarnation, tasks, ...(next !== undefined && {next})};
  }

  private scheduleSettle(): void {
    if (this.settling) return;
    this.settling = true;
    setImmediate(() => this.settle());
  }

  /** Once a turn of the loop: deals out free slots and sends what has gathered. */
  private settle(): void {
    this.settling = false;
    clearTimeout(this.settleTimer);
    const {mail: mails, againAt} = this.intake.settle(
      this.sessions.listEpochs(),
    );
    if (againAt < Infinity && !this.disposed) {
      const waitMs = againAt - this.options.runtime.clock.now();
      this.settleTimer = setTimeout(() => this.scheduleSettle(), waitMs);
    }
    for (const [epoch, mail] of mails) {
      const peer = this.sessions.getPeer(epoch);
      if (peer === undefined) continue;
      sendMail(peer, mail);
      // Idle slots that are asked back may be all that another entry waits for.
      if (mail.recalled > 0) peer.ensureAlive(this.liveness);
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
          'the configuration cannot be read; the one before stays in force',
        ),
      Right: configuration => {
        log.info({event: 'configured', version}, 'a configuration is in force');
        this.configVersion = version;
        this.configuration = configuration;
        this.adjustSlots();
        this.adjustReadiness();
      },
    });
  }

  /** Entries learn the number of slots with their session, so a new number needs new sessions. */
  private adjustSlots(): void {
    const service = this.findService();
    if (service === undefined) return;
    const slots = countSlots(this.options.settings.role.capacity, [
      service.demand,
    ]);
    if (slots === this.slots) return;
    this.slots = slots;
    this.sessions.reopenAll('the number of slots has changed');
  }

  private findService(): ServiceConfig | undefined {
    return this.configuration?.services.find(
      ({name}) => name === this.info.service,
    );
  }

  private adjustReadiness(): void {
    this.intake.setReadiness(this.judgeReadiness());
  }

  private judgeReadiness(): Readiness {
    if (this.info.leaving) return {kind: 'shut', reason: 'draining'};
    const {committedVersion} = this;
    if (
      committedVersion === undefined ||
      this.configVersion < committedVersion
    ) {
      return {kind: 'shut', reason: 'no-slot'};
    }
    const service = this.findService();
    if (service === undefined) return {kind: 'shut', reason: 'wrong-service'};
    if (this.watch.isDown) return {kind: 'shut', reason: 'target-down'};
    const slots = countSlots(this.options.settings.role.capacity, [
      service.demand,
      ...this.intake.listDemands(),
    ]);
    if (slots === 0) return {kind: 'shut', reason: 'too-large'};
    const policy = resolvePolicy(service);
    return {kind: 'open', service, policy, slots};
  }

  private noteTargetChange(): void {
    const {log} = this.options.runtime;
    if (this.watch.isDown) {
      log.warn({event: 'target-down'}, 'the target cannot be reached');
    } else {
      log.info({event: 'target-up'}, 'the target answers again');
    }
    this.adjustReadiness();
  }

  private sweep(): void {
    this.intake.sweep();
    if (this.info.capacity.kind === 'worker') this.adjustReadiness();
    const {metrics} = this.options.runtime;
    const {running, queued, known} = this.intake.counts;
    metrics.gauge('agent.running', running);
    metrics.gauge('agent.queued', queued);
    metrics.gauge('agent.known_tasks', known);
  }
}

/** Sends an entry what is due to it; slots granted go with the first report. */
function sendMail(peer: Peer, {reports, granted, recalled}: Mail): void {
  let slots = granted;
  for (const tasks of reports) {
    peer.notify('entry.report', {tasks, slots});
    slots = 0;
  }
  if (slots > 0) peer.notify('entry.grant', {slots});
  if (recalled > 0) peer.notify('entry.recall', {slots: recalled});
}
