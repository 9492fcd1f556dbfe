import type {LogEntry, SnapshotMetadata} from './entry.js';

/** RequestVote, or with `preliminary` a pre-vote, which changes neither term nor vote. */
export interface VoteRequest {
  readonly kind: 'vote-request';
  /** The term of the election; in a pre-vote, the candidate's term plus one. */
  readonly term: number;
  readonly preliminary: boolean;
  /** Set after a leadership transfer, for which the previous leader gave up its lease. */
  readonly transferred: boolean;
  readonly lastIndex: number;
  readonly lastTerm: number;
}

export interface VoteReply {
  readonly kind: 'vote-reply';
  /** The requested term if granted, else the replier's current term. */
  readonly term: number;
  readonly preliminary: boolean;
  readonly granted: boolean;
}

/** AppendEntries. Without entries it is a heartbeat. */
export interface AppendRequest {
  readonly kind: 'append';
  readonly term: number;
  /** The leader's message round, echoed in the reply. */
  readonly round: number;
  readonly previousIndex: number;
  readonly previousTerm: number;
  readonly commitIndex: number;
  readonly entries: readonly LogEntry[];
}

/** The replier's log is synced and matches the leader's up to `matchIndex`. */
export interface AppendAccepted {
  readonly kind: 'append-accepted';
  readonly term: number;
  readonly round: number;
  readonly matchIndex: number;
}

/** The replier's log has no matching previous entry, or its term is newer than the request's. */
export interface AppendRejected {
  readonly kind: 'append-rejected';
  readonly term: number;
  readonly round: number;
  /** The previous index of the request; 0 if its term was stale. */
  readonly previousIndex: number;
  /** The last position at which the logs may match. */
  readonly hintIndex: number;
  readonly hintTerm: number;
}

/** InstallSnapshot: one chunk, for a replica that lacks entries compacted by the leader. */
export interface InstallRequest {
  readonly kind: 'install';
  readonly term: number;
  readonly round: number;
  readonly snapshot: SnapshotMetadata;
  readonly totalBytes: number;
  readonly offset: number;
  readonly data: Uint8Array;
}

/** The replier holds the snapshot's bytes before `offset` in memory, not on disk. */
export interface InstallProgress {
  readonly kind: 'install-progress';
  readonly term: number;
  readonly round: number;
  readonly index: number;
  readonly offset: number;
}

/** TimeoutNow: asks the receiver, whose log is complete, to start an election at once. */
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
