import type {ControlId} from '#model';
import type {
  HardState,
  LogEntry,
  MembersEntry,
  Snapshot,
  SnapshotMetadata,
} from '#consensus';

/** The version of the file format. */
export const formatVersion = 1;

/** The position of an entry in the log. */
export type LogPosition = readonly [index: number, term: number];

/** The header of a segment: the state recorded by the previous segments, except their entries. */
export interface SegmentHeader {
  readonly format: number;
  readonly id: ControlId;
  readonly hardState: HardState;
  /** The last entry of the log that the segment continues. */
  readonly base: LogPosition;
}

/** The body of one frame of a segment; each is written and synced as a unit. */
export interface LogRecord {
  readonly head?: SegmentHeader;
  readonly hardState?: HardState;
  /** In the order written; each replaces the entries from its index on. */
  readonly entries?: readonly StoredEntry[];
}

/** A blank entry has no body. */
export type StoredEntry =
  | readonly [index: number, term: number, command: Uint8Array]
  | readonly [index: number, term: number, members: MembersEntry['members']]
  | readonly [index: number, term: number];

export function encodeEntry(entry: LogEntry): StoredEntry {
  const {index, term} = entry;
  switch (entry.kind) {
    case 'command':
      return [index, term, entry.command];
    case 'members':
      return [index, term, entry.members];
    case 'blank':
      return [index, term];
  }
}

export function decodeEntry([index, term, body]: StoredEntry): LogEntry {
  if (body === undefined) return {kind: 'blank', index, term};
  return body instanceof Uint8Array
    ? {kind: 'command', index, term, command: body}
    : {kind: 'members', index, term, members: body};
}

/** The body of the only frame of a snapshot file. */
export interface SnapshotRecord extends SnapshotMetadata {
  readonly format: number;
  readonly data: Uint8Array;
}

export function encodeSnapshot(snapshot: Snapshot): SnapshotRecord {
  const {index, term, members, data} = snapshot;
  return {format: formatVersion, index, term, members, data};
}

export function decodeSnapshot(record: SnapshotRecord): Snapshot {
  const {index, term, members, data} = record;
  return {index, term, members, data};
}

const numberDigits = 16;

/** The kinds of numbered files in a data folder. */
export type FileKind = 'log' | 'snapshot';

/** Formats the file name of a log segment by its number, or of a snapshot by its index. */
export function formatFileName(kind: FileKind, number: number): string {
  return `${kind}-${String(number).padStart(numberDigits, '0')}`;
}

/** Lists the numbers of the files of one kind in ascending order. */
export function listFileNumbers(
  names: readonly string[],
  kind: FileKind,
): readonly number[] {
  const pattern = new RegExp(`^${kind}-(\\d{${numberDigits}})$`);
  return names
    .flatMap(name => pattern.exec(name)?.[1] ?? [])
    .map(Number)
    .sort((a, b) => a - b);
}

export const temporarySuffix = '.tmp';
