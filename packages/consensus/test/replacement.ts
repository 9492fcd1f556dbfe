import type {MemberChange, Members} from '#consensus';

/** A new replica takes the place of one whose disk was lost, or of a live one. */
export interface Replacement {
  readonly leaving: string;
  readonly joining: string;
  readonly promoteFirst: boolean;
}

/** Chooses an operator's next step; undefined when all are done. */
export function chooseChange(
  {leaving, joining, promoteFirst}: Replacement,
  members: Members,
): MemberChange | undefined {
  const joined = members.find(member => member.id === joining);
  if (!joined) return {kind: 'add-learner', member: joining, address: joining};
  const gone = !members.some(member => member.id === leaving);
  const remove: MemberChange = {kind: 'remove', member: leaving};
  const promote: MemberChange = {kind: 'promote', member: joining};
  if (gone) return joined.voter ? undefined : promote;
  return joined.voter || !promoteFirst ? remove : promote;
}
