import type {Address, ControlId} from '#model';
import type {MemberChange, Members} from '#consensus';

/**
 * Plans the next membership change that a replica needs to become a voter; undefined once it is one.
 * A member at the same address, whose disk the replica replaces, is removed first, so that no
 * quorum depends on a lost disk.
 */
export function planEnrolment(
  members: Members,
  member: ControlId,
  address: Address,
): MemberChange | undefined {
  const predecessor = members.find(
    each => each.address === address && each.id !== member,
  );
  if (predecessor !== undefined) {
    return {kind: 'remove', member: predecessor.id};
  }
  const own = members.find(({id}) => id === member);
  if (own === undefined) return {kind: 'add-learner', member, address};
  return own.voter ? undefined : {kind: 'promote', member};
}
