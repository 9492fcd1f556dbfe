import type {ControlId} from '#model';
import type {Members} from './member.js';

/** Position of an entry in the log. */
export interface LogPosition {
  /** Consecutive, starting at 1. */
  readonly index: number;
  /** The term of the leader that wrote the entry. */
  readonly term: number;
}

/** A state machine command, opaque to the log. */
export interface CommandEntry extends LogPosition {
  readonly kind: 'command';
  readonly command: Uint8Array;
}

/** Sets the members. In force as soon as the entry is in the log, committed or not. */
export interface MembersEntry extends LogPosition {
  readonly kind: 'members';
  readonly members: Members;
}

/** The no-op entry that starts a leader's term. */
export interface BlankEntry extends LogPosition {
  readonly kind: 'blank';
}

export type LogEntry = CommandEntry | MembersEntry | BlankEntry;

/** State that survives a restart. Synced before any message that depends on it is sent. */
export interface HardState {
  readonly term: number;
  /** The candidate voted for in this term. */
  readonly vote?: ControlId;
}

/** Position and membership of a snapshot, which replaces all entries up to its index. */
export interface SnapshotMetadata extends LogPosition {
  /** The members in force at that index. */
  readonly members: Members;
}

/** The state of the state machine after applying the entry at `index`. */
export interface Snapshot extends SnapshotMetadata {
  readonly data: Uint8Array;
}

/** The persisted state that a replica starts from. */
export interface RecoveredState {
  readonly hardState: HardState;
  readonly snapshot?: Snapshot;
  /** Entries after the snapshot, without gaps. */
  readonly entries: readonly LogEntry[];
}

/** Creates the bootstrap entry of a new group, identical on all of its voters. */
export function createFirstEntry(members: Members): MembersEntry {
  return {kind: 'members', index: 1, term: 0, members};
}
