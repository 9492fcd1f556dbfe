import {type Address, type ControlId, monotonicClock} from '#model';
import type {Message} from '#consensus';
import {
  type ControlStatus,
  dialPeer,
  dialTimeoutMs,
  type Liveness,
  type Peer,
  type ReplicateParams,
} from '#protocol';

const redialPauseMs = 100;

/** Replicas exchange messages continuously, so a short silence already indicates a failure. */
const linkLiveness: Liveness = {probeAfterMs: 1000, silenceLimitMs: 2500};

interface Link {
  peer?: Peer;
  dialling?: Promise<void>;
  nextDialAt: number;
}

/** This replica's connections to the other replicas. A lost one is dialled again when it is next used. */
export class ReplicaLinks implements AsyncDisposable {
  private readonly links = new Map<Address, Link>();
  private readonly inboundPeers = new Map<ControlId, Peer>();
  private closed = false;

  /** `receive` is called with each message of another replica. */
  constructor(
    private readonly from: ControlId,
    private readonly receive: (from: ControlId, message: unknown) => void,
  ) {}

  /** Handles a message that arrived on a connection dialled by another replica. */
  accept({from, message}: ReplicateParams, peer: Peer): void {
    if (this.inboundPeers.get(from) !== peer) {
      this.inboundPeers.set(from, peer);
      void peer.closed.then(() => {
        if (this.inboundPeers.get(from) === peer)
          this.inboundPeers.delete(from);
      });
    }
    this.receive(from, message);
  }

  /**
   * Sends a message, or drops it while there is no connection. A replica whose address is not known
   * yet gets it on the connection that it dialled.
   */
  send(to: ControlId, address: Address | undefined, message: Message): void {
    const peer =
      address === undefined
        ? this.inboundPeers.get(to)
        : this.open(address)?.peer;
    peer?.notify('control.replicate', {from: this.from, message});
  }

  /** Requests another replica's status; undefined when it does not answer by the deadline. */
  async askStatus(
    address: Address,
    deadline: number,
  ): Promise<ControlStatus | undefined> {
    const link = this.open(address);
    await link?.dialling;
    const reply = await link?.peer?.request('control.status', {}, deadline);
    return reply?.toMaybe().extract();
  }

  /** Connects to the members ahead of the first message, and closes connections dialled to non-members. */
  updateMembers(addresses: ReadonlySet<Address>): void {
    for (const address of addresses) this.open(address);
    for (const [address, {peer}] of this.links) {
      if (addresses.has(address)) continue;
      peer?.close('no longer a member');
      this.links.delete(address);
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.closed = true;
    const links = [...this.links.values()];
    for (const {peer} of links) peer?.close('closed by this end');
    await Promise.all(links.map(link => link.dialling));
  }

  private open(address: Address): Link | undefined {
    if (this.closed) return undefined;
    const link = this.links.get(address) ?? {nextDialAt: 0};
    this.links.set(address, link);
    if (link.peer?.isOpen || link.dialling !== undefined) return link;
    link.peer = undefined;
    const now = monotonicClock.now();
    if (now < link.nextDialAt) return link;
    link.nextDialAt = now + redialPauseMs;
    link.dialling = this.dial(address, link);
    return link;
  }

  private async dial(address: Address, link: Link): Promise<void> {
    const deadline = monotonicClock.now() + dialTimeoutMs;
    const dialled = await dialPeer(
      address,
      {'control.replicate': ({from, message}) => this.receive(from, message)},
      deadline,
      linkLiveness,
    );
    link.dialling = undefined;
    dialled.ifRight(peer => {
      if (this.closed || this.links.get(address) !== link) {
        peer.close('not needed any more');
        return;
      }
      link.peer = peer;
    });
  }
}
