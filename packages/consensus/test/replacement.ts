import type {MemberChange, Members} from '#consensus';

/** The replacement of a replica, live or with a lost disk, by a new one. */
export interface Replacement {
  readonly leaving: string;
  readonly joining: string;
  readonly promoteFirst: boolean;
}

/** Chooses the operator's next membership change; undefined once the replacement is complete. */
export function chooseChange(
  {leaving, joining, promoteFirst}: Replacement,
  members: Members,
): MemberChange | undefined {
  const joined = members.find(member => member.id === joining);
  if (!joined) return {kind: 'add-learner', member: joining, address: joining};
  const hasLeft = !members.some(member => member.id === leaving);
  const remove: MemberChange = {kind: 'remove', member: leaving};
  const promote: MemberChange = {kind: 'promote', member: joining};
  if (hasLeft) return joined.voter ? undefined : promote;
  return joined.voter || !promoteFirst ? remove : promote;
}
