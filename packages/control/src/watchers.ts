import type {Peer, ViewUpdate, WatchParams} from '#protocol';
import type {Machine} from './machine.js';

/** Changes of this long are sent together, in ms. */
const batchMs = 10;
/** Watchers served in one turn of the loop. */
const watchersPerTurn = 64;
/** A watcher with more than this unsent does not read and is closed. */
const maxUnsentBytes = 8 * 1024 * 1024;

interface Watcher {
  readonly topics: WatchParams['topics'];
  /** The revision of the last update sent. */
  sent: number;
  /** No change of its topics is known after `sent` up to here. */
  seen: number;
}

/** The connections that follow this replica's view. Each gets what it lacks, in batches. */
export class Watchers implements Disposable {
  private readonly watchers = new Map<Peer, Watcher>();
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly getMachine: () => Machine) {}

  get size(): number {
    return this.watchers.size;
  }

  /** Adds a watcher, or moves it, and returns its first update. */
  add(peer: Peer, {since, topics}: WatchParams): ViewUpdate {
    const update = this.getMachine().buildUpdate(since, topics);
    if (!this.watchers.has(peer)) {
      void peer.closed.then(() => this.watchers.delete(peer));
    }
    const {revision} = update;
    this.watchers.set(peer, {topics, sent: revision, seen: revision});
    return update;
  }

  /** Sends the latest changes soon. */
  schedule(): void {
    if (this.watchers.size === 0) return;
    this.timer ??= setTimeout(() => this.publish(), batchMs);
  }

  /** Closes every watcher: this replica's view may lag for long. */
  closeAll(cause: string): void {
    for (const peer of [...this.watchers.keys()]) peer.close(cause);
    this.watchers.clear();
  }

  [Symbol.dispose](): void {
    clearTimeout(this.timer);
    this.watchers.clear();
  }

  private publish(): void {
    this.timer = undefined;
    this.serve([...this.watchers], 0);
  }

  private serve(
    all: readonly (readonly [Peer, Watcher])[],
    from: number,
  ): void {
    const updates = new Map<string, ViewUpdate>();
    for (const [peer, watcher] of all.slice(from, from + watchersPerTurn)) {
      if (this.watchers.get(peer) !== watcher) continue;
      const key = `${watcher.topics} ${watcher.seen}`;
      const update =
        updates.get(key) ??
        this.getMachine().buildUpdate(watcher.seen, watcher.topics);
      updates.set(key, update);
      this.send(peer, watcher, update);
    }
    const next = from + watchersPerTurn;
    if (next < all.length) setImmediate(() => this.serve(all, next));
  }

  private send(peer: Peer, watcher: Watcher, update: ViewUpdate): void {
    const {revision} = update;
    watcher.seen = revision;
    if (update.kind === 'delta' && update.changes.length === 0) return;
    if (peer.unsentBytes > maxUnsentBytes) {
      peer.close('the watcher does not read');
      return;
    }
    const from = watcher.sent;
    watcher.sent = revision;
    peer.notify(
      'watcher.update',
      update.kind === 'delta' ? {...update, from} : update,
    );
  }
}
