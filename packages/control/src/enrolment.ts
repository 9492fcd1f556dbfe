import type {Address, ControlId} from '#model';
import type {MemberChange, Members} from '#consensus';

/**
 * Plans the next change that makes a replica a voter: the one whose disk it replaces, at the same
 * address, is removed first, so that no quorum counts on a disk that is gone. Undefined when it votes.
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
