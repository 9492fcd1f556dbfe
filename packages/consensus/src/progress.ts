import type {ControlId} from '#model';
import type {LogEntry, Snapshot} from './entry.js';
import type {ReplicaBounds} from './options.js';

/** How a leader sends to one follower. */
export type Stream =
  /** Looks for the place where the logs agree: one message at a time. */
  | {readonly kind: 'probe'; readonly awaitsReply: boolean}
  /** Sends batches without waiting, within the bounds. */
  | {readonly kind: 'pipeline'}
  /** Sends a snapshot, one chunk at a time. */
  | {
      readonly kind: 'install';
      readonly snapshot: Snapshot;
      readonly offset: number;
      /** Set when the chunk at the offset was sent before the last heartbeat. */
      readonly overdue: boolean;
    };

interface Batch {
  readonly lastIndex: number;
  readonly bytes: number;
}

/** What a leader knows of one follower or learner. */
export class Progress {
  /** The last index known to be on its disk. */
  matchIndex = 0;
  /** The last round that it replied to. */
  ackedRound = 0;
  /** Whether it lately held all that was committed one heartbeat earlier. */
  caughtUp = false;
  stream: Stream = {kind: 'probe', awaitsReply: false};

  private inFlight: Batch[] = [];
  private inFlightBytes = 0;

  constructor(
    readonly id: ControlId,
    /** The index of the first entry to send. */
    public nextIndex: number,
  ) {}

  /** Whether one more batch may be sent now. */
  canSend(bounds: ReplicaBounds): boolean {
    switch (this.stream.kind) {
      case 'probe':
        return !this.stream.awaitsReply;
      case 'pipeline':
        return (
          this.inFlight.length < bounds.maxInFlightBatches &&
          this.inFlightBytes < bounds.maxInFlightBytes
        );
      case 'install':
        return false;
    }
  }

  /** Takes note of entries sent. */
  trackSent(entries: readonly LogEntry[]): void {
    if (this.stream.kind === 'probe') {
      this.stream = {kind: 'probe', awaitsReply: true};
      return;
    }
    const last = entries.at(-1);
    if (!last) return;
    this.nextIndex = last.index + 1;
    const bytes = entries.reduce((sum, entry) => sum + countBytes(entry), 0);
    this.inFlight.push({lastIndex: last.index, bytes});
    this.inFlightBytes += bytes;
  }

  /** Takes note that entries up to an index are on the follower's disk. */
  acceptMatch(index: number): void {
    this.matchIndex = Math.max(this.matchIndex, index);
    while (this.inFlight.length > 0) {
      if (this.inFlight[0].lastIndex > this.matchIndex) break;
      this.inFlightBytes -= this.inFlight.shift()!.bytes;
    }
    this.nextIndex = Math.max(this.nextIndex, this.matchIndex + 1);
  }

  /** Looks for the agreeing place again, from an index on. */
  startProbe(nextIndex: number): void {
    this.stream = {kind: 'probe', awaitsReply: false};
    this.nextIndex = Math.max(nextIndex, this.matchIndex + 1);
    this.clearInFlight();
  }

  /** Sends without waiting from the matching place on. */
  startPipeline(): void {
    this.stream = {kind: 'pipeline'};
    this.nextIndex = this.matchIndex + 1;
    this.clearInFlight();
  }

  startInstall(snapshot: Snapshot): void {
    this.stream = {kind: 'install', snapshot, offset: 0, overdue: false};
    this.clearInFlight();
  }

  private clearInFlight(): void {
    this.inFlight = [];
    this.inFlightBytes = 0;
  }
}

function countBytes(entry: LogEntry): number {
  return entry.kind === 'command' ? entry.command.byteLength : 0;
}
