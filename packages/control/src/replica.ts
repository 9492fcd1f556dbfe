import type {ControlId, Instant} from '#model';
import type {MemberChange, Message, ReplicaStatus} from '#consensus';
import type {Command, CommandResult} from '#membership';
import type {ChangeResult, ProposeResult, ReadResult} from '#storage';

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
