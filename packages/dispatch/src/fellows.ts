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
  type Peer,
  type RelayJobParams,
  type RelayJobResult,
} from '#protocol';
import type {FellowLag} from '#policy';

const liveness: Liveness = {probeAfterMs: 500, silenceLimitMs: 1200};
/** A dispatcher that could not be reached is left alone for this long, in ms. */
const avoidMs = 700;

/** How late an event loop is changes within seconds, in ms. */
const lagLifeMs = 1500;

interface ToldLag {
  readonly lagMs: number;
  readonly toldAt: Instant;
}

/** Connections to the other dispatchers, opened when first needed. */
export class Fellows implements AsyncDisposable {
  private readonly peers = new Map<Address, Promise<Peer | undefined>>();
  private readonly avoidedUntil = new Map<Address, Instant>();
  /** How late each one's event loop was when it last told. */
  private readonly lags = new Map<Address, ToldLag>();

  /** Asks a registrar for the owner of a job; undefined when it does not answer in time. */
  async askOwner(
    address: Address,
    params: ClaimJobParams,
    deadline: Instant,
  ): Promise<Address | undefined> {
    const peer = await this.open(address);
    if (peer === undefined) return undefined;
    const reply = await peer.request('dispatcher.claim', params, deadline);
    if (reply.isLeft()) this.suspend(address);
    const result = reply.toMaybe().extract();
    if (result?.lagMs === undefined) this.lags.delete(address);
    else
      this.lags.set(address, {
        lagMs: result.lagMs,
        toldAt: monotonicClock.now(),
      });
    return result?.owner;
  }

  /** Lists the others that lately told how late their event loops were. */
  listLags(): readonly FellowLag[] {
    const since = monotonicClock.now() - lagLifeMs;
    return [...this.lags]
      .filter(([, {toldAt}]) => toldAt >= since)
      .map(([address, {lagMs}]) => ({address, lagMs}));
  }

  /** Hands a job on and waits for its end; undefined when that is not known. */
  async relay(
    address: Address,
    params: RelayJobParams,
    deadline: Instant,
  ): Promise<RelayJobResult | undefined> {
    const peer = await this.open(address);
    if (peer === undefined) return undefined;
    const reply = await peer.request('dispatcher.relay', params, deadline);
    return reply.toMaybe().extract();
  }

  /** Tells the one that a job was handed to that its caller has left. */
  async release(address: Address, job: string): Promise<void> {
    const peer = await this.peers.get(address);
    peer?.notify('dispatcher.abandon', {job});
  }

  /** Waits for a job's end at its owner; undefined when it cannot be reached or falls silent. */
  async follow(
    address: Address,
    job: string,
    deadline: Instant,
  ): Promise<FollowJobResult | undefined> {
    const peer = await this.open(address);
    if (peer === undefined) return undefined;
    const remainingMs = computeRemainingMs(monotonicClock.now(), deadline);
    const params = {job, remainingMs};
    const reply = await peer.request('dispatcher.follow', params, deadline);
    return reply.toMaybe().extract();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const opening of this.peers.values()) {
      await (await opening)?.[Symbol.asyncDispose]();
    }
  }

  private suspend(address: Address): void {
    this.avoidedUntil.set(address, monotonicClock.now() + avoidMs);
  }

  private open(address: Address): Promise<Peer | undefined> {
    const known = this.peers.get(address);
    if (known !== undefined) return known;
    const now = monotonicClock.now();
    if (now < (this.avoidedUntil.get(address) ?? 0)) {
      return Promise.resolve(undefined);
    }
    const opening = dialPeer(address, {}, now + dialTimeoutMs, liveness).then(
      dialled => {
        const peer = dialled.toMaybe().extract();
        if (peer === undefined) {
          this.peers.delete(address);
          this.suspend(address);
        } else {
          void peer.closed.then(() => this.peers.delete(address));
        }
        return peer;
      },
    );
    this.peers.set(address, opening);
    return opening;
  }
}
