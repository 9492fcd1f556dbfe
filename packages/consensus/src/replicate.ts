import type {Instant} from '#model';
import type {Core} from './core.js';
import type {LogEntry} from './entry.js';
import type {Leadership} from './leadership.js';
import type {Progress} from './progress.js';

/** Sends a member what it lacks, as far as the bounds allow now. */
export function replicateTo(
  core: Core,
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
    if (entries.length === 0 && progress.stream.kind === 'pipeline') return;
    sendEntries(core, leadership, progress, progress.nextIndex, entries, now);
    progress.trackSent(entries);
  }
}

/**
 * Sends a member something in any case. In a stream of entries that is an
 * empty append after the last one sent: it is rejected when one was lost and
 * accepted anew when a reply was.
 */
export function sendHeartbeat(
  core: Core,
  leadership: Leadership,
  progress: Progress,
  now: Instant,
): void {
  const {stream} = progress;
  if (stream.kind === 'install') {
    if (stream.overdue) sendChunk(core, leadership, progress, now);
    else sendEntries(core, leadership, progress, 1, [], now);
    progress.stream = {...stream, overdue: !stream.overdue};
    return;
  }
  if (progress.nextIndex <= core.log.baseIndex) {
    progress.startInstall(core.log.snapshot!);
    sendChunk(core, leadership, progress, now);
    return;
  }
  sendEntries(core, leadership, progress, progress.nextIndex, [], now);
}

/** Sends the snapshot's chunk at the stream's offset. */
export function sendChunk(
  core: Core,
  leadership: Leadership,
  progress: Progress,
  now: Instant,
): void {
  if (progress.stream.kind !== 'install') return;
  const {snapshot, offset} = progress.stream;
  const {data, index, term, members} = snapshot;
  const end = offset + core.options.bounds.snapshotChunkBytes;
  core.outbox.send(progress.id, {
    kind: 'install',
    term: core.term,
    round: leadership.rounds.open(now),
    snapshot: {index, term, members},
    totalBytes: data.byteLength,
    offset,
    data: data.subarray(offset, end),
  });
}

function sendEntries(
  core: Core,
  leadership: Leadership,
  progress: Progress,
  from: number,
  entries: readonly LogEntry[],
  now: Instant,
): void {
  const previousIndex = from - 1;
  // Without entries the previous place may lie before the log: then the start, which all logs share.
  const previousTerm = core.log.getTerm(previousIndex) ?? 0;
  core.outbox.send(progress.id, {
    kind: 'append',
    term: core.term,
    round: leadership.rounds.open(now),
    previousIndex,
    previousTerm,
    commitIndex: core.commitIndex,
    entries,
  });
}
