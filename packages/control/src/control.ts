import {type Either, Left, Right} from 'purify-ts';
import {
  type Address,
  type ConfigurationSource,
  type ControlId,
  failUnreachable,
  type Instant,
} from '#model';
import {
  type ChangeRefusal,
  checkMessage,
  type MemberChange,
  type Message,
  type ReplicaStatus,
} from '#consensus';
import {
  type ChangeMembersParams,
  type ControlReply,
  type ControlStatus,
  type EnrolParams,
  type EnrolResult,
  type Handlers,
  type Liveness,
  type Nothing,
  type Peer,
  PeerListener,
  type ProcessConfigStatus,
  type RegionReport,
  type ViewUpdate,
  type WatchParams,
} from '#protocol';
import type {ControlRole, ProcessSettings} from '#settings';
import type {Runtime} from '#telemetry';
import {planEnrolment} from './enrolment.js';
import {describeHomes} from './homes.js';
import {Leader} from './leader.js';
import {Links} from './links.js';
import {Machine} from './machine.js';
import {Office} from './office.js';
import {summarizeRegion} from './region-reports.js';
import type {Replica} from './replica.js';
import {createLeaderHandlers, describeState} from './service.js';
import {Upstream} from './upstream.js';
import {Watchers} from './watchers.js';

/** Who dials control watches the connection; this end only has to let go of dead ones. */
const clientLiveness: Liveness = {
  probeAfterMs: 10_000,
  silenceLimitMs: 30_000,
};
const tickIntervalMs = 100;
const statusTimeoutMs = 500;
/** A leader that drains waits this long for its successor, in ms. */
const handOverLimitMs = 1000;
/** A replica without a leader for this long lets its watchers look elsewhere, in ms. */
const maxLeaderlessMs = 3000;

/** What a replica needs of the process around it. */
export interface ReplicaPorts {
  readonly id: ControlId;
  /** Where this replica listens. */
  readonly address: Address;
  readonly machine: Machine;
  /** Sends a message to another replica or drops it. */
  readonly send: (
    to: ControlId,
    address: Address | undefined,
    message: Message,
  ) => void;
  /** Asks another replica how it stands; nothing when it does not answer soon. */
  readonly askStatus: (address: Address) => Promise<ControlStatus | undefined>;
  /** Called after each change of role, term, leader or members. */
  readonly observe?: (status: ReplicaStatus) => void;
  /** Called once when the disk has failed. */
  readonly fail: (detail: string) => void;
}

/** Starts the replica, or says why it cannot. */
export type StartReplica = (
  ports: ReplicaPorts,
) => Promise<Either<string, Replica>>;

export interface ControlOptions {
  readonly settings: ProcessSettings<ControlRole>;
  /** Version 1 of a new group. */
  readonly configuration: ConfigurationSource;
  readonly runtime: Pick<Runtime, 'log' | 'metrics' | 'clock'>;
  readonly startReplica: StartReplica;
}

/** One control replica: serves the inner protocol on top of the replicated state. */
export class Control implements AsyncDisposable {
  /** Resolves with the cause when the replica cannot go on. */
  readonly failed: Promise<string>;

  private readonly watchers = new Watchers(() => this.machine);
  private readonly machine = new Machine(() => this.watchers.schedule());
  private readonly links: Links;
  private readonly office: Office;
  private leader!: Leader;
  private upstream: Upstream | undefined;
  private replica!: Replica;
  private listener!: PeerListener;
  private ticker: NodeJS.Timeout | undefined;
  private leaderSeen: Instant = 0;
  private fail!: (detail: string) => void;

  private constructor(private readonly options: ControlOptions) {
    const {settings, runtime} = options;
    this.failed = new Promise(resolve => (this.fail = resolve));
    this.links = new Links(settings.id, (from, message) =>
      this.receive(from, message),
    );
    this.office = new Office(this.machine, settings.leases, runtime.clock);
  }

