import {
  type MemberChange,
  type Members,
  planRepair,
  type ReplicaStatus,
} from '#consensus';

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

const repairTimes = {silenceMs: 400, presenceMs: 100, learnerSilenceMs: 2500};

/** Chooses the next change of a group that repairs itself; undefined when there is none. */
export function chooseRepair(
  status: ReplicaStatus,
  running: readonly string[],
  voters: number,
  now: number,
): MemberChange | undefined {
  const outsider = running.find(id =>
    status.members.every(member => member.id !== id),
  );
  if (outsider !== undefined) {
    return {kind: 'add-learner', member: outsider, address: outsider};
  }
  const plan = planRepair(status, {...repairTimes, voters}, now);
  return plan.kind === 'change' ? plan.change : undefined;
}
