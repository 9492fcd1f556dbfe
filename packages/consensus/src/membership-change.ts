import type {Instant} from '#model';
import type {ReplicaCore} from './core.js';
import {appendEntries, syncProgress} from './lead.js';
import type {Leadership} from './leadership.js';
import {
  applyChange,
  type ChangeRefusal,
  validateChange,
  type MemberChange,
} from './member.js';
import type {Ticket} from './transition.js';

/**
 * Appends a members entry for the change, or refuses it. The new members are in
 * force as soon as the entry is in the log.
 */
export function proposeChange(
  core: ReplicaCore,
  leadership: Leadership,
  ticket: Ticket,
  change: MemberChange,
  now: Instant,
): void {
  const reason = checkChange(core, leadership, change, now);
  if (reason) {
    core.outbox.push({kind: 'refused', ticket, reason});
    return;
  }
  const index = core.log.lastIndex + 1;
  const members = applyChange(core.log.members, change);
  const {term} = core;
  core.outbox.push({kind: 'proposed', ticket, index, term});
  appendEntries(core, leadership, now, [
    {kind: 'members', index, term, members},
  ]);
  syncProgress(core, leadership, now);
}

/**
 * Returns why a change must be refused, or undefined. Changes are made one at a
 * time and only once an entry of this term is committed, which ensures that the
 * quorums before and after each change overlap. A learner is promoted only
 * while it keeps up with the leader.
 */
function checkChange(
  core: ReplicaCore,
  leadership: Leadership,
  change: MemberChange,
  now: Instant,
): ChangeRefusal | undefined {
  if (core.commitIndex < leadership.firstIndex) return 'not-ready';
  if (core.log.membersIndex > core.commitIndex) return 'change-in-progress';
  const refusal = validateChange(core.log.members, change);
  if (refusal || change.kind !== 'promote') return refusal;
  const progress = leadership.progress.get(change.member);
  if (!progress?.caughtUp) return 'not-caught-up';
  const ackedRoundStart = leadership.rounds.getStartTime(progress.ackedRound);
  const inactive =
    ackedRoundStart + core.options.timing.electionTimeoutMs <= now;
  return inactive ? 'not-caught-up' : undefined;
}