  /** Listens and starts the replica; fails with what the address or the data folder refuses. */
  static async open(options: ControlOptions): Promise<Either<string, Control>> {
    const control = new Control(options);
    const handlers: {-readonly [Name in keyof Handlers]: Handlers[Name]} = {
      'control.status': () => control.describeStart(),
    };
    const listening = await PeerListener.listen(
      options.settings.role.listen,
      handlers,
      undefined,
      clientLiveness,
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

  /** Where it listens. */
  get address(): Address {
    return this.listener.address;
  }

  /** Describes the replica and its state. */
  describeStatus(): ControlStatus {
    const status = this.replica.describeStatus();
    const leader = this.leader.findLeader();
    return {
      member: status.id,
      role: status.role,
      term: status.term,
      ...(leader === undefined ? {} : {leader}),
      commitIndex: status.commitIndex,
      members: status.members.map(({id, address, voter}) => ({
        member: id,
        address,
        voter,
        matchIndex:
          status.progress.find(progress => progress.id === id)?.matchIndex ?? 0,
      })),
      ...describeState(this.machine.state),
    };
  }

  /** Hands leadership over, answers what was asked of the leader, then closes. */
  async drain(): Promise<void> {
    const {clock, log} = this.options.runtime;
    const moved = await this.leader.transferLeadership(
      clock.now() + handOverLimitMs,
    );
    if (!moved) log.warn({event: 'no-successor'}, 'leaves without a successor');
    await this.leader.close();
    await this[Symbol.asyncDispose]();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.ticker);
    await this.upstream?.[Symbol.asyncDispose]();
    this.watchers[Symbol.dispose]();
    await this.replica[Symbol.asyncDispose]();
    await this.links[Symbol.asyncDispose]();
    await this.listener[Symbol.asyncDispose]();
  }

  private async start(): Promise<Either<string, void>> {
    const {settings, configuration, runtime, startReplica} = this.options;
    const started = await startReplica({
      id: settings.id,
      address: this.listener.address,
      machine: this.machine,
      send: (to, address, message) => this.links.send(to, address, message),
      askStatus: address => this.askStatus(address),
      observe: ({role, term, leader, members}) =>
        runtime.log.info(
          {
            event: 'replica-role',
            replicaRole: role,
            term,
            leader: leader ?? null,
            voters: members.filter(({voter}) => voter).map(({id}) => id),
          },
          'the role, the term, the leader or the members have changed',
        ),
      fail: detail => this.fail(detail),
    });
    return started.map(replica => {
      this.replica = replica;
      this.leader = new Leader(
        replica,
        this.machine,
        this.office,
        settings.role.upstream === undefined
          ? {
              author: settings.id,
              source: configuration,
              homes: describeHomes(configuration, settings.place.region),
            }
          : undefined,
        runtime,
      );
      this.upstream = this.followUpstream();
      this.leaderSeen = runtime.clock.now();
      this.ticker = setInterval(() => this.tick(), tickIntervalMs);
    });
  }

  private followUpstream(): Upstream | undefined {
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
      ...this.office.listReports(),
    ];
    const {members} = this.replica.describeStatus();
    return summarizeRegion(
      this.options.settings.place.region,
      configuration.current.version,
      processes,
      members.length + epochs.live.size + targets.size,
    );
  }

  /** What a replica that has not started yet says of itself. */
  private describeStart(): ControlStatus {
    return {
      member: this.options.settings.id,
      role: 'learner',
      term: 0,
      commitIndex: 0,
      members: [],
      ...describeState(this.machine.state),
    };
  }

  private askStatus(address: Address): Promise<ControlStatus | undefined> {
    const deadline = this.options.runtime.clock.now() + statusTimeoutMs;
    return this.links.askStatus(address, deadline);
  }

