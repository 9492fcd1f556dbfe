import {
  type Clock,
  computeDeadline,
  type EntryId,
  type Epoch,
  type Instant,
} from '#model';
import type {HelloParams, Peer} from '#protocol';

/** How long after a clean close an entry is expected to reconnect, in ms. */
const closedReconnectMs = 1000;
/** The same after any other loss, which the entry may notice only by a timeout. */
const brokenReconnectMs = 6000;
const syncTimeoutMs = 1000;

/**
 * Sessions of the connected entries, one connection per live epoch. A session
 * with a newer epoch or connection number ends the entry's previous one, whose
 * late messages are ignored; a session that is not newer is rejected.
 */
export class EntrySessions {
  private readonly latestHellos = new Map<EntryId, HelloParams>();
  private readonly peers = new Map<Epoch, Peer>();
  /** When to stop waiting for epochs that lost their connection. */
  private readonly reconnectDeadlines = new Map<Epoch, Instant>();

  constructor(
    private readonly clock: Clock,
    /** Called when a session ends, whether or not a newer one replaces it. */
    private readonly onEnd: (epoch: Epoch) => void,
  ) {}

  get size(): number {
    return this.peers.size;
  }

  listEpochs(): IterableIterator<Epoch> {
    return this.peers.keys();
  }

  getPeer(epoch: Epoch): Peer | undefined {
    return this.peers.get(epoch);
  }

  /** Returns the epoch whose current session uses this connection, if any. */
  findEpoch(peer: Peer): Epoch | undefined {
    for (const [epoch, current] of this.peers) {
      if (current === peer) return epoch;
    }
    return undefined;
  }

  /** Opens a session and ends the entry's previous one; false when it is not newer than that. */
  open(hello: HelloParams, peer: Peer): boolean {
    const {entry, epoch} = hello;
    const known = this.latestHellos.get(entry);
    if (known !== undefined && !isNewer(hello, known)) return false;
    this.latestHellos.set(entry, hello);
    if (known !== undefined) this.end(known.epoch);
    this.peers.set(epoch, peer);
    this.reconnectDeadlines.delete(epoch);
    void peer.closed.then(cause => this.handleClose(epoch, peer, cause));
    return true;
  }

  /** Ends an epoch's session, if any, and doesn't wait for the epoch to reconnect. */
  end(epoch: Epoch): void {
    this.reconnectDeadlines.delete(epoch);
    const peer = this.peers.get(epoch);
    if (peer === undefined) return;
    this.peers.delete(epoch);
    this.onEnd(epoch);
    peer.close('the session has ended');
  }

  /** Closes every connection, which makes the entries open new sessions. */
  closeAll(cause: string): void {
    for (const peer of this.peers.values()) peer.close(cause);
  }

  /** True while an epoch that lost its connection may still reconnect. */
  hasPendingReconnects(): boolean {
    const now = this.clock.now();
    for (const [epoch, deadline] of this.reconnectDeadlines) {
      if (deadline <= now) this.reconnectDeadlines.delete(epoch);
    }
    return this.reconnectDeadlines.size > 0;
  }

  /**
   * Resolves with whether every connected entry has read all that was sent to
   * it. Closes connections that don't respond.
   */
  async syncAll(): Promise<boolean> {
    const syncs = [...this.peers.values()].map(async peer => {
      const reply = await peer.request(
        'peer.sync',
        {},
        computeDeadline(this.clock.now(), syncTimeoutMs),
      );
      if (reply.isLeft()) peer.close('the entry did not respond to peer.sync');
      return reply.isRight();
    });
    return (await Promise.all(syncs)).every(isSynced => isSynced);
  }

  private handleClose(epoch: Epoch, peer: Peer, cause: string): void {
    if (this.peers.get(epoch) !== peer) return;
    this.peers.delete(epoch);
    const reconnectMs =
      cause === 'closed by the other end'
        ? closedReconnectMs
        : brokenReconnectMs;
    this.reconnectDeadlines.set(
      epoch,
      computeDeadline(this.clock.now(), reconnectMs),
    );
    this.onEnd(epoch);
  }
}

function isNewer(hello: HelloParams, known: HelloParams): boolean {
  if (hello.epoch !== known.epoch) return hello.epoch > known.epoch;
  return hello.connection > known.connection;
}
