import type {Instant} from '#model';
import type {ReplicaCore} from './core.js';
import type {LogEntry} from './entry.js';
import type {Leadership} from './leadership.js';
import type {Progress} from './progress.js';

/** Sends a member the entries or the snapshot that it lacks, within the in-flight limits. */
export function replicateTo(
  core: ReplicaCore,
  leadership: Leadership,
  progress: Progress,
  now: Instant,
): void {
  const {bounds} = core.options;
  while (progress.canSend(bounds)) {
    if (progress.nextIndex <= core.log.baseIndex) {
      progress.startInstall(core.log.snapshot!);
      sendChunk(core, leadership, progress, now);
      return;
    }
    const entries = core.log.getBatch(progress.nextIndex, bounds.maxBatchBytes);
    if (entries.length === 0 && progress.mode.kind === 'pipeline') return;
    sendEntries(core, leadership, progress, progress.nextIndex, entries, now);
    progress.recordSent(entries);
  }
}

/**
 * Sends a heartbeat. While replicating entries that is an empty append after the
 * last entry sent: the member rejects it if an append was lost, and its reply
 * replaces a lost acknowledgement. During a snapshot transfer an overdue chunk
 * is sent again.
 */
export function sendHeartbeat(
  core: ReplicaCore,
  leadership: Leadership,
  progress: Progress,
  now: Instant,
): void {
  const {mode} = progress;
  if (mode.kind === 'install') {
    if (mode.overdue) sendChunk(core, leadership, progress, now);
    else sendEntries(core, leadership, progress, 1, [], now);
    progress.mode = {...mode, overdue: !mode.overdue};
    return;
  }
  if (progress.nextIndex <= core.log.baseIndex) {
    progress.startInstall(core.log.snapshot!);
    sendChunk(core, leadership, progress, now);
    return;
  }
  sendEntries(core, leadership, progress, progress.nextIndex, [], now);
}

/** Sends the snapshot chunk at the current offset. */
export function sendChunk(
  core: ReplicaCore,
  leadership: Leadership,
  progress: Progress,
  now: Instant,
): void {
  if (progress.mode.kind !== 'install') return;
  const {snapshot, offset} = progress.mode;
  const {data, index, term, members} = snapshot;
  const end = offset + core.options.bounds.snapshotChunkBytes;
  core.outbox.send(progress.id, {
    kind: 'install',
    term: core.term,
    round: leadership.rounds.ensure(now),
    snapshot: {index, term, members},
    totalBytes: data.byteLength,
    offset,
    data: data.subarray(offset, end),
  });
}

function sendEntries(
  core: ReplicaCore,
  leadership: Leadership,
  progress: Progress,
  from: number,
  entries: readonly LogEntry[],
  now: Instant,
): void {
  const previousIndex = from - 1;
  // A heartbeat during a snapshot transfer uses index 0 and term 0, where every log starts.
  const previousTerm = core.log.getTerm(previousIndex) ?? 0;
  core.outbox.send(progress.id, {
    kind: 'append',
    term: core.term,
    round: leadership.rounds.ensure(now),
    previousIndex,
    previousTerm,
    commitIndex: core.commitIndex,
    entries,
  });
}
