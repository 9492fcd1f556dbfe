import type {Address, ControlId, EntryInfo, TargetInfo} from '#model';

/** What a control replica that does not lead answers. */
export interface NotLeader {
  readonly kind: 'not-leader';
  /** Where the leader was last seen, if anywhere. */
  readonly leader?: Address;
  /** The request was proposed to the log and may yet be committed. */
  readonly maybeApplied?: boolean;
}

export type ControlReply<Result> =
  {readonly kind: 'done'; readonly value: Result} | NotLeader;

/** A consensus message between replicas; checked by the consensus package. */
export interface ReplicateParams {
  readonly from: string;
  readonly message: unknown;
}

export interface ChangeMembersParams {
  readonly change: 'add-learner' | 'promote' | 'remove';
  readonly member: string;
  readonly address?: Address;
}

export interface MemberStatus {
  readonly member: string;
  readonly address: Address;
  readonly voter: boolean;
  /** The log index that the leader knows to be on its disk. */
  readonly matchIndex: number;
}

export interface ControlStatus {
  readonly member: string;
  readonly role: 'leader' | 'follower' | 'candidate' | 'learner';
  readonly term: number;
  readonly leader?: Address;
  readonly commitIndex: number;
  readonly members: readonly MemberStatus[];
  readonly targets: readonly TargetInfo[];
  readonly entries: readonly EntryInfo[];
  readonly jobs: number;
  readonly configVersion: number;
  /** Every replica that ever had log entries on its disk. None may start again on an empty one. */
  readonly acknowledged: readonly string[];
}

/** A replica on a new disk asks to take the place of whichever was at its address. */
export interface EnrolParams {
  readonly member: ControlId;
  readonly address: Address;
}

export interface EnrolResult {
  /** True once the replica votes; until then it asks again. */
  readonly votes: boolean;
}