  private tick(): void {
    this.leader.tick();
    this.upstream?.tick();
    const {members, leader} = this.replica.describeStatus();
    const others = members.filter(({id}) => id !== this.options.settings.id);
    this.links.keepOnly(new Set(others.map(({address}) => address)));
    const now = this.options.runtime.clock.now();
    if (leader !== undefined) this.leaderSeen = now;
    if (this.isOutOfTouch) this.watchers.closeAll('no leader is known here');
  }

  private get isOutOfTouch(): boolean {
    const now = this.options.runtime.clock.now();
    return now - this.leaderSeen > maxLeaderlessMs;
  }

  private createHandlers(): Handlers {
    const {leases, place} = this.options.settings;
    const {region} = place;
    const {leader, office, upstream} = this;
    const listControls = () => this.listControls();
    return {
      ...createLeaderHandlers({
        leader,
        office,
        leases,
        region,
        upstream,
        listControls,
      }),
      'control.watch': (params, peer) => this.watch(peer, params),
      'control.changeMembers': params => this.changeMembers(params),
      'control.enrol': params => this.admitReplica(params),
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
          'dropped a message',
        ),
      );
  }

  /** Refuses to serve a view that is missing, may lag for long or is behind what the watcher saw. */
  private watch(peer: Peer, params: WatchParams): ViewUpdate {
    const {revision, configuration} = this.machine.state;
    if (this.isOutOfTouch) throw new Error('no leader is known here');
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

  /** Takes the next step, if one is left, to make a replica a voter in its predecessor's place. */
  private async admitReplica({
    member,
    address,
  }: EnrolParams): Promise<ControlReply<EnrolResult>> {
    if (!this.leader.leads) return this.leader.redirect();
    const {members} = this.replica.describeStatus();
    const change = planEnrolment(members, member, address);
    if (change === undefined) return {kind: 'done', value: {votes: true}};
    const outcome = await this.replica.changeMembers(change);
    this.options.runtime.log.info(
      {event: 'enrolment', change, outcome},
      'a replica is taking its place in the group',
    );
    if (outcome.kind === 'not-leader') return this.leader.redirect();
    return {kind: 'done', value: {votes: false}};
  }

  private async changeMembers(
    params: ChangeMembersParams,
  ): Promise<ControlReply<Nothing>> {
    const change = readMemberChange(params);
    const outcome = await this.replica.changeMembers(change);
    switch (outcome.kind) {
      case 'committed':
        return {kind: 'done', value: {}};
      case 'not-leader':
        return this.leader.redirect();
      case 'unknown':
        return {...this.leader.redirect(), maybeApplied: true};
      case 'refused':
        if (this.isInForce(change, outcome.reason)) {
          return {kind: 'done', value: {}};
        }
        // A leader that has just been elected is ready within a round trip: the client asks again.
        if (outcome.reason === 'not-ready') return this.leader.redirect();
        throw new Error(
          `${params.change} of "${params.member}" is refused: ${outcome.reason}`,
        );
    }
  }

  /** True when a refused change was made before: a resend gets the first one's answer. */
  private isInForce(change: MemberChange, reason: ChangeRefusal): boolean {
    const {members} = this.replica.describeStatus();
    const present = members.find(({id}) => id === change.member);
    switch (change.kind) {
      case 'add-learner':
        return (
          reason === 'already-member' && present?.address === change.address
        );
      case 'promote':
        return reason === 'already-member';
      case 'remove':
        return (
          reason === 'unknown-member' &&
          this.machine.state.acknowledged.has(change.member)
        );
      default:
        return failUnreachable(change);
    }
  }

  /** Asks every member which configuration version it has applied. */
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
      .map(({member, configVersion}) => ({
        process: member,
        role: 'control',
        version: configVersion,
      }));
  }
}

/** Throws when an address is missing. */
function readMemberChange({
  change,
  member,
  address,
}: ChangeMembersParams): MemberChange {
  if (change !== 'add-learner') return {kind: change, member};
  if (address === undefined) {
    throw new Error(`add-learner of "${member}" needs an address`);
  }
  return {kind: change, member, address};
}
