import type {
  Address,
  ControlId,
  EntryInfo,
  FailureDomain,
  TargetInfo,
} from '#model';

/** The answer of a control replica that is not the leader. */
export interface NotLeader {
  readonly kind: 'not-leader';
  /** The last known address of the leader. */
  readonly leader?: Address;
  /** The request was proposed to the log and may still be committed. */
  readonly maybeApplied?: boolean;
}

export type ControlReply<Result> =
  {readonly kind: 'done'; readonly value: Result} | NotLeader;

/** A consensus message between replicas, validated by the consensus package. */
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
  /** The highest log index that the leader knows to be on the member's disk. */
  readonly matchIndex: number;
  /** Time in ms since the leader last heard from the member; absent in the answers of other replicas. */
  readonly silentMs?: number;
}

export interface ControlStatus {
  readonly member: string;
  readonly role: 'leader' | 'follower' | 'candidate' | 'learner';
  readonly term: number;
  readonly leader?: Address;
  readonly commitIndex: number;
  readonly members: readonly MemberStatus[];
  /** Whether the leader is replacing a member or why it cannot; absent unless it repairs the group. */
  readonly repair?: string;
  /** What found no room on the replica's disk; absent while there is room. */
  readonly diskFailure?: string;
  /**
   * Present while the replica has not caught up with the leader: the state that follows may be old,
   * and it gives it to no process.
   */
  readonly catchingUp?: true;
  readonly targets: readonly TargetInfo[];
  readonly entries: readonly EntryInfo[];
  readonly jobs: number;
  readonly configVersion: number;
  /** Failure domains in which no task may start; unset by builds without evacuations. */
  readonly evacuated?: readonly FailureDomain[];
  /** All replicas that ever had log entries on disk. None of them may start again with an empty disk. */
  readonly acknowledged: readonly string[];
}

/** Asks to add a replica with a new disk in place of the previous one at its address. */
export interface EnrolParams {
  readonly member: ControlId;
  readonly address: Address;
}

export interface EnrolResult {
  /** True once the replica is a voter; until then it repeats the request. */
  readonly votes: boolean;
}
