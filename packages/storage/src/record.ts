import type {ControlId} from '#model';
import type {
  HardState,
  LogEntry,
  MembersEntry,
  Snapshot,
  SnapshotMetadata,
} from '#consensus';

/** The version of the files' layout. */
export const formatVersion = 1;

/** The place of an entry: its index and term. */
export type StoredPlace = readonly [index: number, term: number];

/** What a segment begins with: all that the segments before it said, but their entries. */
export interface SegmentHead {
  readonly format: number;
  readonly id: ControlId;
  readonly hardState: HardState;
  /** The log that the segment continues ends here. */
  readonly base: StoredPlace;
}

/** The body of one frame of a segment: what one sync covers. */
export interface LogRecord {
  readonly head?: SegmentHead;
  readonly hardState?: HardState;
  /** In the order written; each replaces what stood at its index and after it. */
  readonly entries?: readonly StoredEntry[];
}

/** A blank entry has no body. */
export type StoredEntry =
  | readonly [index: number, term: number, command: Uint8Array]
  | readonly [index: number, term: number, members: MembersEntry['members']]
  | readonly [index: number, term: number];

export function packEntry(entry: LogEntry): StoredEntry {
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

export function readEntry([index, term, body]: StoredEntry): LogEntry {
  if (body === undefined) return {kind: 'blank', index, term};
  return body instanceof Uint8Array
    ? {kind: 'command', index, term, command: body}
    : {kind: 'members', index, term, members: body};
}

/** The one frame of a snapshot file. */
export interface SnapshotRecord extends SnapshotMetadata {
  readonly format: number;
  readonly data: Uint8Array;
}

export function packSnapshot(snapshot: Snapshot): SnapshotRecord {
  const {index, term, members, data} = snapshot;
  return {format: formatVersion, index, term, members, data};
}

export function readSnapshot(record: SnapshotRecord): Snapshot {
  const {index, term, members, data} = record;
  return {index, term, members, data};
}

const numberDigits = 16;

/** The kinds of files in a data folder, each numbered. */
export type FileKind = 'log' | 'snapshot';

/** Names a log segment by its position, or a snapshot by its index. */
export function nameFile(kind: FileKind, number: number): string {
  return `${kind}-${String(number).padStart(numberDigits, '0')}`;
}

/** Finds the numbers of a folder's files of a kind, rising. */
export function findNumbers(
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
