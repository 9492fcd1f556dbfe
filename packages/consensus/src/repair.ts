import type {Instant} from '#model';
import {computeQuorum, type MemberChange} from './member.js';
import type {MemberProgress, ReplicaStatus} from './replica.js';

/** Times are in ms. */
export interface RepairOptions {
  /** The number of voters that the group is to have; odd. */
  readonly voters: number;
  /** A voter that was not heard from for this long may be replaced. */
  readonly silenceMs: number;
  /** A member that was heard from within this time counts as present. */
  readonly presenceMs: number;
  /** A learner that was not heard from for this long is removed. */
  readonly learnerSilenceMs: number;
}

/** What keeps the group from having its number of present voters. */
export type RepairWait =
  /** The present voters are no quorum, so that no change can be committed. */
  | 'no-quorum'
  /** No learner is present and has caught up. */
  | 'no-learner'
  /** A single learner would make the number of voters even for good. */
  | 'second-learner';

export type RepairPlan =
  | {readonly kind: 'whole'}
  | {readonly kind: 'change'; readonly change: MemberChange}
  | {readonly kind: 'wait'; readonly reason: RepairWait};

/**
 * Plans the leader's next change towards the group's number of voters.
 *
 * A silent voter is removed only while a caught-up learner is present to take
 * its place, and it is removed before the learner is promoted: the voters that
 * remain then need no more of each other than before, while a promotion first
 * would raise the quorum with one voter missing. The number of voters grows by
 * two at a time, so that it is even only between two changes.
 */
export function planRepair(
  {id, progress}: Pick<ReplicaStatus, 'id' | 'progress'>,
  options: RepairOptions,
  now: Instant,
): RepairPlan {
  const isHeardWithin = (member: MemberProgress, ms: number): boolean =>
    member.id === id || now - member.heardAt < ms;
  const voters = progress.filter(({voter}) => voter);
  const learners = progress.filter(({voter}) => !voter);
  const present = voters.filter(each =>
    isHeardWithin(each, options.presenceMs),
  );
  const [silent] = voters
    .filter(each => !isHeardWithin(each, options.silenceMs))
    .sort((one, other) => one.heardAt - other.heardAt);
  const ready = learners.filter(
    each => each.caughtUp && isHeardWithin(each, options.presenceMs),
  );
  if (present.length < computeQuorum(voters.length)) {
    return wait('no-quorum');
  }
  if (voters.length > options.voters) {
    return planReduction(id, voters, silent);
  }
  if (voters.length % 2 === 0) {
    if (ready.length > 0) return change('promote', ready[0]!);
    return silent ? change('remove', silent) : wait('no-learner');
  }
  if (voters.length < options.voters && ready.length > 1) {
    return change('promote', ready[0]!);
  }
  if (silent) {
    return ready.length > 0 ? change('remove', silent) : wait('no-learner');
  }
  const lost = learners.find(
    each => !isHeardWithin(each, options.learnerSilenceMs),
  );
  if (lost) return change('remove', lost);
  if (voters.length === options.voters) return {kind: 'whole'};
  return wait(ready.length > 0 ? 'second-learner' : 'no-learner');
}

/** Removes a silent voter of a group that has too many, or another one to make the number odd. */
function planReduction(
  self: string,
  voters: readonly MemberProgress[],
  silent: MemberProgress | undefined,
): RepairPlan {
  if (silent) return change('remove', silent);
  const others = voters.filter(({id}) => id !== self);
  return voters.length % 2 === 0
    ? change('remove', others.at(-1)!)
    : {kind: 'whole'};
}

function change(
  kind: 'promote' | 'remove',
  {id: member}: MemberProgress,
): RepairPlan {
  return {kind: 'change', change: {kind, member}};
}

function wait(reason: RepairWait): RepairPlan {
  return {kind: 'wait', reason};
}
