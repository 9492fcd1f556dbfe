import type {Address, ControlId} from '#model';

/**
 * One replica of the group. A learner, `voter: false`, receives the log but
 * doesn't count towards quorums.
 */
export interface Member {
  readonly id: ControlId;
  readonly address: Address;
  readonly voter: boolean;
}

/** The replicas of a group, sorted by id. */
export type Members = readonly Member[];

/** A single-server membership change. The quorums before and after it overlap. */
export type MemberChange =
  | {
      readonly kind: 'add-learner';
      readonly member: ControlId;
      readonly address: Address;
    }
  | {readonly kind: 'promote'; readonly member: ControlId}
  | {readonly kind: 'remove'; readonly member: ControlId};

/** Why a request was refused. Nothing was written to the log. */
export type ChangeRefusal =
  | 'not-leader'
  | 'not-ready'
  | 'change-in-progress'
  | 'not-caught-up'
  | 'already-member'
  | 'unknown-member'
  | 'last-voter';

/** Creates the members of a new group, all voters. */
export function createMembers(
  voters: readonly {readonly id: ControlId; readonly address: Address}[],
): Members {
  return sortMembers(
    voters.map(({id, address}) => ({id, address, voter: true})),
  );
}

export function listVoters(members: Members): readonly ControlId[] {
  return members.filter(member => member.voter).map(member => member.id);
}

/** Computes the majority of a number of voters. */
export function computeQuorum(voters: number): number {
  return Math.floor(voters / 2) + 1;
}

/** Checks a change against these members; returns why it is refused, or undefined. */
export function validateChange(
  members: Members,
  change: MemberChange,
): ChangeRefusal | undefined {
  const existing = members.find(member => member.id === change.member);
  if (change.kind === 'add-learner') {
    return existing ? 'already-member' : undefined;
  }
  if (!existing) return 'unknown-member';
  if (change.kind === 'promote') {
    return existing.voter ? 'already-member' : undefined;
  }
  return existing.voter && listVoters(members).length === 1
    ? 'last-voter'
    : undefined;
}

/** Applies a change that `validateChange` accepts. */
export function applyChange(members: Members, change: MemberChange): Members {
  const others = members.filter(member => member.id !== change.member);
  if (change.kind === 'remove') return others;
  const existing = members.find(member => member.id === change.member);
  const changed: Member =
    change.kind === 'add-learner'
      ? {id: change.member, address: change.address, voter: false}
      : {...existing!, voter: true};
  return sortMembers([...others, changed]);
}

function sortMembers(members: Members): Members {
  return [...members].sort((a, b) => (a.id < b.id ? -1 : 1));
}
