import type {ControlId} from '#model';
import type {HardState, LogEntry, Snapshot} from './entry.js';
import type {Message} from './message.js';
import type {Effect} from './transition.js';

interface DeferredMessage {
  readonly sequence: number;
  readonly to: ControlId;
  readonly message: Message;
}

/** The last log position covered by an unsynced write. */
interface UnsyncedTail {
  readonly sequence: number;
  readonly index: number;
  readonly term: number;
}

/**
 * Collects the effects of a step. The writes of a step are combined into one
 * `persist` effect, which comes first. Messages that depend on unsynced writes
 * are deferred until the sync, so that a crash can't lose a vote or an entry that
 * another replica relies on.
 */
export class Outbox {
  private effects: Effect[] = [];
  private hardState: HardState | undefined;
  private entries: LogEntry[] = [];
  private snapshot: Snapshot | undefined;
  private hasStagedWrites = false;
  private lastSequence = 0;
  private syncedSequence = 0;
  /** The sequence number whose sync covers the latest hard state. */
  private hardStateSequence = 0;
  private deferred: DeferredMessage[] = [];
  private unsyncedTails: UnsyncedTail[] = [];

  /** The sequence number whose sync covers all writes so far, including those of this step. */
  get sequence(): number {
    return this.hasStagedWrites ? this.lastSequence + 1 : this.lastSequence;
  }

  /** Adds an effect that doesn't wait for a sync. */
  push(effect: Effect): void {
    this.effects.push(effect);
  }

  /** Sends without waiting for a sync, for messages that don't depend on unsynced writes. */
  send(to: ControlId, message: Message): void {
    this.push({kind: 'send', to, message});
  }

  /** Sends once all writes so far are synced. */
  sendAfterSync(to: ControlId, message: Message): void {
    if (this.isSynced(this.sequence)) {
      this.send(to, message);
      return;
    }
    this.deferred.push({sequence: this.sequence, to, message});
  }

  writeHardState(hardState: HardState): void {
    this.hardState = hardState;
    this.hasStagedWrites = true;
    this.hardStateSequence = this.sequence;
  }

  /** Stages entries, which replace the stored ones from the first one's index on. */
  writeEntries(entries: readonly LogEntry[]): void {
    this.entries.push(...entries);
    this.hasStagedWrites = true;
    const {index, term} = entries.at(-1)!;
    this.unsyncedTails.push({sequence: this.sequence, index, term});
  }

  writeSnapshot(snapshot: Snapshot): void {
    this.snapshot = snapshot;
    this.hasStagedWrites = true;
    const {index, term} = snapshot;
    this.unsyncedTails.push({sequence: this.sequence, index, term});
  }

  /** True when the term and the vote are on disk. */
  get isHardStateSynced(): boolean {
    return this.isSynced(this.hardStateSequence);
  }

  isSynced(sequence: number): boolean {
    return sequence <= this.syncedSequence;
  }

  /**
   * Handles a completed sync: sends the deferred messages that it covers, except
   * those of an earlier term. Returns the log positions that are now durable.
   */
  acknowledgeSync(sequence: number, term: number): readonly UnsyncedTail[] {
    this.syncedSequence = Math.max(this.syncedSequence, sequence);
    const released = this.deferred.filter(
      message => message.sequence <= sequence,
    );
    this.deferred = this.deferred.filter(
      message => message.sequence > sequence,
    );
    for (const {to, message} of released) {
      if (message.term >= term) this.send(to, message);
    }
    const synced = this.unsyncedTails.filter(tail => tail.sequence <= sequence);
    this.unsyncedTails = this.unsyncedTails.filter(
      tail => tail.sequence > sequence,
    );
    return synced;
  }

  /** Ends a step and returns its effects. */
  takeEffects(): readonly Effect[] {
    const effects = this.effects;
    this.effects = [];
    if (!this.hasStagedWrites) return effects;
    this.lastSequence++;
    effects.unshift({
      kind: 'persist',
      sequence: this.lastSequence,
      entries: this.entries,
      ...(this.hardState && {hardState: this.hardState}),
      ...(this.snapshot && {snapshot: this.snapshot}),
    });
    this.hasStagedWrites = false;
    this.hardState = undefined;
    this.entries = [];
    this.snapshot = undefined;
    return effects;
  }
}
