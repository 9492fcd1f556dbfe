import type {ControlId, Instant} from '#model';
import type {Core} from './core.js';
import type {LogEntry} from './entry.js';
import type {Leadership} from './leadership.js';
import type {
  AppendAccepted,
  AppendRejected,
  InstallProgress,
} from './message.js';
import {Progress} from './progress.js';
import {computeQuorumDeadline, computeQuorumMatch} from './quorum.js';
import {beginReads, confirmReads} from './read.js';
import {replicateTo, sendChunk, sendHeartbeat} from './replicate.js';
import {Rounds} from './round.js';
import {finishTransfer} from './transfer.js';

/** Begins to lead: appends the blank entry that commits all before it. */
export function lead(core: Core, now: Instant): void {
  const {timing} = core.options;
  const leadership: Leadership = {
    firstIndex: core.log.lastIndex + 1,
    electedAt: now,
    rounds: new Rounds(2 * timing.electionTimeoutMs),
    progress: new Map(),
    transfer: undefined,
    leaseEnded: false,
    reads: [],
    heartbeatDueAt: now + timing.heartbeatIntervalMs,
    commitAtHeartbeat: Infinity,
  };
  core.role = {kind: 'leader', leadership};
  followMembers(core, leadership);
  appendEntries(core, leadership, now, [
    {kind: 'blank', index: leadership.firstIndex, term: core.term},
  ]);
}

/** Appends entries of the leader's term and sends them on. */
export function appendEntries(
  core: Core,
  leadership: Leadership,
  now: Instant,
  entries: readonly LogEntry[],
): void {
  core.log.append(entries);
  core.outbox.writeEntries(entries);
  for (const progress of leadership.progress.values()) {
    replicateTo(core, leadership, progress, now);
  }
}

/** Follows the members in force: one progress for each other member. */
export function followMembers(core: Core, leadership: Leadership): void {
  const {progress} = leadership;
  const others = core.log.members
    .map(member => member.id)
    .filter(id => id !== core.options.id);
  for (const id of [...progress.keys()]) {
    if (!others.includes(id)) progress.delete(id);
  }
  for (const id of others) {
    if (progress.has(id)) continue;
    progress.set(id, new Progress(id, core.log.lastIndex + 1));
  }
}

/** Sends what is due at this instant; a leader without a quorum steps down. */
export function tickLeader(
  core: Core,
  leadership: Leadership,
  now: Instant,
): void {
  if (now >= computeQuorumDeadline(core, leadership)) {
    core.follow(core.term, undefined);
    core.deferElection(now);
    return;
  }
  if (leadership.transfer && now >= leadership.transfer.deadline) {
    leadership.transfer = undefined;
  }
  if (now < leadership.heartbeatDueAt) return;
  const {heartbeatIntervalMs} = core.options.timing;
  leadership.heartbeatDueAt = now + heartbeatIntervalMs;
  for (const progress of leadership.progress.values()) {
    progress.caughtUp = progress.matchIndex >= leadership.commitAtHeartbeat;
    sendHeartbeat(core, leadership, progress, now);
  }
  // Before its term's first commit a leader may not know all that is committed.
  leadership.commitAtHeartbeat =
    core.commitIndex < leadership.firstIndex ? Infinity : core.commitIndex;
  beginReads(core, leadership, now);
}

/**
 * Commits what a quorum has on its disks. An entry of an earlier term is never
 * committed by counting: a later leader could still replace it. It is committed
 * by an entry of this term after it.
 */
export function advanceCommit(
  core: Core,
  leadership: Leadership,
  now: Instant,
): void {
  const index = computeQuorumMatch(core, leadership);
  if (index <= core.commitIndex) return;
  if (core.log.getTerm(index) !== core.term) return;
  core.commit(index);
  const removed = !core.isVoter && core.log.membersIndex <= core.commitIndex;
  if (!removed) {
    beginReads(core, leadership, now);
    return;
  }
  for (const progress of leadership.progress.values()) {
    sendHeartbeat(core, leadership, progress, now);
  }
  core.follow(core.term, undefined);
}

export function handleAccepted(
  core: Core,
  leadership: Leadership,
  from: ControlId,
  reply: AppendAccepted,
  now: Instant,
): void {
  const progress = trackReply(core, leadership, from, reply.round, now);
  if (!progress) return;
  progress.acceptMatch(reply.matchIndex);
  resumeStream(core, progress);
  advanceCommit(core, leadership, now);
  if (core.role.kind !== 'leader') return;
  replicateTo(core, leadership, progress, now);
  finishTransfer(core, leadership);
}

function resumeStream(core: Core, progress: Progress): void {
  const {stream, matchIndex} = progress;
  if (stream.kind === 'pipeline') return;
  const installing =
    stream.kind === 'install' &&
    matchIndex < stream.snapshot.index &&
    matchIndex < core.log.baseIndex;
  if (!installing) progress.startPipeline();
}

export function handleRejected(
  core: Core,
  leadership: Leadership,
  from: ControlId,
  reply: AppendRejected,
  now: Instant,
): void {
  const progress = trackReply(core, leadership, from, reply.round, now);
  if (!progress) return;
  const {stream, nextIndex, matchIndex} = progress;
  const stale =
    stream.kind === 'install' ||
    reply.previousIndex <= matchIndex ||
    (stream.kind === 'probe' && reply.previousIndex !== nextIndex - 1);
  if (stale) return;
  const agreed = core.log.findLastPlace(reply.hintIndex, reply.hintTerm);
  progress.startProbe(Math.min(agreed.index + 1, reply.previousIndex));
  replicateTo(core, leadership, progress, now);
}

export function handleInstallProgress(
  core: Core,
  leadership: Leadership,
  from: ControlId,
  reply: InstallProgress,
  now: Instant,
): void {
  const progress = trackReply(core, leadership, from, reply.round, now);
  if (progress?.stream.kind !== 'install') return;
  const {snapshot, offset} = progress.stream;
  if (reply.index !== snapshot.index || reply.offset === offset) return;
  progress.stream = {...progress.stream, offset: reply.offset, overdue: false};
  sendChunk(core, leadership, progress, now);
}

/** Takes note that a member replied to a round. Returns its progress. */
function trackReply(
  core: Core,
  leadership: Leadership,
  from: ControlId,
  round: number,
  now: Instant,
): Progress | undefined {
  const progress = leadership.progress.get(from);
  if (!progress || round > leadership.rounds.latest) return undefined;
  if (round <= progress.ackedRound) return progress;
  progress.ackedRound = round;
  confirmReads(core, leadership, now);
  return progress;
}
