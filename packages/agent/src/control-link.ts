import {type Clock, computeDeadline, type TargetInfo} from '#model';
import type {VersionedSource, Address} from '#model';
import {
  dialPeer,
  dialTimeoutMs,
  type Liveness,
  type Peer,
  type ViewUpdate,
} from '#protocol';
import type {LeaseSettings} from '#settings';
import type {Logger} from '#telemetry';

/** What a link needs of the agent that owns it. */
export interface ControlLinkOwner {
  readonly controls: readonly Address[];
  readonly leases: LeaseSettings;
  readonly clock: Clock;
  readonly log: Logger;
  readonly liveness?: Liveness;
  /** The target as it is to be announced now. */
  readonly describeTarget: () => TargetInfo;
  /** The configuration's version in force here. */
  readonly getConfigVersion: () => number;
  /** The leader has the announcement; the version is the committed one. */
  readonly onAnnounced: (configVersion: number) => void;
  /** A configuration of any version, possibly one seen before. */
  readonly onConfiguration: (configuration: VersionedSource) => void;
}

/** Renewals are the signs of life; a probe is needed only when one is overdue. */
const renewalLiveness: Liveness = {probeAfterMs: 3000, silenceLimitMs: 6000};
/** Two renewals may be lost before a lease is. */
const renewalsPerLease = 3;
const requestTimeoutMs = 2000;
const firstBackoffMs = 20;
const maxBackoffMs = 1000;

/** What a conversation with one control replica came to. */
type Ending =
  | {readonly kind: 'lost'}
  | {readonly kind: 'not-leader'; readonly leader?: Address};

/**
 * The agent's side of control: announces the target, renews its lease and
 * follows the configuration, at whichever replica leads. While no replica
 * answers the agent goes on as it is and this link keeps trying.
 */
export class ControlLink implements AsyncDisposable {
  private peer: Peer | undefined;
  private revision = 0;
  private announced: TargetInfo | undefined;
  private stopped = false;
  private nextControl = 0;
  private wakePause = () => {};
  private readonly waiters: (() => void)[] = [];
  private readonly loop: Promise<void>;

  constructor(private readonly owner: ControlLinkOwner) {
    this.loop = this.keepConnected();
  }

  /** True while the leader has the target's latest announcement. */
  get isAnnounced(): boolean {
    return (
      this.peer?.isOpen === true &&
      this.announced === this.owner.describeTarget()
    );
  }

  /** Announces the target anew; resolves once the leader has it or the signal aborts. */
  async announce(signal: AbortSignal): Promise<void> {
    this.wakePause();
    while (!this.isAnnounced && !signal.aborted && !this.stopped) {
      await new Promise<void>(resolve => {
        signal.addEventListener('abort', () => resolve(), {once: true});
        this.waiters.push(resolve);
      });
    }
  }

  /** Tells the leader that the target has left. Best effort: its lease runs out otherwise. */
  async withdraw(): Promise<void> {
    const {target, incarnation} = this.owner.describeTarget();
    await this.peer?.request(
      'control.withdraw',
      {target, incarnation},
      this.deriveDeadline(requestTimeoutMs),
    );
  }

  private computePauseMs(): number {
    const {renewalIntervalMs, targetLeaseMs} = this.owner.leases;
    return Math.max(renewalIntervalMs, targetLeaseMs / renewalsPerLease);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stopped = true;
    this.wakePause();
    this.wakeWaiters();
    await this.peer?.[Symbol.asyncDispose]();
    await this.loop;
  }

  private async keepConnected(): Promise<void> {
    let backoffMs = firstBackoffMs;
    let leader: Address | undefined;
    while (!this.stopped) {
      const address = leader ?? this.pickControl();
      const ending = await this.followControl(address);
      if (this.announced !== undefined) backoffMs = firstBackoffMs;
      this.announced = undefined;
      this.peer = undefined;
      leader = ending.kind === 'not-leader' ? ending.leader : undefined;
      if (this.stopped) return;
      await this.pause(backoffMs);
      backoffMs = Math.min(maxBackoffMs, backoffMs * 2);
    }
  }

  private pickControl(): Address {
    const {controls} = this.owner;
    return controls[this.nextControl++ % controls.length]!;
  }

  /** Talks to one replica for as long as it leads and answers. */
  private async followControl(address: Address): Promise<Ending> {
    const dialled = await dialPeer(
      address,
      {'watcher.update': update => this.receiveView(update)},
      this.deriveDeadline(dialTimeoutMs),
      this.owner.liveness ?? renewalLiveness,
    );
    const peer = dialled.toMaybe().extractNullable();
    if (peer === null) return {kind: 'lost'};
    this.peer = peer;
    try {
      return await this.holdLease(peer);
    } finally {
      peer.close('the conversation is over');
    }
  }

  private async holdLease(peer: Peer): Promise<Ending> {
    if (!(await this.watch(peer))) return {kind: 'lost'};
    while (!this.stopped && peer.isOpen) {
      const ending = this.isAnnounced
        ? await this.renew(peer)
        : await this.sendAnnouncement(peer);
      if (ending !== undefined) return ending;
      if (!this.isAnnounced) continue;
      this.wakeWaiters();
      await this.pause(this.computePauseMs());
    }
    return {kind: 'lost'};
  }

  private async sendAnnouncement(peer: Peer): Promise<Ending | undefined> {
    const target = this.owner.describeTarget();
    const reply = await peer.request(
      'control.announce',
      {target, configVersion: this.owner.getConfigVersion()},
      this.deriveDeadline(requestTimeoutMs),
    );
    const answer = reply.toMaybe().extractNullable();
    if (answer === null) return {kind: 'lost'};
    if (answer.kind === 'not-leader') return answer;
    if (answer.value.kind === 'ended') {
      this.owner.log.warn(
        {event: 'announcement-refused'},
        'control takes this agent for an older one',
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
      'control has the announcement',
    );
    this.owner.onAnnounced(answer.value.configVersion);
    return undefined;
  }

  private async renew(peer: Peer): Promise<Ending | undefined> {
    const {target, incarnation} = this.owner.describeTarget();
    const reply = await peer.request(
      'control.renewTarget',
      {target, incarnation, configVersion: this.owner.getConfigVersion()},
      this.deriveDeadline(requestTimeoutMs),
    );
    const answer = reply.toMaybe().extractNullable();
    if (answer === null) return {kind: 'lost'};
    if (answer.kind === 'not-leader') return answer;
    if (answer.value.kind === 'ended') {
      this.announced = undefined;
      return undefined;
    }
    if (answer.value.configVersion > this.owner.getConfigVersion()) {
      await this.watch(peer);
    }
    return undefined;
  }

  private async watch(peer: Peer): Promise<boolean> {
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
      this.revision = update.revision;
      this.owner.onConfiguration(update.view.configuration);
      return;
    }
    if (update.from > this.revision) {
      if (this.peer !== undefined) void this.watch(this.peer);
      return;
    }
    this.revision = Math.max(this.revision, update.revision);
    for (const change of update.changes) {
      if (change.kind !== 'configured') continue;
      this.owner.onConfiguration(change.configuration);
    }
  }

  private wakeWaiters(): void {
    for (const wake of this.waiters.splice(0)) wake();
  }

  private pause(ms: number): Promise<void> {
    return new Promise(resolve => {
      const timer = setTimeout(resolve, ms);
      this.wakePause = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }

  private deriveDeadline(ms: number): number {
    return computeDeadline(this.owner.clock.now(), ms);
  }
}
