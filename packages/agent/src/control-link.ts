import {type Clock, computeDeadline, type TargetInfo} from '#model';
import type {Address, FailureDomain, VersionedSource} from '#model';
import {
  dialPeer,
  dialTimeoutMs,
  type Liveness,
  type Peer,
  type ViewChange,
  type ViewUpdate,
} from '#protocol';
import type {LeaseSettings} from '#settings';
import type {Logger} from '#telemetry';

/** What a link needs from the agent that owns it. */
export interface ControlLinkOwner {
  /** Where the control replicas listen, as far as is known at the time; at least one. */
  readonly listControls: () => readonly Address[];
  readonly leases: LeaseSettings;
  readonly clock: Clock;
  readonly log: Logger;
  readonly liveness?: Liveness;
  /** Returns the target to announce, the same object until it changes. */
  readonly describeTarget: () => TargetInfo;
  /** Called once the leader has the announcement, with the committed configuration version. */
  readonly onAnnounced: (configVersion: number) => void;
  /** What follows the configuration; undefined where it does not matter, and none is sent. */
  readonly configuration?: ConfigurationFollower;
}

export interface ConfigurationFollower {
  /** Returns the version in force here. */
  readonly getVersion: () => number;
  /** Called with a configuration of any version, possibly one seen before. */
  readonly onConfiguration: (configuration: VersionedSource) => void;
  /** Called with the evacuated failure domains, before a configuration of the same view. */
  readonly onEvacuations: (domains: ReadonlySet<FailureDomain>) => void;
}

/** Lease renewals serve as heartbeats; a probe is sent only when one is overdue. */
const renewalLiveness: Liveness = {probeAfterMs: 3000, silenceLimitMs: 6000};
/** Two renewals may be lost before the lease expires. */
const renewalsPerLease = 3;
const requestTimeoutMs = 2000;
const firstBackoffMs = 20;
const maxBackoffMs = 1000;

/** Why a connection to a control replica ended. */
type ConnectionEnd =
  | {readonly kind: 'lost'}
  | {readonly kind: 'not-leader'; readonly leader?: Address};

/**
 * The agent's connection to control: announces the target, renews its lease and
 * follows the configuration at the replica that leads. While no replica
 * responds, the agent keeps its state and the link retries with a backoff.
 */
export class ControlLink implements AsyncDisposable {
  private peer: Peer | undefined;
  private revision = 0;
  private evacuated: ReadonlySet<FailureDomain> = new Set();
  private announced: TargetInfo | undefined;
  private stopped = false;
  private nextControlIndex = 0;
  /** Where control told that its replicas listen; tried before those of the owner. */
  private learnedControls: readonly Address[] = [];
  private cancelPause = () => {};
  private readonly waiters: (() => void)[] = [];
  private readonly loop: Promise<void>;

  constructor(private readonly owner: ControlLinkOwner) {
    this.loop = this.keepConnected();
  }

  /** True while the leader has the latest announcement. */
  get isAnnounced(): boolean {
    return (
      this.peer?.isOpen === true &&
      this.announced === this.owner.describeTarget()
    );
  }

  /** Sends the current announcement; resolves once the leader has it or the signal aborts. */
  async announce(signal: AbortSignal): Promise<void> {
    this.cancelPause();
    while (!this.isAnnounced && !signal.aborted && !this.stopped) {
      await new Promise<void>(resolve => {
        signal.addEventListener('abort', () => resolve(), {once: true});
        this.waiters.push(resolve);
      });
    }
  }

  /** Tells the leader that the target has left. Failures are ignored: the lease then expires. */
  async withdraw(): Promise<void> {
    const {target, incarnation} = this.owner.describeTarget();
    await this.peer?.request(
      'control.withdraw',
      {target, incarnation},
      this.deriveDeadline(requestTimeoutMs),
    );
  }

  private computeRenewalIntervalMs(): number {
    const {renewalIntervalMs, targetLeaseMs} = this.owner.leases;
    return Math.max(renewalIntervalMs, targetLeaseMs / renewalsPerLease);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stopped = true;
    this.cancelPause();
    this.wakeWaiters();
    await this.peer?.[Symbol.asyncDispose]();
    await this.loop;
  }

  private async keepConnected(): Promise<void> {
    let backoffMs = firstBackoffMs;
    let leader: Address | undefined;
    while (!this.stopped) {
      const address = leader ?? this.pickControl();
      const end = await this.followReplica(address);
      if (this.announced !== undefined) backoffMs = firstBackoffMs;
      this.announced = undefined;
      this.peer = undefined;
      leader = end.kind === 'not-leader' ? end.leader : undefined;
      if (this.stopped) return;
      await this.pause(backoffMs);
      backoffMs = Math.min(maxBackoffMs, backoffMs * 2);
    }
  }

  private pickControl(): Address {
    const known = this.owner.listControls();
    const controls = [...new Set([...this.learnedControls, ...known])];
    return controls[this.nextControlIndex++ % controls.length]!;
  }

