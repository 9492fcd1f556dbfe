import type {Address, ControlId} from '#model';

/** One replica of the group. A learner receives the log and counts in no quorum. */
export interface Member {
  readonly id: ControlId;
  readonly address: Address;
  readonly voter: boolean;
}

/** The replicas of a group, by rising id. */
export type Members = readonly Member[];

/** A change of one member. Quorums before and after it always overlap. */
export type MemberChange =
  | {
      readonly kind: 'add-learner';
      readonly member: ControlId;
      readonly address: Address;
    }
  | {readonly kind: 'promote'; readonly member: ControlId}
  | {readonly kind: 'remove'; readonly member: ControlId};

/** Why a change was not begun. Nothing was written. */
export type ChangeRefusal =
  | 'not-leader'
  | 'not-ready'
  | 'change-in-progress'
  | 'not-caught-up'
  | 'already-member'
  | 'unknown-member'
  | 'last-voter';

/** Makes the members of a new group: all of them voters. */
export function createMembers(
  voters: readonly {readonly id: ControlId; readonly address: Address}[],
): Members {
  return sortMembers(
    voters.map(({id, address}) => ({id, address, voter: true})),
  );
}

/** Finds the voters' ids. */
export function listVoters(members: Members): readonly ControlId[] {
  return members.filter(member => member.voter).map(member => member.id);
}

/** Computes how many of so many voters are a quorum. */
export function computeQuorum(voters: number): number {
  return Math.floor(voters / 2) + 1;
}

/** Checks that a change makes sense for these members; returns why not, or nothing. */
export function judgeChange(
  members: Members,
  change: MemberChange,
): ChangeRefusal | undefined {
  const present = members.find(member => member.id === change.member);
  if (change.kind === 'add-learner') {
    return present ? 'already-member' : undefined;
  }
  if (!present) return 'unknown-member';
  if (change.kind === 'promote') {
    return present.voter ? 'already-member' : undefined;
  }
  return present.voter && listVoters(members).length === 1
    ? 'last-voter'
    : undefined;
}

/** Applies a change that `judgeChange` allows. */
export function applyChange(members: Members, change: MemberChange): Members {
  const others = members.filter(member => member.id !== change.member);
  if (change.kind === 'remove') return others;
  const before = members.find(member => member.id === change.member);
  const changed: Member =
    change.kind === 'add-learner'
      ? {id: change.member, address: change.address, voter: false}
      : {...before!, voter: true};
  return sortMembers([...others, changed]);
}

function sortMembers(members: Members): Members {
  return [...members].sort((a, b) => (a.id < b.id ? -1 : 1));
}
