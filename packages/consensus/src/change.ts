import type {Instant} from '#model';
import type {Core} from './core.js';
import {appendEntries, followMembers} from './lead.js';
import type {Leadership} from './leadership.js';
import {
  applyChange,
  type ChangeRefusal,
  judgeChange,
  type MemberChange,
} from './member.js';
import type {Ticket} from './transition.js';

/** Appends the entry of a change, or refuses it. The change is in force at once. */
export function beginChange(
  core: Core,
  leadership: Leadership,
  ticket: Ticket,
  change: MemberChange,
  now: Instant,
): void {
  const reason = refuseChange(core, leadership, change, now);
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
  followMembers(core, leadership);
}

/**
 * Judges a change. One at a time, and none before an entry of this term is
 * committed: only then do the quorums of any two members entries in flight
 * overlap. A learner is promoted only while it keeps up.
 */
function refuseChange(
  core: Core,
  leadership: Leadership,
  change: MemberChange,
  now: Instant,
): ChangeRefusal | undefined {
  if (core.commitIndex < leadership.firstIndex) return 'not-ready';
  if (core.log.membersIndex > core.commitIndex) return 'change-in-progress';
  const refusal = judgeChange(core.log.members, change);
  if (refusal || change.kind !== 'promote') return refusal;
  const progress = leadership.progress.get(change.member);
  if (!progress?.caughtUp) return 'not-caught-up';
  const heardSince = leadership.rounds.getStart(progress.ackedRound);
  const silent = heardSince + core.options.timing.electionTimeoutMs <= now;
  return silent ? 'not-caught-up' : undefined;
}
