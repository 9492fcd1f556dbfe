import type {ControlId} from '#model';
import type {HardState, LogEntry, Snapshot} from './entry.js';
import type {Message} from './message.js';
import type {Effect} from './transition.js';

interface HeldMessage {
  readonly sequence: number;
  readonly to: ControlId;
  readonly message: Message;
}

/** The last entry that one write put on the disk. */
interface WrittenTail {
  readonly sequence: number;
  readonly index: number;
  readonly term: number;
}

/**
 * Collects the effects of a step. Writes of one step become one `persist`
 * effect, ahead of the others. A message that tells of them is held until they
 * are synced, so that a replica never tells what it could forget.
 */
export class Outbox {
  private effects: Effect[] = [];
  private hardState: HardState | undefined;
  private entries: LogEntry[] = [];
  private snapshot: Snapshot | undefined;
  private staged = false;
  private lastSequence = 0;
  private syncedSequence = 0;
  private held: HeldMessage[] = [];
  private tails: WrittenTail[] = [];

  /** The sequence whose sync covers all that was written so far, this step's writes included. */
  get sequence(): number {
    return this.staged ? this.lastSequence + 1 : this.lastSequence;
  }

  /** Adds an effect that waits for nothing. */
  push(effect: Effect): void {
    this.effects.push(effect);
  }

  /** Sends at once. Only for what tells of nothing that is yet to be synced. */
  send(to: ControlId, message: Message): void {
    this.push({kind: 'send', to, message});
  }

  /** Sends once all that was written so far is synced. */
  sendSynced(to: ControlId, message: Message): void {
    if (this.isSynced(this.sequence)) {
      this.send(to, message);
      return;
    }
    this.held.push({sequence: this.sequence, to, message});
  }

  writeHardState(hardState: HardState): void {
    this.hardState = hardState;
    this.staged = true;
  }

  /** Writes entries; they replace what was written at their indexes. */
  writeEntries(entries: readonly LogEntry[]): void {
    this.entries.push(...entries);
    this.staged = true;
    const {index, term} = entries.at(-1)!;
    this.tails.push({sequence: this.sequence, index, term});
  }

  writeSnapshot(snapshot: Snapshot): void {
    this.snapshot = snapshot;
    this.staged = true;
    const {index, term} = snapshot;
    this.tails.push({sequence: this.sequence, index, term});
  }

  isSynced(sequence: number): boolean {
    return sequence <= this.syncedSequence;
  }

  /** Takes note of a sync: releases messages unless the term has left them behind. Returns the tails now on the disk. */
  acknowledgeSync(sequence: number, term: number): readonly WrittenTail[] {
    this.syncedSequence = Math.max(this.syncedSequence, sequence);
    const released = this.held.filter(held => held.sequence <= sequence);
    this.held = this.held.filter(held => held.sequence > sequence);
    for (const {to, message} of released) {
      if (message.term >= term) this.send(to, message);
    }
    const synced = this.tails.filter(tail => tail.sequence <= sequence);
    this.tails = this.tails.filter(tail => tail.sequence > sequence);
    return synced;
  }

  /** Takes the effects of the step that ends. */
  takeEffects(): readonly Effect[] {
    const effects = this.effects;
    this.effects = [];
    if (!this.staged) return effects;
    this.lastSequence++;
    effects.unshift({
      kind: 'persist',
      sequence: this.lastSequence,
      entries: this.entries,
      ...(this.hardState && {hardState: this.hardState}),
      ...(this.snapshot && {snapshot: this.snapshot}),
    });
    this.staged = false;
    this.hardState = undefined;
    this.entries = [];
    this.snapshot = undefined;
    return effects;
  }
}
