import {
  type Clock,
  computeDeadline,
  type EntryId,
  type Epoch,
  type Instant,
} from '#model';
import type {HelloParams, Peer} from '#protocol';

/** How long after a clean close an entry may take to come back, in ms. */
const closedReturnMs = 1000;
/** The same after any other loss, which the entry may only notice by the silence, in ms. */
const brokenReturnMs = 6000;
const syncTimeoutMs = 1000;

/**
 * The entries' sessions: one connection for each live epoch. Epochs and
 * connections of an entry never go back; a newer one ends the older, and what
 * still arrives on that is nobody's.
 */
export class Sessions {
  private readonly newest = new Map<EntryId, HelloParams>();
  private readonly peers = new Map<Epoch, Peer>();
  /** Until when epochs that lost their connection are expected back. */
  private readonly returnDeadlines = new Map<Epoch, Instant>();

  constructor(
    private readonly clock: Clock,
    /** A session is over, whether or not a newer one follows. */
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

  /** Returns the epoch that a connection speaks for; undefined when it has no session, or no longer. */
  findEpoch(peer: Peer): Epoch | undefined {
    for (const [epoch, current] of this.peers) {
      if (current === peer) return epoch;
    }
    return undefined;
  }

  /** Opens a session and ends the entry's older one; false when it is not newer. */
  open(hello: HelloParams, peer: Peer): boolean {
    const {entry, epoch} = hello;
    const known = this.newest.get(entry);
    if (known !== undefined && !isNewer(hello, known)) return false;
    this.newest.set(entry, hello);
    if (known !== undefined) this.end(known.epoch);
    this.peers.set(epoch, peer);
    this.returnDeadlines.delete(epoch);
    void peer.closed.then(cause => this.lose(epoch, peer, cause));
    return true;
  }

  /** Ends an epoch's session, if it has one; the epoch is not expected back. */
  end(epoch: Epoch): void {
    this.returnDeadlines.delete(epoch);
    const peer = this.peers.get(epoch);
    if (peer === undefined) return;
    this.peers.delete(epoch);
    this.onEnd(epoch);
    peer.close('the session is over');
  }

  /** Closes every connection, so that the entries open new sessions. */
  reopenAll(cause: string): void {
    for (const peer of this.peers.values()) peer.close(cause);
  }

  /** True while an epoch that lost its connection may come back. */
  hasMissing(): boolean {
    const now = this.clock.now();
    for (const [epoch, deadline] of this.returnDeadlines) {
      if (deadline <= now) this.returnDeadlines.delete(epoch);
    }
    return this.returnDeadlines.size > 0;
  }

  /** Confirms that every connected entry has read all that was sent to it. Closes a connection that does not answer. */
  async confirmAll(): Promise<boolean> {
    const confirmations = [...this.peers.values()].map(async peer => {
      const reply = await peer.request(
        'peer.sync',
        {},
        computeDeadline(this.clock.now(), syncTimeoutMs),
      );
      if (reply.isLeft()) peer.close('it does not answer');
      return reply.isRight();
    });
    return (await Promise.all(confirmations)).every(confirmed => confirmed);
  }

  private lose(epoch: Epoch, peer: Peer, cause: string): void {
    if (this.peers.get(epoch) !== peer) return;
    this.peers.delete(epoch);
    const returnMs =
      cause === 'closed by the other end' ? closedReturnMs : brokenReturnMs;
    this.returnDeadlines.set(
      epoch,
      computeDeadline(this.clock.now(), returnMs),
    );
    this.onEnd(epoch);
  }
}

function isNewer(hello: HelloParams, known: HelloParams): boolean {
  if (hello.epoch !== known.epoch) return hello.epoch > known.epoch;
  return hello.connection > known.connection;
}
