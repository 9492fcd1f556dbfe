import assert from 'node:assert/strict';
import type {
  HardState,
  LogEntry,
  Persist,
  RecoveredState,
  Snapshot,
} from '#consensus';

/** An in-memory disk whose writes are durable only after a sync. */
export class MemoryDisk {
  hardState: HardState = {term: 0};
  snapshot: Snapshot | undefined;
  entries: LogEntry[];
  private pending: Persist[] = [];

  constructor(entries: readonly LogEntry[]) {
    this.entries = [...entries];
  }

  get lastIndex(): number {
    return this.entries.at(-1)?.index ?? this.snapshot?.index ?? 0;
  }

  write(write: Persist): void {
    this.pending.push(write);
  }

  /** Syncs all writes up to a sequence. */
  sync(sequence: number): void {
    while (this.pending.length > 0 && this.pending[0].sequence <= sequence) {
      this.applyWrite(this.pending.shift()!);
    }
  }

  /** Loses the unsynced writes but for the first `kept`, which reached the disk anyway. */
  loseWrites(kept: number): void {
    for (const write of this.pending.slice(0, kept)) this.applyWrite(write);
    this.pending = [];
  }

  get pendingWrites(): number {
    return this.pending.length;
  }

  saveSnapshot(snapshot: Snapshot): void {
    if (snapshot.index <= (this.snapshot?.index ?? 0)) return;
    const entryAtSnapshot = this.entries.find(
      entry => entry.index === snapshot.index,
    );
    this.entries =
      entryAtSnapshot?.term === snapshot.term
        ? this.entries.filter(entry => entry.index > snapshot.index)
        : [];
    this.snapshot = snapshot;
  }

  has(index: number, term: number): boolean {
    if (index <= (this.snapshot?.index ?? 0)) return true;
    const first = this.entries[0]?.index ?? 0;
    return this.entries[index - first]?.term === term;
  }

  recover(): RecoveredState {
    const {hardState, snapshot, entries} = this;
    return {hardState, entries, ...(snapshot && {snapshot})};
  }

  private applyWrite({hardState, snapshot, entries}: Persist): void {
    if (hardState) this.hardState = hardState;
    if (snapshot) this.saveSnapshot(snapshot);
    const snapshotIndex = this.snapshot?.index ?? 0;
    const kept = entries.filter(entry => entry.index > snapshotIndex);
    if (kept.length === 0) return;
    const from = kept[0].index;
    assert.ok(from <= this.lastIndex + 1, `gap before entry ${from}`);
    this.entries = this.entries.filter(entry => entry.index < from);
    this.entries.push(...kept);
  }
}
