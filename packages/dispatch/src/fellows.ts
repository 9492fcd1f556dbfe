import {
  type Address,
  computeRemainingMs,
  type Instant,
  monotonicClock,
} from '#model';
import {
  type ClaimJobParams,
  dialPeer,
  dialTimeoutMs,
  type FollowJobResult,
  type Liveness,
  type ParamsOf,
  type Peer,
  type RelayJobParams,
  type RelayJobResult,
  type RequestName,
  type ResultOf,
} from '#protocol';
import type {DispatcherLoad} from '#policy';

/** While an answer is awaited: silence of a second is a fault. */
const busyLiveness: Liveness = {probeAfterMs: 500, silenceLimitMs: 1200};
/** While none is, between dispatchers: each may know all others of its service. */
const usualIdleLiveness: Liveness = {
  probeAfterMs: 10_000,
  silenceLimitMs: 25_000,
};
/** A dispatcher that could not be reached is left alone for this long, in ms. */
const avoidMs = 700;
/** What a dispatcher has told of its load changes within seconds, in ms. */
const loadLifeMs = 1500;

interface ToldLoad {
  readonly load: DispatcherLoad;
  readonly toldAt: Instant;
}

interface Line {
  readonly opening: Promise<Peer | undefined>;
  /** Set once it is open. */
  peer?: Peer;
  /** Questions that are not answered. */
  asked: number;
}

/** What became of a job that was to be handed on. */
export type HandOn =
  | {readonly kind: 'answered'; readonly result: RelayJobResult}
  /** There is no connection: nothing was sent. */
  | {readonly kind: 'unsent'}
  /** It was sent, and its end is not known. */
  | {readonly kind: 'lost'};

/** Connections to other dispatchers, opened when first needed. */
export class Fellows implements AsyncDisposable {
  private readonly lines = new Map<Address, Line>();
  private readonly avoidedUntil = new Map<Address, Instant>();
  private readonly loads = new Map<Address, ToldLoad>();

  constructor(private readonly idleLiveness: Liveness = usualIdleLiveness) {}

  /** Asks a registrar for the owner of a job; undefined when it does not answer in time. */
  async askOwner(
    address: Address,
    params: ClaimJobParams,
    deadline: Instant,
  ): Promise<Address | undefined> {
    const reply = await this.ask(address, 'dispatcher.claim', params, deadline);
    if (typeof reply === 'string') this.suspend(address);
    if (typeof reply === 'string' || reply.lagMs === undefined) {
      this.loads.delete(address);
    } else {
      const {lagMs, waitingCoreMs = 0} = reply;
      const toldAt = monotonicClock.now();
      this.loads.set(address, {load: {address, lagMs, waitingCoreMs}, toldAt});
    }
    return typeof reply === 'string' ? undefined : reply.owner;
  }

  /** Lists what the others have told of their load lately. */
  listLoads(): readonly DispatcherLoad[] {
    const since = monotonicClock.now() - loadLifeMs;
    return [...this.loads.values()]
      .filter(({toldAt}) => toldAt >= since)
      .map(({load}) => load);
  }

  /** Hands a job on and waits for its end. */
  async relay(
    address: Address,
    params: RelayJobParams,
    deadline: Instant,
  ): Promise<HandOn> {
    const reply = await this.ask(address, 'dispatcher.relay', params, deadline);
    if (reply === 'unsent') return {kind: 'unsent'};
    if (reply === 'lost') return {kind: 'lost'};
    return {kind: 'answered', result: reply};
  }

  /** Tells the one that a job was handed to that its caller has left. */
  async release(address: Address, job: string): Promise<void> {
    const peer = await this.lines.get(address)?.opening;
    peer?.notify('dispatcher.abandon', {job});
  }

  /** Waits for a job's end at its owner; undefined when it cannot be reached or falls silent. */
  async follow(
    address: Address,
    job: string,
    deadline: Instant,
  ): Promise<FollowJobResult | undefined> {
    const remainingMs = computeRemainingMs(monotonicClock.now(), deadline);
    const params = {job, remainingMs};
    const reply = await this.ask(
      address,
      'dispatcher.follow',
      params,
      deadline,
    );
    return typeof reply === 'string' ? undefined : reply;
  }

  /** Opens a connection ahead of its first use. */
  async connect(address: Address): Promise<void> {
    if (this.isReachable(address)) await this.open(address).opening;
  }

  /** True while a connection is open. */
  isConnected(address: Address): boolean {
    return this.lines.get(address)?.peer?.isOpen === true;
  }

  private isReachable(address: Address): boolean {
    return monotonicClock.now() >= (this.avoidedUntil.get(address) ?? 0);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const {opening} of this.lines.values()) {
      await (await opening)?.[Symbol.asyncDispose]();
    }
  }

  private async ask<Name extends RequestName>(
    address: Address,
    method: Name,
    params: ParamsOf<Name>,
    deadline: Instant,
  ): Promise<ResultOf<Name> | 'unsent' | 'lost'> {
    if (!this.isReachable(address)) return 'unsent';
    const line = this.open(address);
    const peer = await line.opening;
    if (peer?.isOpen !== true) return 'unsent';
    line.asked++;
    peer.setLiveness(busyLiveness);
    const reply = await peer.request(method, params, deadline);
    line.asked--;
    if (line.asked === 0) peer.setLiveness(this.idleLiveness);
    return reply.caseOf<ResultOf<Name> | 'lost'>({
      Left: () => 'lost',
      Right: result => result,
    });
  }

  private suspend(address: Address): void {
    this.avoidedUntil.set(address, monotonicClock.now() + avoidMs);
  }

  private open(address: Address): Line {
    const known = this.lines.get(address);
    if (known !== undefined) return known;
    const deadline = monotonicClock.now() + dialTimeoutMs;
    const line: Line = {opening: this.dial(address, deadline), asked: 0};
    this.lines.set(address, line);
    void line.opening.then(peer => (line.peer = peer));
    return line;
  }

  private async dial(
    address: Address,
    deadline: Instant,
  ): Promise<Peer | undefined> {
    const dialled = await dialPeer(address, {}, deadline, this.idleLiveness);
    const peer = dialled.toMaybe().extract();
    if (peer === undefined) {
      this.lines.delete(address);
      this.suspend(address);
    } else {
      void peer.closed.then(() => this.lines.delete(address));
    }
    return peer;
  }
}
