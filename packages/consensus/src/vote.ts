import type {ControlId, Instant} from '#model';
import type {ReplicaCore} from './core.js';
import {lead} from './lead.js';
import {computeQuorum} from './member.js';
import type {TakeOver, VoteReply, VoteRequest} from './message.js';

/** Starts a pre-vote: asks whether an election could be won, without changing the term. */
export function startPreVote(core: ReplicaCore, now: Instant): void {
  core.role = {
    kind: 'candidate',
    preliminary: true,
    granted: new Set([core.options.id]),
    voteSequence: 0,
  };
  core.resetElectionDeadline(now);
  requestVotes(core, core.term + 1, {
    preliminary: true,
    transferred: false,
  });
  countVotes(core, now);
}

/** Increments the term and becomes candidate in it. */
function startElection(
  core: ReplicaCore,
  now: Instant,
  transferred: boolean,
): void {
  core.writeHardState({term: core.term + 1, vote: core.options.id});
  core.role = {
    kind: 'candidate',
    preliminary: false,
    granted: new Set(),
    voteSequence: core.outbox.sequence,
  };
  core.resetElectionDeadline(now);
  requestVotes(core, core.term, {preliminary: false, transferred});
}

function requestVotes(
  core: ReplicaCore,
  term: number,
  election: Pick<VoteRequest, 'preliminary' | 'transferred'>,
): void {
  const {lastIndex, lastTerm} = core.log;
  for (const voter of core.voters) {
    if (voter === core.options.id) continue;
    core.outbox.sendAfterSync(voter, {
      kind: 'vote-request',
      term,
      ...election,
      lastIndex,
      lastTerm,
    });
  }
}

/** Counts a candidate's vote for itself once it is synced. */
export function countOwnVote(core: ReplicaCore, now: Instant): void {
  const {role} = core;
  if (role.kind !== 'candidate' || role.preliminary) return;
  if (!core.outbox.isSynced(role.voteSequence)) return;
  recordVote(core, core.options.id, now);
}

/** Handles TimeoutNow: a voter starts an election at once if its leader asks for it. */
export function handleTakeOver(
  core: ReplicaCore,
  from: ControlId,
  message: TakeOver,
  now: Instant,
): void {
  if (message.term !== core.term || core.leader !== from) return;
  if (core.isVoter) startElection(core, now, true);
}

/**
 * Handles RequestVote. A leader, and a replica within an election timeout of
 * contact with one, rejects pre-votes and ignores requests for votes, except
 * after a leadership transfer. The leader's lease relies on this, and a replica
 * that returns from a partition can't disrupt the group. Requests in the
 * replica's own term are ignored too: that term may come from another message
 * than the leader's.
 */
export function handleVoteRequest(
  core: ReplicaCore,
  from: ControlId,
  request: VoteRequest,
  now: Instant,
): void {
  const {electionTimeoutMs} = core.options.timing;
  const leaseMayHold =
    !request.transferred &&
    (core.role.kind === 'leader' ||
      now < core.lastContactAt + electionTimeoutMs);
  if (request.preliminary) {
    const granted =
      request.term > core.term && !leaseMayHold && isUpToDate(core, request);
    replyVote(core, from, request, granted);
    return;
  }
  if (request.term >= core.term && leaseMayHold) return;
  if (request.term > core.term) core.follow(request.term, undefined);
  const {vote} = core.hardState;
  const granted =
    request.term === core.term &&
    core.leader === undefined &&
    (vote === undefined || vote === from) &&
    isUpToDate(core, request);
  if (granted) {
    core.follow(core.term, undefined);
    core.writeHardState({term: core.term, vote: from});
    core.resetElectionDeadline(now);
  }
  replyVote(core, from, request, granted);
}

function replyVote(
  core: ReplicaCore,
  to: ControlId,
  request: VoteRequest,
  granted: boolean,
): void {
  core.outbox.sendAfterSync(to, {
    kind: 'vote-reply',
    term: granted ? request.term : core.term,
    preliminary: request.preliminary,
    granted,
  });
}

/** Whether the candidate's log is at least as up to date as this one (Raft §5.4.1). */
function isUpToDate(core: ReplicaCore, request: VoteRequest): boolean {
  const {lastIndex, lastTerm} = core.log;
  if (request.lastTerm !== lastTerm) return request.lastTerm > lastTerm;
  return request.lastIndex >= lastIndex;
}

export function handleVoteReply(
  core: ReplicaCore,
  from: ControlId,
  reply: VoteReply,
  now: Instant,
): void {
  if (!reply.granted) {
    if (reply.term > core.term) core.follow(reply.term, undefined);
    return;
  }
  const {role} = core;
  if (role.kind !== 'candidate' || role.preliminary !== reply.preliminary) {
    return;
  }
  const requestedTerm = role.preliminary ? core.term + 1 : core.term;
  if (reply.term === requestedTerm) recordVote(core, from, now);
}

function recordVote(core: ReplicaCore, voter: ControlId, now: Instant): void {
  if (core.role.kind !== 'candidate') return;
  core.role = {...core.role, granted: new Set([...core.role.granted, voter])};
  countVotes(core, now);
}

function countVotes(core: ReplicaCore, now: Instant): void {
  const {role, voters} = core;
  if (role.kind !== 'candidate') return;
  const granted = voters.filter(voter => role.granted.has(voter)).length;
  if (granted < computeQuorum(voters.length)) return;
  if (role.preliminary) startElection(core, now, false);
  else lead(core, now);
}
