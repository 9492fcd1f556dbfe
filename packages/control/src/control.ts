import {type Either, Left, Right} from 'purify-ts';
import {
  type Address,
  type ConfigurationSource,
  type ControlId,
  type Instant,
} from '#model';
import {checkMessage, type Message, type ReplicaStatus} from '#consensus';
import {
  type ControlStatus,
  type Handlers,
  type Liveness,
  type Peer,
  PeerListener,
  type ProcessConfigStatus,
  type RegionReport,
  type ViewUpdate,
  type WatchParams,
} from '#protocol';
import type {ControlRole, ProcessSettings} from '#settings';
import type {Runtime} from '#telemetry';
import {EnrolmentLoop} from './enrolment-loop.js';
import {EvacuationLog} from './evacuation-log.js';
import {GroupMembers} from './group-members.js';
import {deriveHomes} from './homes.js';
import {Leader} from './leader.js';
import {ReplicaLinks} from './replica-links.js';
import {ControlMachine} from './state-machine.js';
import {TermState} from './term-state.js';
import {summarizeRegion} from './region-reports.js';
import {RecoveringReplica} from './recovering-replica.js';
import type {StartReplica} from './replica.js';
import {createLeaderHandlers, describeState} from './leader-handlers.js';
import {Upstream} from './upstream.js';
import {Watchers} from './watchers.js';

/** Clients monitor the connections that they dial; this end only has to release dead ones. */
const clientLiveness: Liveness = {
  probeAfterMs: 10_000,
  silenceLimitMs: 30_000,
};
const tickIntervalMs = 100;
const statusTimeoutMs = 500;
/** How long a draining leader waits for a successor to take over. */
const leadershipTransferTimeoutMs = 1000;
/** A replica that has not been current for this long closes its watchers, so that they try another one. */
const maxLagMs = 3000;

export interface ControlOptions {
  readonly settings: ProcessSettings<ControlRole>;
  /** Becomes version 1 when a new group is bootstrapped. */
  readonly configuration: ConfigurationSource;
  readonly runtime: Pick<Runtime, 'log' | 'metrics' | 'clock' | 'intake'>;
  readonly startReplica: StartReplica;
}

/** One control replica: serves the internal protocol on top of the replicated state. */
export class Control implements AsyncDisposable {
  /** Resolves with the cause when the replica has failed for good. */
  readonly failed: Promise<string>;

  private readonly watchers = new Watchers(() => this.machine);
  private readonly machine = new ControlMachine(() => this.watchers.schedule());
  private readonly evacuationLog: EvacuationLog;
  private readonly links: ReplicaLinks;
  private readonly termState: TermState;
  private leader!: Leader;
  private members!: GroupMembers;
  private enrolment: EnrolmentLoop | undefined;
  private upstream: Upstream | undefined;
  private replica!: RecoveringReplica;
  private listener!: PeerListener;
  private tickTimer: NodeJS.Timeout | undefined;
  private currentAt: Instant = 0;
  private fail!: (detail: string) => void;

  private constructor(private readonly options: ControlOptions) {
    const {settings, runtime} = options;
    this.failed = new Promise(resolve => (this.fail = resolve));
    this.links = new ReplicaLinks(settings.id, (from, message) =>
      this.receive(from, message),
    );
    this.evacuationLog = new EvacuationLog(
      this.machine,
      runtime.log,
      runtime.metrics,
    );
    this.termState = new TermState(
      this.machine,
      settings.leases,
      runtime.clock,
    );
  }

  /** Listens and starts the replica; fails when the address or the data folder cannot be used. */
  static async open(options: ControlOptions): Promise<Either<string, Control>> {
    const control = new Control(options);
    const handlers: {-readonly [Name in keyof Handlers]: Handlers[Name]} = {
      'control.status': () => control.describeInitialStatus(),
    };
    const listening = await PeerListener.listen(
      options.settings.role.listen,
      handlers,
      undefined,
      clientLiveness,
      options.runtime.intake,
    );
    return listening.caseOf<Promise<Either<string, Control>>>({
      Left: async detail => Left(detail),
      Right: async listener => {
        control.listener = listener;
        const started = await control.start();
        return started.caseOf<Promise<Either<string, Control>>>({
          Left: async detail => {
            await control.links[Symbol.asyncDispose]();
            await listener[Symbol.asyncDispose]();
            return Left(detail);
          },
          Right: async () => {
            Object.assign(handlers, control.createHandlers());
            for (const peer of listener.peers) peer.close('has started');
            return Right(control);
          },
        });
      },
    });
  }

