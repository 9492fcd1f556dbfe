import type {ControlId} from '#model';
import type {HardState, LogEntry, Snapshot} from './entry.js';
import type {ChangeRefusal, MemberChange, Members} from './member.js';
import type {Message} from './message.js';

/** Chosen by the embedding code to identify a request; echoed in the effect that answers it. */
export type Ticket = number;

/** An input to a replica. */
export type Input =
  /** A timer tick, due at `Replica.wakeAt`. */
  | {readonly kind: 'tick'}
  | {
      readonly kind: 'message';
      readonly from: ControlId;
      readonly message: Message;
    }
  /** Proposes commands, appended together and in order. */
  | {
      readonly kind: 'propose';
      readonly ticket: Ticket;
      readonly commands: readonly Uint8Array[];
    }
  | {
      readonly kind: 'change-members';
      readonly ticket: Ticket;
      readonly change: MemberChange;
    }
  /** Asks a leader to transfer leadership to the most up-to-date voter. */
  | {readonly kind: 'transfer'}
  /** Requests a linearizable read, for which the replica confirms that it still leads. */
  | {readonly kind: 'read'; readonly ticket: Ticket}
  /** All `persist` effects up to this sequence are synced to disk. */
  | {readonly kind: 'synced'; readonly sequence: number}
  /** A snapshot is saved on disk, so that the entries it covers may be compacted. */
  | {readonly kind: 'snapshot-saved'; readonly snapshot: Snapshot};

/** A write that the embedding code must perform and sync, in the order given. */
export interface Persist {
  readonly kind: 'persist';
  /** Increases by one with each write; acknowledged by the `synced` input. */
  readonly sequence: number;
  readonly hardState?: HardState;
  /** Replaces the stored entries from the first one's index on. */
  readonly entries: readonly LogEntry[];
  /** Replaces the stored log up to its index. Later entries are discarded unless the stored entry at that index has its term. */
  readonly snapshot?: Snapshot;
}

/** An action that the embedding code must perform, in the order given. */
export type Effect =
  | {
      readonly kind: 'send';
      readonly to: ControlId;
      readonly message: Message;
    }
  | Persist
  /** Committed entries to apply, in order and each once. */
  | {readonly kind: 'apply'; readonly entries: readonly LogEntry[]}
  /** Replaces the state of the state machine. */
  | {readonly kind: 'restore'; readonly snapshot: Snapshot}
  /** The commands are in the log from `index` on; committed once applied with this term. */
  | {
      readonly kind: 'proposed';
      readonly ticket: Ticket;
      readonly index: number;
      readonly term: number;
    }
  /** The request was refused and nothing was written for it. */
  | {
      readonly kind: 'refused';
      readonly ticket: Ticket;
      readonly reason: ChangeRefusal;
    }
  /** The read may proceed: all writes acknowledged before it began are in the applied state. */
  | {
      readonly kind: 'readable';
      readonly ticket: Ticket;
      readonly index: number;
    }
  | {
      readonly kind: 'role';
      readonly role: Role;
      readonly term: number;
      readonly leader?: ControlId;
    }
  /** The members in force have changed. */
  | {readonly kind: 'members'; readonly members: Members};

export type Role = 'leader' | 'follower' | 'candidate' | 'learner';