  /** Stays connected to one replica for as long as it leads and responds. */
  private async followReplica(address: Address): Promise<ConnectionEnd> {
    const dialled = await dialPeer(
      address,
      {
        'watcher.update': update => this.receiveView(update),
        'watcher.controls': ({controls}) => {
          this.learnedControls = controls;
        },
      },
      this.deriveDeadline(dialTimeoutMs),
      this.owner.liveness ?? renewalLiveness,
    );
    const peer = dialled.toMaybe().extractNullable();
    if (peer === null) return {kind: 'lost'};
    this.peer = peer;
    try {
      return await this.keepLease(peer);
    } finally {
      peer.close('no longer following this replica');
    }
  }

  private async keepLease(peer: Peer): Promise<ConnectionEnd> {
    if (!(await this.subscribe(peer))) return {kind: 'lost'};
    while (!this.stopped && peer.isOpen) {
      const end = this.isAnnounced
        ? await this.renew(peer)
        : await this.sendAnnouncement(peer);
      if (end !== undefined) return end;
      if (!this.isAnnounced) continue;
      this.wakeWaiters();
      await this.pause(this.computeRenewalIntervalMs());
    }
    return {kind: 'lost'};
  }

  private async sendAnnouncement(
    peer: Peer,
  ): Promise<ConnectionEnd | undefined> {
    const target = this.owner.describeTarget();
    const reply = await peer.request(
      'control.announce',
      {target, configVersion: this.configVersion},
      this.deriveDeadline(requestTimeoutMs),
    );
    const answer = reply.toMaybe().extractNullable();
    if (answer === null) return {kind: 'lost'};
    if (answer.kind === 'not-leader') return answer;
    if (answer.value.kind === 'ended') {
      this.owner.log.warn(
        {event: 'announcement-refused'},
        'control refused the announcement of this incarnation',
      );
      return {kind: 'lost'};
    }
    this.announced = target;
    this.owner.log.info(
      {
        event: 'announced',
        leaving: target.leaving,
        control: peer.remoteAddress,
      },
      'control accepted the announcement',
    );
    this.owner.onAnnounced(answer.value.configVersion);
    return undefined;
  }

  private async renew(peer: Peer): Promise<ConnectionEnd | undefined> {
    const {target, incarnation} = this.owner.describeTarget();
    const reply = await peer.request(
      'control.renewTarget',
      {target, incarnation, configVersion: this.configVersion},
      this.deriveDeadline(requestTimeoutMs),
    );
    const answer = reply.toMaybe().extractNullable();
    if (answer === null) return {kind: 'lost'};
    if (answer.kind === 'not-leader') return answer;
    if (answer.value.kind === 'ended') {
      this.announced = undefined;
      return undefined;
    }
    if (answer.value.configVersion > this.configVersion) {
      await this.subscribe(peer);
    }
    return undefined;
  }

  private get configVersion(): number {
    return this.owner.configuration?.getVersion() ?? 0;
  }

  /** Follows the configuration, if it matters here; false when the replica does not answer. */
  private async subscribe(peer: Peer): Promise<boolean> {
    if (this.owner.configuration === undefined) return true;
    const reply = await peer.request(
      'control.watch',
      {since: this.revision, topics: 'configuration'},
      this.deriveDeadline(requestTimeoutMs),
    );
    reply.ifRight(update => this.receiveView(update));
    return reply.isRight();
  }

  private receiveView(update: ViewUpdate): void {
    if (update.kind === 'full') {
      if (update.revision >= this.revision) {
        this.setEvacuated(update.view.evacuated ?? []);
      }
      this.revision = update.revision;
      this.owner.configuration?.onConfiguration(update.view.configuration);
      return;
    }
    if (update.from > this.revision) {
      if (this.peer !== undefined) void this.subscribe(this.peer);
      return;
    }
    this.revision = Math.max(this.revision, update.revision);
    for (const change of update.changes) {
      this.applyChange(change);
    }
  }

  private applyChange(change: ViewChange): void {
    if (change.kind === 'domain-evacuated') {
      this.setEvacuated([...this.evacuated, change.domain]);
    }
    if (change.kind === 'domain-restored') {
      const {domain} = change;
      this.setEvacuated([...this.evacuated].filter(each => each !== domain));
    }
    if (change.kind === 'configured') {
      this.owner.configuration?.onConfiguration(change.configuration);
    }
  }

  private setEvacuated(domains: readonly FailureDomain[]): void {
    this.evacuated = new Set(domains);
    this.owner.configuration?.onEvacuations(this.evacuated);
  }

  private wakeWaiters(): void {
    for (const wake of this.waiters.splice(0)) wake();
  }

  private pause(ms: number): Promise<void> {
    return new Promise(resolve => {
      const timer = setTimeout(resolve, ms);
      this.cancelPause = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }

  private deriveDeadline(ms: number): number {
    return computeDeadline(this.owner.clock.now(), ms);
  }
}
