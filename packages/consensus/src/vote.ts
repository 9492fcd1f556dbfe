import type {ControlId, Instant} from '#model';
import type {Core} from './core.js';
import {lead} from './lead.js';
import {computeQuorum} from './member.js';
import type {TakeOver, VoteReply, VoteRequest} from './message.js';

/** Asks the voters whether an election could be won. Nothing is written for it. */
export function pollVoters(core: Core, now: Instant): void {
  core.role = {
    kind: 'candidate',
    preliminary: true,
    granted: new Set([core.options.id]),
    voteSequence: 0,
  };
  core.deferElection(now);
  requestVotes(core, core.term + 1, {
    preliminary: true,
    transferred: false,
  });
  countVotes(core, now);
}

/** Raises the term and stands for election in it. */
function startElection(core: Core, now: Instant, transferred: boolean): void {
  core.writeHardState({term: core.term + 1, vote: core.options.id});
  core.role = {
    kind: 'candidate',
    preliminary: false,
    granted: new Set(),
    voteSequence: core.outbox.sequence,
  };
  core.deferElection(now);
  requestVotes(core, core.term, {preliminary: false, transferred});
}

function requestVotes(
  core: Core,
  term: number,
  election: Pick<VoteRequest, 'preliminary' | 'transferred'>,
): void {
  const {lastIndex, lastTerm} = core.log;
  for (const voter of core.voters) {
    if (voter === core.options.id) continue;
    core.outbox.sendSynced(voter, {
      kind: 'vote-request',
      term,
      ...election,
      lastIndex,
      lastTerm,
    });
  }
}

/** Counts the replica's own vote once it is on the disk. */
export function countOwnVote(core: Core, now: Instant): void {
  const {role} = core;
  if (role.kind !== 'candidate' || role.preliminary) return;
  if (!core.outbox.isSynced(role.voteSequence)) return;
  grantTo(core, core.options.id, now);
}

/** Stands for election at the leader's wish. */
export function handleTakeOver(
  core: Core,
  from: ControlId,
  message: TakeOver,
  now: Instant,
): void {
  if (message.term !== core.term || core.leader !== from) return;
  if (core.isVoter) startElection(core, now, true);
}

/**
 * Answers a request for a vote. Within an election timeout of hearing from a
 * leader it gives none, not even in a newer term: the leader's lease rests on
 * that, and a replica that comes back from a partition disturbs nobody.
 */
export function handleVoteRequest(
  core: Core,
  from: ControlId,
  request: VoteRequest,
  now: Instant,
): void {
  const {electionTimeoutMs} = core.options.timing;
  const leased =
    !request.transferred &&
    (core.role.kind === 'leader' || now < core.contactAt + electionTimeoutMs);
  if (request.preliminary) {
    const granted =
      request.term > core.term && !leased && isUpToDate(core, request);
    replyVote(core, from, request, granted);
    return;
  }
  if (request.term > core.term) {
    if (leased) return;
    core.follow(request.term, undefined);
  }
  const {vote} = core.hardState;
  const granted =
    request.term === core.term &&
    core.leader === undefined &&
    (vote === undefined || vote === from) &&
    isUpToDate(core, request);
  if (granted) {
    core.follow(core.term, undefined);
    core.writeHardState({term: core.term, vote: from});
    core.deferElection(now);
  }
  replyVote(core, from, request, granted);
}

function replyVote(
  core: Core,
  to: ControlId,
  request: VoteRequest,
  granted: boolean,
): void {
  core.outbox.sendSynced(to, {
    kind: 'vote-reply',
    term: granted ? request.term : core.term,
    preliminary: request.preliminary,
    granted,
  });
}

/** Whether a candidate's log holds all that this one may have helped to commit. */
function isUpToDate(core: Core, request: VoteRequest): boolean {
  const {lastIndex, lastTerm} = core.log;
  if (request.lastTerm !== lastTerm) return request.lastTerm > lastTerm;
  return request.lastIndex >= lastIndex;
}

export function handleVoteReply(
  core: Core,
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
  const askedTerm = role.preliminary ? core.term + 1 : core.term;
  if (reply.term === askedTerm) grantTo(core, from, now);
}

function grantTo(core: Core, voter: ControlId, now: Instant): void {
  if (core.role.kind !== 'candidate') return;
  core.role = {...core.role, granted: new Set([...core.role.granted, voter])};
  countVotes(core, now);
}

function countVotes(core: Core, now: Instant): void {
  const {role, voters} = core;
  if (role.kind !== 'candidate') return;
  const granted = voters.filter(voter => role.granted.has(voter)).length;
  if (granted < computeQuorum(voters.length)) return;
  if (role.preliminary) startElection(core, now, false);
  else lead(core, now);
}
