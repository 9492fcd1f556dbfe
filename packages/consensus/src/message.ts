import type {LogEntry, SnapshotPlace} from './entry.js';

/** Asks for a vote. A `preliminary` one changes nothing at either end. */
export interface VoteRequest {
  readonly kind: 'vote-request';
  /** The term that the candidate stands for, also when preliminary. */
  readonly term: number;
  readonly preliminary: boolean;
  /** The leader of the term before gave up its lease for this election. */
  readonly transferred: boolean;
  readonly lastIndex: number;
  readonly lastTerm: number;
}

export interface VoteReply {
  readonly kind: 'vote-reply';
  /** The term asked for when granted, else the replier's own. */
  readonly term: number;
  readonly preliminary: boolean;
  readonly granted: boolean;
}

/** Entries after a known one; without entries it is a heartbeat. */
export interface AppendRequest {
  readonly kind: 'append';
  readonly term: number;
  /** The leader's round of messages, echoed by the reply. */
  readonly round: number;
  readonly previousIndex: number;
  readonly previousTerm: number;
  readonly commitIndex: number;
  readonly entries: readonly LogEntry[];
}

/** Entries up to `matchIndex` are on the replier's disk. */
export interface AppendAccepted {
  readonly kind: 'append-accepted';
  readonly term: number;
  readonly round: number;
  readonly matchIndex: number;
}

/** The replier's log has no such previous entry, or its term is newer. */
export interface AppendRejected {
  readonly kind: 'append-rejected';
  readonly term: number;
  readonly round: number;
  /** The previous index that did not match. */
  readonly previousIndex: number;
  /** The last place at which the logs may still agree. */
  readonly hintIndex: number;
  readonly hintTerm: number;
}

/** A part of a snapshot for a replica that is behind the leader's log. */
export interface InstallRequest {
  readonly kind: 'install';
  readonly term: number;
  readonly round: number;
  readonly snapshot: SnapshotPlace;
  readonly totalBytes: number;
  readonly offset: number;
  readonly data: Uint8Array;
}

/** The replier holds the bytes before `offset` of this snapshot in memory. */
export interface InstallProgress {
  readonly kind: 'install-progress';
  readonly term: number;
  readonly round: number;
  readonly index: number;
  readonly offset: number;
}

/** Asks the receiver, whose log is complete, to stand for election at once. */
export interface TakeOver {
  readonly kind: 'take-over';
  readonly term: number;
}

export type Message =
  | VoteRequest
  | VoteReply
  | AppendRequest
  | AppendAccepted
  | AppendRejected
  | InstallRequest
  | InstallProgress
  | TakeOver;
