import {assertInvariant, type ControlId, type Instant} from '#model';
import type {Core} from './core.js';
import type {Snapshot} from './entry.js';
import type {AppendRequest, InstallRequest} from './message.js';

/**
 * Takes note of a leader's message. Returns false for a leader whose term is
 * over; it is told so.
 */
function acceptLeader(
  core: Core,
  from: ControlId,
  message: AppendRequest | InstallRequest,
  now: Instant,
): boolean {
  if (message.term < core.term) {
    core.outbox.sendSynced(from, {
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
  core.contactAt = now;
  core.deferElection(now);
  return true;
}

/** Takes entries from the leader where they continue the log; the reply waits for the sync. */
export function handleAppend(
  core: Core,
  from: ControlId,
  request: AppendRequest,
  now: Instant,
): void {
  if (!acceptLeader(core, from, request, now)) return;
  const {log} = core;
  const {previousIndex, previousTerm, entries} = request;
  if (previousIndex < log.baseIndex) {
    acceptUpTo(core, from, request, core.commitIndex);
    return;
  }
  if (log.getTerm(previousIndex) !== previousTerm) {
    const hint = log.findLastPlace(previousIndex, previousTerm);
    core.outbox.sendSynced(from, {
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
  if (firstNew >= 0) replaceTail(core, entries.slice(firstNew));
  const matchIndex = previousIndex + entries.length;
  core.commit(Math.min(request.commitIndex, matchIndex));
  acceptUpTo(core, from, request, matchIndex);
}

function replaceTail(core: Core, entries: AppendRequest['entries']): void {
  const {log} = core;
  const from = entries[0].index;
  assertInvariant(
    from > core.commitIndex,
    `entry ${from} of term ${entries[0].term} conflicts with a committed one`,
  );
  if (from <= log.lastIndex) {
    log.truncate(from);
    core.durableIndex = Math.min(core.durableIndex, from - 1);
  }
  log.append(entries);
  core.outbox.writeEntries(entries);
}

function acceptUpTo(
  core: Core,
  to: ControlId,
  request: AppendRequest | InstallRequest,
  matchIndex: number,
): void {
  core.outbox.sendSynced(to, {
    kind: 'append-accepted',
    term: core.term,
    round: request.round,
    matchIndex,
  });
}

/** Collects a snapshot's chunks; the last one replaces the log and the state. */
export function handleInstall(
  core: Core,
  from: ControlId,
  request: InstallRequest,
  now: Instant,
): void {
  if (!acceptLeader(core, from, request, now)) return;
  const {index, term} = request.snapshot;
  if (core.log.getTerm(index) === term) core.commit(index);
  if (index <= core.commitIndex) {
    core.partialSnapshot = undefined;
    acceptUpTo(core, from, request, core.commitIndex);
    return;
  }
  const data = collectChunk(core, request);
  if (data) {
    install(core, {...request.snapshot, data});
    acceptUpTo(core, from, request, index);
    return;
  }
  core.outbox.sendSynced(from, {
    kind: 'install-progress',
    term: core.term,
    round: request.round,
    index,
    offset: core.partialSnapshot!.receivedBytes,
  });
}

/** Adds a chunk; returns the whole once all bytes are there. */
function collectChunk(
  core: Core,
  request: InstallRequest,
): Uint8Array | undefined {
  const {term, snapshot, totalBytes, offset} = request;
  const before = core.partialSnapshot;
  const partial =
    before?.term === term && before.index === snapshot.index
      ? before
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

function install(core: Core, snapshot: Snapshot): void {
  core.partialSnapshot = undefined;
  core.log.reset(snapshot);
  core.commitIndex = snapshot.index;
  core.durableIndex = 0;
  core.outbox.writeSnapshot(snapshot);
  core.outbox.push({kind: 'restore', snapshot});
}
