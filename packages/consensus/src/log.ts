import {assertInvariant} from '#model';
import type {
  LogPosition,
  LogEntry,
  RecoveredState,
  Snapshot,
  SnapshotMetadata,
} from './entry.js';
import type {Members} from './member.js';
import type {ReplicaBounds} from './options.js';

interface Membership {
  readonly index: number;
  readonly members: Members;
}

const entryOverheadBytes = 32;
const estimatedMemberBytes = 64;

/**
 * A replica's log in memory: a base position in place of the compacted entries,
 * then entries without gaps. The snapshot may be later than the base, so that
 * followers slightly behind it can still be sent entries.
 */
export class ReplicaLog {
  private base: LogPosition = {index: 0, term: 0};
  private entries: LogEntry[] = [];
  /** The members at the base, then those of each members entry, in index order. */
  private memberships: Membership[] = [{index: 0, members: []}];
  private latestSnapshot: Snapshot | undefined;

  constructor(recovered: RecoveredState) {
    if (recovered.snapshot) this.reset(recovered.snapshot);
    this.append(recovered.entries);
  }

  get snapshot(): Snapshot | undefined {
    return this.latestSnapshot;
  }

  /** The index of the last compacted entry, 0 if there is none. */
  get baseIndex(): number {
    return this.base.index;
  }

  get lastIndex(): number {
    return this.base.index + this.entries.length;
  }

  get lastTerm(): number {
    return this.entries.at(-1)?.term ?? this.base.term;
  }

  /** The members in force: those of the latest members entry, committed or not. */
  get members(): Members {
    return this.memberships.at(-1)!.members;
  }

  /** The index of the entry that set the members in force. */
  get membersIndex(): number {
    return this.memberships.at(-1)!.index;
  }

  /** Gets the term of an entry; undefined before the base and past the end. */
  getTerm(index: number): number | undefined {
    if (index === this.base.index) return this.base.term;
    return this.entries[index - this.base.index - 1]?.term;
  }

  /** Appends entries, which must continue the log without a gap. */
  append(entries: readonly LogEntry[]): void {
    for (const entry of entries) {
      assertInvariant(
        entry.index === this.lastIndex + 1 && entry.term >= this.lastTerm,
        `entry ${entry.index} of term ${entry.term} does not continue the log, which ends at ${this.lastIndex} of term ${this.lastTerm}`,
      );
      this.entries.push(entry);
      if (entry.kind !== 'members') continue;
      this.memberships.push({index: entry.index, members: entry.members});
    }
  }

  /** Removes the entries from an index on. */
  truncate(from: number): void {
    assertInvariant(
      from > this.base.index,
      `cannot truncate at entry ${from}: the log is compacted up to ${this.base.index}`,
    );
    this.entries.length = from - this.base.index - 1;
    while (this.membersIndex >= from) this.memberships.pop();
  }

  /** Gets entries from an index on, up to an estimated size but at least one if there are any. */
  getBatch(from: number, maxBytes: number): readonly LogEntry[] {
    const start = from - this.base.index - 1;
    let end = start;
    let bytes = 0;
    while (end < this.entries.length) {
      bytes += estimateEntryBytes(this.entries[end]);
      if (bytes > maxBytes && end > start) break;
      end++;
    }
    return this.entries.slice(start, end);
  }

  /** Gets the entries after one index up to and including another. */
  getRange(after: number, through: number): readonly LogEntry[] {
    return this.entries.slice(
      after - this.base.index,
      through - this.base.index,
    );
  }

  /**
   * Finds the last entry at or before an index whose term is at most `term`; the
   * base if there is none.
   */
  findLastPosition(index: number, term: number): LogPosition {
    let low = 0;
    let high = Math.min(index, this.lastIndex) - this.base.index;
    while (low < high) {
      const middle = (low + high + 1) >> 1;
      if (this.entries[middle - 1].term <= term) low = middle;
      else high = middle - 1;
    }
    const foundIndex = this.base.index + Math.max(0, low);
    return {index: foundIndex, term: this.getTerm(foundIndex)!};
  }

  /** Gets the metadata for a snapshot of the state after an index. */
  getSnapshotMetadata(index: number): SnapshotMetadata {
    const term = this.getTerm(index);
    assertInvariant(term !== undefined, `entry ${index} is not in the log`);
    return {index, term, members: this.findMembership(index).members};
  }

  /** Stores a snapshot and discards the entries it covers, except for trailing ones within the bounds. */
  compact(
    snapshot: Snapshot,
    bounds: Pick<ReplicaBounds, 'trailingEntries' | 'trailingBytes'>,
  ): void {
    this.latestSnapshot = snapshot;
    const index = this.findTrailing(snapshot.index, bounds);
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

  /** Replaces the whole log with a snapshot. */
  reset(snapshot: Snapshot): void {
    const {index, term, members} = snapshot;
    this.base = {index, term};
    this.entries = [];
    this.memberships = [{index, members}];
    this.latestSnapshot = snapshot;
  }

  /** Finds the index after which the trailing entries begin that are retained before a snapshot. */
  private findTrailing(
    through: number,
    {
      trailingEntries,
      trailingBytes,
    }: Pick<ReplicaBounds, 'trailingEntries' | 'trailingBytes'>,
  ): number {
    const first = Math.max(this.base.index, through - trailingEntries);
    let index = through;
    let bytes = 0;
    while (index > first) {
      bytes += estimateEntryBytes(this.entries[index - this.base.index - 1]);
      if (bytes > trailingBytes) break;
      index--;
    }
    return index;
  }

  private findMembership(index: number): Membership {
    return this.memberships.findLast(membership => membership.index <= index)!;
  }
}

function estimateEntryBytes(entry: LogEntry): number {
  switch (entry.kind) {
    case 'command':
      return entryOverheadBytes + entry.command.byteLength;
    case 'members':
      return entryOverheadBytes + estimatedMemberBytes * entry.members.length;
    case 'blank':
      return entryOverheadBytes;
  }
}
