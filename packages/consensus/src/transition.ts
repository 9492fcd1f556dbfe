import type {ControlId} from '#model';
import type {HardState, LogEntry, Snapshot} from './entry.js';
import type {ChangeRefusal, MemberChange, Members} from './member.js';
import type {Message} from './message.js';

/** Given by the host to tell its requests apart; echoed in the effect that answers. */
export type Ticket = number;

/** What happens to a replica. */
export type Input =
  /** Time has passed; due at `Replica.wakeAt`. */
  | {readonly kind: 'tick'}
  | {
      readonly kind: 'message';
      readonly from: ControlId;
      readonly message: Message;
    }
  /** Commands to append together, in order. */
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
  /** Asks a leader to hand over to the voter that is furthest. */
  | {readonly kind: 'transfer'}
  /** Asks that this replica is still the leader, for a read of its state. */
  | {readonly kind: 'read'; readonly ticket: Ticket}
  /** All `persist` effects up to this sequence are on the disk. */
  | {readonly kind: 'synced'; readonly sequence: number}
  /** The host has a snapshot on its disk: earlier entries may be dropped. */
  | {readonly kind: 'snapshot-saved'; readonly snapshot: Snapshot};

/** What the host must write and sync, in the order given. */
export interface Persist {
  readonly kind: 'persist';
  /** Grows by one with each; answered by the `synced` input. */
  readonly sequence: number;
  readonly hardState?: HardState;
  /** Replaces the stored entries from the first one's index on. */
  readonly entries: readonly LogEntry[];
  /** Replaces the stored log up to its index; entries that do not continue it are void. */
  readonly snapshot?: Snapshot;
}

/** What the host must do, in the order given. */
export type Effect =
  | {
      readonly kind: 'send';
      readonly to: ControlId;
      readonly message: Message;
    }
  | Persist
  /** Committed entries, in order, each once. */
  | {readonly kind: 'apply'; readonly entries: readonly LogEntry[]}
  /** Replaces the state machine's state. */
  | {readonly kind: 'restore'; readonly snapshot: Snapshot}
  /** The proposal is in the leader's log from `index` on; committed once applied with this term. */
  | {
      readonly kind: 'proposed';
      readonly ticket: Ticket;
      readonly index: number;
      readonly term: number;
    }
  /** Nothing was written for this ticket. */
  | {
      readonly kind: 'refused';
      readonly ticket: Ticket;
      readonly reason: ChangeRefusal;
    }
  /** All writes acknowledged before the read began are in the state that was applied. */
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
  /** The members in force changed. */
  | {readonly kind: 'members'; readonly members: Members};

export type Role = 'leader' | 'follower' | 'candidate' | 'learner';
