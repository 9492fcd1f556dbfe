import type {HardState, LogEntry, Snapshot} from '#consensus';
import type {StoreError} from './error.js';
import {type LogRecord, readEntry, type SegmentHead} from './record.js';

/** Where a record stands, for the error that it may cause. */
export interface RecordSource {
  readonly file: string;
  /** Counts the file's frames from 0. */
  readonly frame: number;
}

/** Builds the log from its records, oldest first. */
export class LogReplay {
  hardState: HardState = {term: 0};
  head: SegmentHead | undefined;
  private base = {index: 0, term: 0};
  private entries: LogEntry[] = [];
  private started = false;

  get lastIndex(): number {
    return this.base.index + this.entries.length;
  }

  /** The index before the first entry held. */
  get baseIndex(): number {
    return this.base.index;
  }

  /** Replays one record; returns what is wrong with it, or nothing. */
  replay(record: LogRecord, source: RecordSource): StoreError | undefined {
    if (record.head) this.begin(record.head);
    if (record.hardState) this.hardState = record.hardState;
    for (const stored of record.entries ?? []) {
      const entry = readEntry(stored);
      if (entry.index > this.lastIndex + 1 || entry.index <= this.base.index) {
        return {
          kind: 'corrupt',
          file: source.file,
          offset: source.frame,
          expected: `frame ${source.frame} to continue the log after entry ${this.lastIndex}`,
          found: `entry ${entry.index}`,
        };
      }
      this.entries.length = entry.index - this.base.index - 1;
      this.entries.push(entry);
    }
    return undefined;
  }

  private begin(head: SegmentHead): void {
    const [index, term] = head.base;
    this.head = head;
    this.hardState = head.hardState;
    if (this.started && this.getTerm(index) === term) {
      this.entries.length = index - this.base.index;
    } else {
      this.base = {index, term};
      this.entries = [];
    }
    this.started = true;
  }

  /** Gets the entries that follow a snapshot; none where the log does not hold its place. */
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
