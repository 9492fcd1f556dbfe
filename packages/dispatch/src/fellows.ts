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
} from '#protocol';

const liveness: Liveness = {probeAfterMs: 500, silenceLimitMs: 1200};
/** A dispatcher that could not be reached is left alone for this long, in ms. */
const avoidMs = 700;

/** Connections to the other dispatchers, opened when first needed. */
export class Fellows implements AsyncDisposable {
  private readonly peers = new Map<Address, Promise<Peer | undefined>>();
  private readonly avoidedUntil = new Map<Address, Instant>();

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
    return reply.toMaybe().extract()?.owner;
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
