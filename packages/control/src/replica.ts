import type {ControlId, Instant} from '#model';
import type {MemberChange, Message, ReplicaStatus} from '#consensus';
import type {Command, CommandResult} from '#membership';
import type {ChangeResult, ProposeResult, ReadResult} from '#storage';

/** The replica as the control role uses it: `ReplicaHost`, or one in memory. */
export interface Replica extends AsyncDisposable {
  propose(command: Command): Promise<ProposeResult<CommandResult>>;
  confirmRead(): Promise<ReadResult>;
  receive(from: ControlId, message: Message): void;
  changeMembers(change: MemberChange): Promise<ChangeResult>;
  /** Resolves with true once another replica is known to lead, with false by the deadline. */
  transferLeadership(deadline: Instant): Promise<boolean>;
  describeStatus(): ReplicaStatus;
}
