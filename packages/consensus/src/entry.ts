import type {ControlId} from '#model';
import type {Members} from './member.js';

/** What every entry of the log has: its place and the term of the leader that wrote it. */
export interface EntryPlace {
  /** Counts from 1 without gaps. */
  readonly index: number;
  readonly term: number;
}

/** A command of the state machine; its bytes are opaque here. */
export interface CommandEntry extends EntryPlace {
  readonly kind: 'command';
  readonly command: Uint8Array;
}

/** The members from this entry on; in force as soon as it is in the log. */
export interface MembersEntry extends EntryPlace {
  readonly kind: 'members';
  readonly members: Members;
}

/** The first entry of a leader's term. It changes nothing. */
export interface BlankEntry extends EntryPlace {
  readonly kind: 'blank';
}

export type LogEntry = CommandEntry | MembersEntry | BlankEntry;

/** What a replica promises across restarts. Written and synced before any message tells it. */
export interface HardState {
  readonly term: number;
  /** The candidate voted for in this term. */
  readonly vote?: ControlId;
}

/** Where a snapshot stands in the log: it replaces all entries up to its index. */
export interface SnapshotPlace extends EntryPlace {
  /** The members in force at that index. */
  readonly members: Members;
}

/** The state machine's state after its index. */
export interface Snapshot extends SnapshotPlace {
  readonly data: Uint8Array;
}

/** What a replica starts from: what its disk holds. */
export interface RecoveredState {
  readonly hardState: HardState;
  readonly snapshot?: Snapshot;
  /** Entries after the snapshot, without gaps. */
  readonly entries: readonly LogEntry[];
}

/** The first entry of a new group, the same at each of its voters. */
export function createFirstEntry(members: Members): MembersEntry {
  return {kind: 'members', index: 1, term: 0, members};
}
