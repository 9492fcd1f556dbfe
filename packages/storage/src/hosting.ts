import type {Address, Clock, ControlId} from '#model';
import type {
  ChangeRefusal,
  Members,
  Message,
  ReplicaBounds,
  ReplicaStatus,
  ReplicaTiming,
} from '#consensus';
import type {Disk} from './disk.js';
import type {StoreError} from './error.js';

/** A committed command as the state machine gets it. */
export interface AppliedCommand<Command> {
  readonly index: number;
  readonly term: number;
  readonly command: Command;
}

/** The state that the log's commands build. Each method runs to its end at once. */
export interface StateMachine<Command, Result> {
  /** Applies committed commands in order; returns one result for each, given to its proposer. */
  apply(entries: readonly AppliedCommand<Command>[]): readonly Result[];
  /** Returns the whole state as bytes. */
  takeSnapshot(): Uint8Array;
  /** Replaces the whole state; the index is the last one that it contains. */
  restoreSnapshot(data: Uint8Array, index: number): void;
}

export interface ReplicaHostOptions<Command, Result> {
  /** The data folder; made when absent. */
  readonly folder: string;
  readonly id: ControlId;
  /** The voters of a new group; left out by a replica that joins a running one. Ignored once the folder holds a log. */
  readonly bootstrap?: Members;
  readonly machine: StateMachine<Command, Result>;
  /**
   * Sends a message or drops it; never waits. The address is unset while the
   * log does not name the member: then the answer goes back on the connection
   * that its message came by.
   */
  readonly send: (
    to: ControlId,
    address: Address | undefined,
    message: Message,
  ) => void;
  /** Called after each change of role, term, leader or members. */
  readonly observe?: (status: ReplicaStatus) => void;
  /** Called once when the store has failed: the process must stop. */
  readonly fail?: (error: StoreError) => void;
  readonly clock: Clock;
  /** Seeds the election timeouts. */
  readonly seed: number;
  readonly timing?: ReplicaTiming;
  readonly bounds?: ReplicaBounds;
  /** Entries between two snapshots. */
  readonly snapshotInterval?: number;
  /** Where the folder lies; the machine's file system unless given. */
  readonly disk?: Disk;
}

export interface NotLeader {
  readonly kind: 'not-leader';
  /** Set while a leader is known. */
  readonly leader?: {readonly id: ControlId; readonly address?: Address};
}

export type ProposeResult<Result> =
  | {
      readonly kind: 'committed';
      readonly index: number;
      readonly result: Result;
    }
  /** The command was not written and never takes effect. */
  | NotLeader
  /** Leadership was lost while in flight: it may or may not take effect. */
  | {readonly kind: 'unknown'};

export type ReadResult =
  /** The state now applied holds all writes acknowledged before the call. */
  {readonly kind: 'confirmed'; readonly index: number} | NotLeader;

export type ChangeResult =
  | {readonly kind: 'committed'; readonly index: number}
  | NotLeader
  | {readonly kind: 'unknown'}
  | {
      readonly kind: 'refused';
      readonly reason: Exclude<ChangeRefusal, 'not-leader'>;
    };
