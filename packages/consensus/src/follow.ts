import {assertInvariant, type ControlId, type Instant} from '#model';
import type {ReplicaCore} from './core.js';
import type {Snapshot} from './entry.js';
import type {AppendRequest, InstallRequest} from './message.js';

/**
 * Adopts the term and the leader of a message and resets the election deadline.
 * Returns false if the message's term is stale, after sending a rejection.
 */
function acceptLeader(
  core: ReplicaCore,
  from: ControlId,
  message: AppendRequest | InstallRequest,
  now: Instant,
): boolean {
  if (message.term < core.term) {
    core.outbox.sendAfterSync(from, {
      kind: 'append-rejected',
      term: core.term,
      round: message.round,
      previousIndex: 0,
      hintIndex: 0,
      hintTerm: 0,
    });
    return false;
  }
  assertInvariant(
    core.role.kind !== 'leader' || message.term > core.term,
    `term ${message.term} has two leaders, ${core.options.id} and ${from}`,
  );
  if (message.term > core.term || core.leader !== from) {
    core.follow(message.term, from);
  }
  core.lastContactAt = now;
  core.resetElectionDeadline(now);
  return true;
}

/**
 * Handles AppendEntries: appends the entries if the previous one matches, and
 * replies after the sync. A message without entries is answered at once, for
 * what is synced.
 */
export function handleAppend(
  core: ReplicaCore,
  from: ControlId,
  request: AppendRequest,
  now: Instant,
): void {
  if (!acceptLeader(core, from, request, now)) return;
  core.leaderCommitIndex = Math.max(
    core.leaderCommitIndex ?? 0,
    request.commitIndex,
  );
  const {log} = core;
  const {previousIndex, previousTerm, entries} = request;
  if (previousIndex < log.baseIndex) {
    replyAccepted(core, from, request, core.commitIndex);
    return;
  }
  if (log.getTerm(previousIndex) !== previousTerm) {
    const hint = log.findLastPosition(previousIndex, previousTerm);
    core.outbox.sendAfterSync(from, {
      kind: 'append-rejected',
      term: core.term,
      round: request.round,
      previousIndex,
      hintIndex: hint.index,
      hintTerm: hint.term,
    });
    return;
  }
  const firstNew = entries.findIndex(
    entry => log.getTerm(entry.index) !== entry.term,
  );
  if (firstNew >= 0) replaceSuffix(core, entries.slice(firstNew));
  const matchIndex = previousIndex + entries.length;
  core.commit(Math.min(request.commitIndex, matchIndex));
  if (entries.length > 0 || !core.outbox.isHardStateSynced) {
    replyAccepted(core, from, request, matchIndex);
    return;
  }
  // A heartbeat does not wait for the entries before it: without an answer within an election timeout
  // the leader steps down, and a group whose disks are slow has none for long.
  core.outbox.send(from, {
    kind: 'append-accepted',
    term: core.term,
    round: request.round,
    matchIndex: Math.min(matchIndex, core.durableIndex),
  });
}

/** Truncates the log at the first new entry if it conflicts, then appends the entries. */
function replaceSuffix(
  core: ReplicaCore,
  entries: AppendRequest['entries'],
): void {
  const {log} = core;
  const from = entries[0].index;
  assertInvariant(
    from > core.commitIndex,
    `entry ${from} of term ${entries[0].term} conflicts with a committed entry`,
  );
  if (from <= log.lastIndex) {
    log.truncate(from);
    core.durableIndex = Math.min(core.durableIndex, from - 1);
  }
  log.append(entries);
  core.outbox.writeEntries(entries);
}

function replyAccepted(
  core: ReplicaCore,
  to: ControlId,
  request: AppendRequest | InstallRequest,
  matchIndex: number,
): void {
  core.outbox.sendAfterSync(to, {
    kind: 'append-accepted',
    term: core.term,
    round: request.round,
    matchIndex,
  });
}

/**
 * Handles InstallSnapshot: collects chunks. Once complete, the snapshot replaces
 * the log and the state.
 */
export function handleInstall(
  core: ReplicaCore,
  from: ControlId,
  request: InstallRequest,
  now: Instant,
): void {
  if (!acceptLeader(core, from, request, now)) return;
  const {index, term} = request.snapshot;
  if (core.log.getTerm(index) === term) core.commit(index);
  if (index <= core.commitIndex) {
    core.partialSnapshot = undefined;
    replyAccepted(core, from, request, core.commitIndex);
    return;
  }
  const data = collectChunk(core, request);
  if (data) {
    installSnapshot(core, {...request.snapshot, data});
    replyAccepted(core, from, request, index);
    return;
  }
  core.outbox.sendAfterSync(from, {
    kind: 'install-progress',
    term: core.term,
    round: request.round,
    index,
    offset: core.partialSnapshot!.receivedBytes,
  });
}

/** Adds the next chunk to the partial snapshot; returns the snapshot's bytes once complete. */
function collectChunk(
  core: ReplicaCore,
  request: InstallRequest,
): Uint8Array | undefined {
  const {term, snapshot, totalBytes, offset} = request;
  const previous = core.partialSnapshot;
  const partial =
    previous?.term === term && previous.index === snapshot.index
      ? previous
      : {
          term,
          index: snapshot.index,
          data: new Uint8Array(totalBytes),
          receivedBytes: 0,
        };
  core.partialSnapshot = partial;
  if (offset !== partial.receivedBytes) return undefined;
  partial.data.set(request.data, offset);
  const receivedBytes = offset + request.data.byteLength;
  core.partialSnapshot = {...partial, receivedBytes};
  return receivedBytes === totalBytes ? partial.data : undefined;
}

function installSnapshot(core: ReplicaCore, snapshot: Snapshot): void {
  core.partialSnapshot = undefined;
  core.log.reset(snapshot);
  core.commitIndex = snapshot.index;
  core.durableIndex = 0;
  core.outbox.writeSnapshot(snapshot);
  core.outbox.push({kind: 'restore', snapshot});
}
