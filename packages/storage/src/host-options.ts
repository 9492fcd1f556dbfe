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

/** A committed command as passed to the state machine. */
export interface AppliedCommand<Command> {
  readonly index: number;
  readonly term: number;
  readonly command: Command;
}

/** The replicated state, built from the commands of the log. All methods are synchronous. */
export interface StateMachine<Command, Result> {
  /** Applies committed commands in order; returns one result each, which goes to its proposer. */
  apply(entries: readonly AppliedCommand<Command>[]): readonly Result[];
  /** Serializes the whole state. */
  takeSnapshot(): Uint8Array;
  /** Replaces the whole state; `index` is the last log index that the snapshot includes. */
  restoreSnapshot(data: Uint8Array, index: number): void;
}

export interface ReplicaHostOptions<Command, Result> {
  /** The data folder; created when absent. */
  readonly folder: string;
  readonly id: ControlId;
  /** The voters of a new group; omitted by a replica that joins a running one. Ignored once the folder holds a log. */
  readonly bootstrap?: Members;
  readonly machine: StateMachine<Command, Result>;
  /**
   * Sends a message or drops it; never blocks. The address is undefined while the
   * log does not list the member; the message then goes out on the connection that
   * the member's own message arrived on.
   */
  readonly send: (
    to: ControlId,
    address: Address | undefined,
    message: Message,
  ) => void;
  /** Called after each change of role, term, leader or members. */
  readonly observe?: (status: ReplicaStatus) => void;
  /** Called once when the store has failed; the process must then stop. */
  readonly fail?: (error: StoreError) => void;
  readonly clock: Clock;
  /** Seeds the election timeouts. */
  readonly seed: number;
  readonly timing?: ReplicaTiming;
  readonly bounds?: ReplicaBounds;
  /** Number of applied entries between two snapshots. */
  readonly snapshotInterval?: number;
  /** Bytes of applied commands between two snapshots, or those of the last snapshot if it has more. */
  readonly snapshotIntervalBytes?: number;
  /** The file system that holds the folder; `nodeDisk` by default. */
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
  /** Leadership was lost while the command was in flight: it may or may not take effect. */
  | {readonly kind: 'unknown'};

export type ReadResult =
  /** The applied state includes all writes acknowledged before the call. */
  {readonly kind: 'confirmed'; readonly index: number} | NotLeader;

export type ChangeResult =
  | {readonly kind: 'committed'; readonly index: number}
  | NotLeader
  | {readonly kind: 'unknown'}
  | {
      readonly kind: 'refused';
      readonly reason: Exclude<ChangeRefusal, 'not-leader'>;
    };
