import type {HardState, LogEntry, Snapshot} from '#consensus';
import type {StoreError} from './error.js';
import {type LogRecord, decodeEntry, type SegmentHeader} from './record.js';

/** The location of a record, for error reports. */
export interface RecordLocation {
  readonly file: string;
  /** The first byte of the record's frame in the file. */
  readonly offset: number;
}

/** Rebuilds the log from its records, oldest first. */
export class LogReplay {
  hardState: HardState = {term: 0};
  header: SegmentHeader | undefined;
  private base = {index: 0, term: 0};
  private entries: LogEntry[] = [];
  private started = false;

  get lastIndex(): number {
    return this.base.index + this.entries.length;
  }

  /** The index just before the first entry. */
  get baseIndex(): number {
    return this.base.index;
  }

  /** Replays one record; returns an error when its entries don't continue the log. */
  replay(record: LogRecord, location: RecordLocation): StoreError | undefined {
    if (record.head) this.beginSegment(record.head);
    if (record.hardState) this.hardState = record.hardState;
    for (const stored of record.entries ?? []) {
      const entry = decodeEntry(stored);
      if (entry.index > this.lastIndex + 1 || entry.index <= this.base.index) {
        return {
          kind: 'corrupt',
          ...location,
          expected: `a record that continues the log after entry ${this.lastIndex}`,
          found: `entry ${entry.index}`,
        };
      }
      this.entries.length = entry.index - this.base.index - 1;
      this.entries.push(entry);
    }
    return undefined;
  }

  private beginSegment(header: SegmentHeader): void {
    const [index, term] = header.base;
    this.header = header;
    this.hardState = header.hardState;
    if (this.started && this.getTerm(index) === term) {
      this.entries.length = index - this.base.index;
    } else {
      this.base = {index, term};
      this.entries = [];
    }
    this.started = true;
  }

  /** Returns the entries after a snapshot; none when the log has no entry of its index and term. */
  getEntriesAfter(snapshot: Snapshot | undefined): readonly LogEntry[] {
    if (!snapshot) return this.entries;
    if (this.getTerm(snapshot.index) !== snapshot.term) return [];
    return this.entries.slice(snapshot.index - this.base.index);
  }

  private getTerm(index: number): number | undefined {
    if (index === this.base.index) return this.base.term;
    return this.entries[index - this.base.index - 1]?.term;
  }
}
