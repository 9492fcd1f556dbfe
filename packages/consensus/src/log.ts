import {assertInvariant} from '#model';
import type {
  EntryPlace,
  LogEntry,
  RecoveredState,
  Snapshot,
  SnapshotPlace,
} from './entry.js';
import type {Members} from './member.js';

interface Membership {
  readonly index: number;
  readonly members: Members;
}

const entryOverheadBytes = 32;
const memberBytes = 64;

/**
 * A replica's log in memory: a base that stands for all earlier entries, then
 * entries without gaps. The snapshot may lie after the base, so that followers
 * a little behind it still get entries.
 */
export class ReplicaLog {
  private base: EntryPlace = {index: 0, term: 0};
  private entries: LogEntry[] = [];
  /** The base's members, then those of each members entry, by rising index. */
  private memberships: Membership[] = [{index: 0, members: []}];
  private latestSnapshot: Snapshot | undefined;

  constructor(recovered: RecoveredState) {
    if (recovered.snapshot) this.reset(recovered.snapshot);
    this.append(recovered.entries);
  }

  get snapshot(): Snapshot | undefined {
    return this.latestSnapshot;
  }

  /** The index that stands for all entries no longer held. */
  get baseIndex(): number {
    return this.base.index;
  }

  get lastIndex(): number {
    return this.base.index + this.entries.length;
  }

  get lastTerm(): number {
    return this.entries.at(-1)?.term ?? this.base.term;
  }

  /** The members in force: those of the last members entry, committed or not. */
  get members(): Members {
    return this.memberships.at(-1)!.members;
  }

  /** The index of the entry that the members in force come from. */
  get membersIndex(): number {
    return this.memberships.at(-1)!.index;
  }

  /** Gets the term of an entry; undefined where the log holds none. */
  getTerm(index: number): number | undefined {
    if (index === this.base.index) return this.base.term;
    return this.entries[index - this.base.index - 1]?.term;
  }

  /** Adds entries that continue the log. */
  append(entries: readonly LogEntry[]): void {
    for (const entry of entries) {
      assertInvariant(
        entry.index === this.lastIndex + 1 && entry.term >= this.lastTerm,
        `entry ${entry.index} of term ${entry.term} does not continue a log that ends at ${this.lastIndex} of term ${this.lastTerm}`,
      );
      this.entries.push(entry);
      if (entry.kind !== 'members') continue;
      this.memberships.push({index: entry.index, members: entry.members});
    }
  }

  /** Drops the entries from an index on. */
  truncate(from: number): void {
    assertInvariant(
      from > this.base.index,
      `cannot drop entry ${from}: the log begins after ${this.base.index}`,
    );
    this.entries.length = from - this.base.index - 1;
    while (this.membersIndex >= from) this.memberships.pop();
  }

  /** Gets entries from an index on: as many as fit the bytes, but at least one. */
  getBatch(from: number, maxBytes: number): readonly LogEntry[] {
    const start = from - this.base.index - 1;
    let end = start;
    let bytes = 0;
    while (end < this.entries.length) {
      bytes += measureEntry(this.entries[end]);
      if (bytes > maxBytes && end > start) break;
      end++;
    }
    return this.entries.slice(start, end);
  }

  /** Gets the entries after one index up to another. */
  getRange(after: number, through: number): readonly LogEntry[] {
    return this.entries.slice(
      after - this.base.index,
      through - this.base.index,
    );
  }

  /** Finds the last entry at or before an index whose term is at most the given one. */
  findLastPlace(index: number, term: number): EntryPlace {
    let low = 0;
    let high = Math.min(index, this.lastIndex) - this.base.index;
    while (low < high) {
      const middle = (low + high + 1) >> 1;
      if (this.entries[middle - 1].term <= term) low = middle;
      else high = middle - 1;
    }
    const found = this.base.index + Math.max(0, low);
    return {index: found, term: this.getTerm(found)!};
  }

  /** Gets the place of a snapshot of the state after an index. */
  getSnapshotPlace(index: number): SnapshotPlace {
    const term = this.getTerm(index);
    assertInvariant(term !== undefined, `the log holds no entry ${index}`);
    return {index, term, members: this.findMembership(index).members};
  }

  /** Keeps a snapshot and drops the entries that it replaces, but for some trailing ones. */
  compact(snapshot: Snapshot, trailingEntries: number): void {
    this.latestSnapshot = snapshot;
    const index = snapshot.index - trailingEntries;
    if (index <= this.base.index) return;
    const membership = this.findMembership(index);
    const term = this.getTerm(index)!;
    this.entries.splice(0, index - this.base.index);
    this.base = {index, term};
    this.memberships = [
      membership,
      ...this.memberships.filter(later => later.index > index),
    ];
  }

  /** Replaces the whole log by a snapshot. */
  reset(snapshot: Snapshot): void {
    const {index, term, members} = snapshot;
    this.base = {index, term};
    this.entries = [];
    this.memberships = [{index, members}];
    this.latestSnapshot = snapshot;
  }

  private findMembership(index: number): Membership {
    return this.memberships.findLast(one => one.index <= index)!;
  }
}

function measureEntry(entry: LogEntry): number {
  switch (entry.kind) {
    case 'command':
      return entryOverheadBytes + entry.command.byteLength;
    case 'members':
      return entryOverheadBytes + memberBytes * entry.members.length;
    case 'blank':
      return entryOverheadBytes;
  }
}
