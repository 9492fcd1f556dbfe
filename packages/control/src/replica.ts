import type {Either} from 'purify-ts';
import type {Address, ControlId, Instant} from '#model';
import type {ControlStatus} from '#protocol';
import type {MemberChange, Message, ReplicaStatus} from '#consensus';
import type {Command, CommandResult} from '#membership';
import type {ChangeResult, ProposeResult, ReadResult} from '#storage';
import type {ControlMachine} from './state-machine.js';

/** The replica interface that the control role uses: a `ReplicaHost`, or an in-memory replica. */
export interface Replica extends AsyncDisposable {
  propose(command: Command): Promise<ProposeResult<CommandResult>>;
  confirmRead(): Promise<ReadResult>;
  receive(from: ControlId, message: Message): void;
  changeMembers(change: MemberChange): Promise<ChangeResult>;
  /**
   * Resolves with true once another replica is known to lead, or at once when this one does not lead;
   * with false at the deadline, or at once when there is no other voter.
   */
  transferLeadership(deadline: Instant): Promise<boolean>;
  describeStatus(): ReplicaStatus;
}

/** What a replica gets from the process that hosts it. */
export interface ReplicaEnvironment {
  readonly id: ControlId;
  readonly address: Address;
  readonly machine: ControlMachine;
  /** Sends a message to another replica, or drops it while there is no connection. */
  readonly send: (
    to: ControlId,
    address: Address | undefined,
    message: Message,
  ) => void;
  /** Requests another replica's status; undefined when it does not answer in time. */
  readonly askStatus: (address: Address) => Promise<ControlStatus | undefined>;
  /** Called after each change of role, term, leader or members. */
  readonly observe?: (status: ReplicaStatus) => void;
  /** Called once, when a write or a sync has failed; the replica does nothing from then on. */
  readonly fail: (failure: ReplicaFailure) => void;
}

/** Why a replica cannot start or go on. */
export interface ReplicaFailure {
  /** `disk-full`: a later start may succeed, once the disk has room. */
  readonly kind: 'disk-full' | 'final';
  readonly detail: string;
}

export type StartReplica = (
  environment: ReplicaEnvironment,
) => Promise<Either<ReplicaFailure, Replica>>;
