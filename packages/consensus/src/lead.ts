import type {ControlId, Instant} from '#model';
import type {ReplicaCore} from './core.js';
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

/** Becomes leader and appends a blank entry, whose commit also commits all entries before it. */
export function lead(core: ReplicaCore, now: Instant): void {
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
  syncProgress(core, leadership, now);
  appendEntries(core, leadership, now, [
    {kind: 'blank', index: leadership.firstIndex, term: core.term},
  ]);
}

/** Appends entries of the leader's term and replicates them. */
export function appendEntries(
  core: ReplicaCore,
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

/** Updates the progress records to one for each other member in force. */
export function syncProgress(
  core: ReplicaCore,
  leadership: Leadership,
  now: Instant,
): void {
  const {progress} = leadership;
  const others = core.log.members
    .map(member => member.id)
    .filter(id => id !== core.options.id);
  for (const id of [...progress.keys()]) {
    if (!others.includes(id)) progress.delete(id);
  }
  for (const id of others) {
    if (progress.has(id)) continue;
    progress.set(id, new Progress(id, core.log.lastIndex + 1, now));
  }
}

/** Sends due heartbeats; steps down if no quorum has replied within an election timeout. */
export function tickLeader(
  core: ReplicaCore,
  leadership: Leadership,
  now: Instant,
): void {
  if (now >= computeQuorumDeadline(core, leadership)) {
    core.follow(core.term, undefined);
    core.resetElectionDeadline(now);
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
  // Until an entry of its term is committed, a leader's commit index may lag behind.
  leadership.commitAtHeartbeat =
    core.commitIndex < leadership.firstIndex ? Infinity : core.commitIndex;
  beginReads(core, leadership, now);
}

/**
 * Commits up to the last index that a quorum has on disk. An entry of an earlier
 * term is not committed by counting replicas, as a later leader could still
 * overwrite it; it is committed indirectly with an entry of this term (Raft §5.4.2).
 * A leader whose removal is committed steps down.
 */
export function advanceCommit(
  core: ReplicaCore,
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

export function handleAppendAccepted(
  core: ReplicaCore,
  leadership: Leadership,
  from: ControlId,
  reply: AppendAccepted,
  now: Instant,
): void {
  const progress = recordReply(core, leadership, from, reply.round, now);
  if (!progress) return;
  progress.advanceMatch(reply.matchIndex);
  resumePipeline(core, progress);
  advanceCommit(core, leadership, now);
  if (core.role.kind !== 'leader') return;
  replicateTo(core, leadership, progress, now);
  finishTransfer(core, leadership);
}

/** Starts to pipeline after a probe has matched or a snapshot is installed. */
function resumePipeline(core: ReplicaCore, progress: Progress): void {
  const {mode, matchIndex} = progress;
  if (mode.kind === 'pipeline') return;
  const installing =
    mode.kind === 'install' &&
    matchIndex < mode.snapshot.index &&
    matchIndex < core.log.baseIndex;
  if (!installing) progress.startPipeline();
}

export function handleAppendRejected(
  core: ReplicaCore,
  leadership: Leadership,
  from: ControlId,
  reply: AppendRejected,
  now: Instant,
): void {
  const progress = recordReply(core, leadership, from, reply.round, now);
  if (!progress) return;
  const {mode, nextIndex, matchIndex} = progress;
  const stale =
    mode.kind === 'install' ||
    reply.previousIndex <= matchIndex ||
    (mode.kind === 'probe' && reply.previousIndex !== nextIndex - 1);
  if (stale) return;
  const lastAgreed = core.log.findLastPosition(reply.hintIndex, reply.hintTerm);
  progress.startProbe(Math.min(lastAgreed.index + 1, reply.previousIndex));
  replicateTo(core, leadership, progress, now);
}

export function handleInstallProgress(
  core: ReplicaCore,
  leadership: Leadership,
  from: ControlId,
  reply: InstallProgress,
  now: Instant,
): void {
  const progress = recordReply(core, leadership, from, reply.round, now);
  if (progress?.mode.kind !== 'install') return;
  const {snapshot, offset} = progress.mode;
  if (reply.index !== snapshot.index || reply.offset === offset) return;
  progress.mode = {...progress.mode, offset: reply.offset, overdue: false};
  sendChunk(core, leadership, progress, now);
}

/**
 * Records a member's reply to a round. Returns its progress, or undefined if
 * the sender is not a member or the round was never begun.
 */
function recordReply(
  core: ReplicaCore,
  leadership: Leadership,
  from: ControlId,
  round: number,
  now: Instant,
): Progress | undefined {
  const progress = leadership.progress.get(from);
  if (!progress || round > leadership.rounds.latest) return undefined;
  if (round <= progress.ackedRound) return progress;
  progress.ackedRound = round;
  progress.heardAt = now;
  confirmReads(core, leadership, now);
  return progress;
}