  get address(): Address {
    return this.listener.address;
  }

  describeStatus(): ControlStatus {
    const status = this.replica.describeStatus();
    const leader = this.leader.findLeader();
    const repair = this.members.describeRepair();
    const {diskFailure} = this.replica;
    return {
      member: status.id,
      role: status.role,
      term: status.term,
      ...(leader === undefined ? {} : {leader}),
      commitIndex: status.commitIndex,
      members: this.members.describe(),
      ...(repair !== undefined && {repair}),
      ...(diskFailure !== undefined && {diskFailure}),
      ...(!this.isCurrent && {catchingUp: true}),
      ...describeState(this.machine.state),
    };
  }

  /** Transfers leadership, answers the requests in flight, then closes. */
  async drain(): Promise<void> {
    const {clock, log} = this.options.runtime;
    const moved = await this.leader.transferLeadership(
      clock.now() + leadershipTransferTimeoutMs,
    );
    if (!moved) log.warn({event: 'no-successor'}, 'stopping without successor');
    await this.leader.close();
    await this[Symbol.asyncDispose]();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.tickTimer);
    await this.enrolment?.[Symbol.asyncDispose]();
    await this.upstream?.[Symbol.asyncDispose]();
    this.watchers[Symbol.dispose]();
    await this.replica[Symbol.asyncDispose]();
    await this.links[Symbol.asyncDispose]();
    await this.listener[Symbol.asyncDispose]();
  }

  private async start(): Promise<Either<string, void>> {
    const {settings, configuration, runtime, startReplica} = this.options;
    const environment = {
      id: settings.id,
      address: this.listener.address,
      machine: this.machine,
      send: (to: ControlId, address: Address | undefined, message: Message) =>
        this.links.send(to, address, message),
      askStatus: (address: Address) => this.askStatus(address),
      observe: ({role, term, leader, members}: ReplicaStatus) =>
        runtime.log.info(
          {
            event: 'replica-role',
            replicaRole: role,
            term,
            leader: leader ?? null,
            voters: members.filter(({voter}) => voter).map(({id}) => id),
          },
          'role, term, leader or members changed',
        ),
    };
    const started = await RecoveringReplica.start({
      start: startReplica,
      environment,
      onDiskFull: () => this.watchers.closeAll('the disk is full'),
      onFailed: detail => this.fail(detail),
      log: runtime.log,
      metrics: runtime.metrics,
    });
    return started.map(replica => {
      this.replica = replica;
      this.leader = new Leader(
        replica,
        this.machine,
        this.termState,
        settings.role.upstream === undefined
          ? {
              author: settings.id,
              source: configuration,
              homes: deriveHomes(configuration, settings.place.region),
            }
          : undefined,
        runtime,
      );
      this.members = new GroupMembers({
        replica,
        leader: this.leader,
        machine: this.machine,
        clock: runtime.clock,
        log: runtime.log,
        voters: settings.role.voters,
      });
      this.enrolment = this.startEnrolment();
      this.upstream = this.createUpstream();
      this.currentAt = runtime.clock.now();
      this.tickTimer = setInterval(() => this.tick(), tickIntervalMs);
    });
  }

  /** Without other controls in the settings there is no group to ask. */
  private startEnrolment(): EnrolmentLoop | undefined {
    const {settings, runtime} = this.options;
    const {controls, role} = settings;
    if (role.voters === undefined || controls.length === 0) return undefined;
    return new EnrolmentLoop({
      controls,
      address: this.listener.address,
      describeStatus: () => this.replica.describeStatus(),
      clock: runtime.clock,
      log: runtime.log,
    });
  }

  private createUpstream(): Upstream | undefined {
    const {settings, runtime} = this.options;
    const {upstream: controls} = settings.role;
    if (controls === undefined) return undefined;
    const {leader, machine} = this;
    const {region} = settings.place;
    const {clock, log} = runtime;
    const describeRegion = () => this.describeRegion();
    return new Upstream({
      controls,
      region,
      clock,
      log,
      leader,
      machine,
      describeRegion,
    });
  }

  private async describeRegion(): Promise<RegionReport> {
    const {configuration, epochs, targets} = this.machine.state;
    const processes = [
      ...(await this.listControls()),
      ...this.termState.listReports(),
    ];
    const {members} = this.replica.describeStatus();
    return summarizeRegion(
      this.options.settings.place.region,
      configuration.current.version,
      processes,
      members.length + epochs.live.size + targets.size,
    );
  }

  /** The status that is reported until the replica has started. */
  private describeInitialStatus(): ControlStatus {
    return {
      member: this.options.settings.id,
      role: 'learner',
      term: 0,
      commitIndex: 0,
      members: [],
      catchingUp: true,
      ...describeState(this.machine.state),
    };
  }

  private askStatus(address: Address): Promise<ControlStatus | undefined> {
    const deadline = this.options.runtime.clock.now() + statusTimeoutMs;
    return this.links.askStatus(address, deadline);
  }

  private tick(): void {
    this.leader.tick();
    this.members.tick();
    this.evacuationLog.tick();
    this.upstream?.tick();
    const {members} = this.replica.describeStatus();
    const others = members.filter(({id}) => id !== this.options.settings.id);
    this.links.updateMembers(new Set(others.map(({address}) => address)));
    this.watchers.announceControls(members.map(({address}) => address));
    const now = this.options.runtime.clock.now();
    if (this.isCurrent) this.currentAt = now;
    if (now - this.currentAt <= maxLagMs) return;
    this.watchers.closeAll('this replica is behind the leader');
  }

  /** Whether the state includes all that was acknowledged before the leader's latest message, which is recent. */
  private get isCurrent(): boolean {
    const {isCurrent, currentUntil} = this.replica.describeStatus();
    return isCurrent && this.options.runtime.clock.now() < currentUntil;
  }

  private createHandlers(): Handlers {
    const {leases, place} = this.options.settings;
    const {region} = place;
    const {leader, termState, upstream} = this;
    const listControls = () => this.listControls();
    return {
      ...createLeaderHandlers({
        leader,
        termState,
        leases,
        region,
        upstream,
        listControls,
      }),
      'control.watch': (params, peer) => this.watch(peer, params),
      'control.changeMembers': params => this.members.change(params),
      'control.enrol': params => this.members.acceptEnrolment(params),
      'control.status': () => this.describeStatus(),
      'control.replicate': (params, peer) => this.links.accept(params, peer),
    };
  }

  private receive(from: ControlId, message: unknown): void {
    checkMessage(message)
      .ifRight(checked => this.replica.receive(from, checked))
      .ifLeft(detail =>
        this.options.runtime.log.warn(
          {event: 'bad-replica-message', from, detail},
          'dropped an invalid message from another replica',
        ),
      );
  }

  /**
   * Rejects a watcher if the view is missing, may be stale or is older than what the watcher has seen.
   * A watcher that has just started has seen nothing, so only the replica can tell that its view is old.
   */
  private watch(peer: Peer, params: WatchParams): ViewUpdate {
    const {revision, configuration} = this.machine.state;
    if (!this.isCurrent) {
      throw new Error('this replica has not caught up with a leader');
    }
    if (configuration.current.version === 0) {
      throw new Error('no configuration is in force yet');
    }
    if (params.since > revision) {
      throw new Error(
        `this replica is at revision ${revision}, the watcher at ${params.since}`,
      );
    }
    return this.watchers.add(peer, params);
  }

  /** Requests each member's applied configuration version; members that do not answer are left out. */
  private async listControls(): Promise<readonly ProcessConfigStatus[]> {
    const {members} = this.replica.describeStatus();
    const statuses = await Promise.all(
      members.map(({id, address}) =>
        id === this.options.settings.id
          ? this.describeStatus()
          : this.askStatus(address),
      ),
    );
    return statuses
      .filter(status => status !== undefined)
      .map(({member, configVersion, catchingUp}) => ({
        process: member,
        role: 'control',
        version: configVersion,
        ...(catchingUp && {catchingUp}),
      }));
  }
}
