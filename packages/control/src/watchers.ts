import type {Address} from '#model';
import type {Peer, ViewUpdate, WatchParams} from '#protocol';
import type {ControlMachine} from './state-machine.js';

/** Changes within this interval are sent in one update. */
const batchIntervalMs = 10;
/** Watchers updated in one turn of the event loop. */
const watchersPerTurn = 64;
/** A watcher with more unsent bytes than this gets no update until it has read them, then all changes at once. */
const maxUnsentBytes = 256 * 1024;
const unsentRetryMs = 100;

interface Watcher {
  readonly topics: WatchParams['topics'];
  /** The revision of the last update sent. */
  sentRevision: number;
  /** The revision of the last update built; above `sentRevision` when that update had no changes of its topics and was not sent. */
  builtRevision: number;
}

/** The connections that watch this replica's view; each is sent the changes that it lacks, in batches. */
export class Watchers implements Disposable {
  private readonly watchers = new Map<Peer, Watcher>();
  private timer: NodeJS.Timeout | undefined;
  private retryTimer: NodeJS.Timeout | undefined;
  private controls: readonly Address[] = [];

  constructor(private readonly getMachine: () => ControlMachine) {}

  get size(): number {
    return this.watchers.size;
  }

  /** Adds a watcher, or replaces its topics and revision, and returns its first update. */
  add(peer: Peer, {since, topics}: WatchParams): ViewUpdate {
    const update = this.getMachine().buildUpdate(since, topics);
    if (!this.watchers.has(peer)) {
      void peer.closed.then(() => this.watchers.delete(peer));
    }
    const {revision} = update;
    peer.notify('watcher.controls', {controls: this.controls});
    this.watchers.set(peer, {
      topics,
      sentRevision: revision,
      builtRevision: revision,
    });
    return update;
  }

  /** Tells the watchers where the control replicas listen, if that has changed. */
  announceControls(controls: readonly Address[]): void {
    const isKnown =
      controls.length === this.controls.length &&
      controls.every((address, i) => address === this.controls[i]);
    if (isKnown) return;
    this.controls = controls;
    for (const peer of this.watchers.keys()) {
      peer.notify('watcher.controls', {controls});
    }
  }

  /** Schedules the next batch of updates. */
  schedule(): void {
    if (this.watchers.size === 0) return;
    this.timer ??= setTimeout(() => this.publish(), batchIntervalMs);
  }

  /** Closes every watcher, for when this replica's view may have become stale. */
  closeAll(cause: string): void {
    for (const peer of [...this.watchers.keys()]) peer.close(cause);
    this.watchers.clear();
  }

  [Symbol.dispose](): void {
    clearTimeout(this.timer);
    clearTimeout(this.retryTimer);
    this.watchers.clear();
  }

  private scheduleRetry(): void {
    this.retryTimer ??= setTimeout(() => {
      this.retryTimer = undefined;
      this.publish();
    }, unsentRetryMs);
  }

  private publish(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    this.sendUpdates([...this.watchers], 0);
  }

  private sendUpdates(
    all: readonly (readonly [Peer, Watcher])[],
    from: number,
  ): void {
    const updates = new Map<string, ViewUpdate>();
    for (const [peer, watcher] of all.slice(from, from + watchersPerTurn)) {
      if (this.watchers.get(peer) !== watcher) continue;
      if (peer.unsentBytes > maxUnsentBytes) {
        this.scheduleRetry();
        continue;
      }
      const key = `${watcher.topics} ${watcher.builtRevision}`;
      const update =
        updates.get(key) ??
        this.getMachine().buildUpdate(watcher.builtRevision, watcher.topics);
      updates.set(key, update);
      this.send(peer, watcher, update);
    }
    const next = from + watchersPerTurn;
    if (next < all.length) setImmediate(() => this.sendUpdates(all, next));
  }

  private send(peer: Peer, watcher: Watcher, update: ViewUpdate): void {
    const {revision} = update;
    watcher.builtRevision = revision;
    if (update.kind === 'delta' && update.changes.length === 0) return;
    const from = watcher.sentRevision;
    watcher.sentRevision = revision;
    peer.notify(
      'watcher.update',
      update.kind === 'delta' ? {...update, from} : update,
    );
  }
}
