import type {ControlId, Instant} from '#model';
import type {LogEntry, Snapshot} from './entry.js';
import type {ReplicaBounds} from './options.js';

/** How a leader replicates to one follower. */
export type ReplicationMode =
  /** Searches for the last matching entry, one message at a time. */
  | {readonly kind: 'probe'; readonly awaitsReply: boolean}
  /** Sends batches without waiting for replies, within the in-flight limits. */
  | {readonly kind: 'pipeline'}
  /** Sends a snapshot, one chunk at a time. */
  | {
      readonly kind: 'install';
      readonly snapshot: Snapshot;
      readonly offset: number;
      /** Whether the chunk was sent before the last heartbeat, so that the next heartbeat sends it again. */
      readonly overdue: boolean;
    };

interface Batch {
  readonly lastIndex: number;
  readonly bytes: number;
}

/** A leader's view of the replication to one follower or learner. */
export class Progress {
  /** The last index known to match the leader's log and to be synced. */
  matchIndex = 0;
  /** The latest round that it replied to. */
  ackedRound = 0;
  /** Whether at the last heartbeat it had all entries that were committed at the heartbeat before. */
  caughtUp = false;
  /** When it last replied to a new round; the start of the leadership until it has. */
  heardAt: Instant;
  mode: ReplicationMode = {kind: 'probe', awaitsReply: false};

  private inFlight: Batch[] = [];
  private inFlightBytes = 0;

  constructor(
    readonly id: ControlId,
    /** The index of the first entry to send. */
    public nextIndex: number,
    trackedFrom: Instant,
  ) {
    this.heardAt = trackedFrom;
  }

  /** Whether another batch may be sent now. */
  canSend(bounds: ReplicaBounds): boolean {
    switch (this.mode.kind) {
      case 'probe':
        return !this.mode.awaitsReply;
      case 'pipeline':
        return (
          this.inFlight.length < bounds.maxInFlightBatches &&
          this.inFlightBytes < bounds.maxInFlightBytes
        );
      case 'install':
        return false;
    }
  }

  /** Records sent entries: a probe awaits its reply, a pipeline counts them as in flight. */
  recordSent(entries: readonly LogEntry[]): void {
    if (this.mode.kind === 'probe') {
      this.mode = {kind: 'probe', awaitsReply: true};
      return;
    }
    const last = entries.at(-1);
    if (!last) return;
    this.nextIndex = last.index + 1;
    const bytes = entries.reduce(
      (sum, entry) => sum + countCommandBytes(entry),
      0,
    );
    this.inFlight.push({lastIndex: last.index, bytes});
    this.inFlightBytes += bytes;
  }

  /** Records that the follower's log is synced and matches up to an index. */
  advanceMatch(index: number): void {
    this.matchIndex = Math.max(this.matchIndex, index);
    while (this.inFlight.length > 0) {
      if (this.inFlight[0].lastIndex > this.matchIndex) break;
      this.inFlightBytes -= this.inFlight.shift()!.bytes;
    }
    this.nextIndex = Math.max(this.nextIndex, this.matchIndex + 1);
  }

  /** Returns to probing, at `nextIndex` or after the match index if that is later. */
  startProbe(nextIndex: number): void {
    this.mode = {kind: 'probe', awaitsReply: false};
    this.nextIndex = Math.max(nextIndex, this.matchIndex + 1);
    this.clearInFlight();
  }

  /** Starts to pipeline after the match index. */
  startPipeline(): void {
    this.mode = {kind: 'pipeline'};
    this.nextIndex = this.matchIndex + 1;
    this.clearInFlight();
  }

  startInstall(snapshot: Snapshot): void {
    this.mode = {kind: 'install', snapshot, offset: 0, overdue: false};
    this.clearInFlight();
  }

  private clearInFlight(): void {
    this.inFlight = [];
    this.inFlightBytes = 0;
  }
}

function countCommandBytes(entry: LogEntry): number {
  return entry.kind === 'command' ? entry.command.byteLength : 0;
}
