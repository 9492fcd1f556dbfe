import type {Instant} from '#model';
import type {ReplicaCore} from './core.js';
import type {Leadership, PendingRead} from './leadership.js';
import {computeQuorumRound, hasLease} from './quorum.js';
import {sendHeartbeat} from './replicate.js';

/**
 * Starts pending reads (ReadIndex) once an entry of this term is committed.
 * Under the lease they finish at once, else after a quorum has replied to a new
 * round. Reads that arrive while a round is pending wait for the next one.
 */
export function beginReads(
  core: ReplicaCore,
  leadership: Leadership,
  now: Instant,
): void {
  if (leadership.reads.length === 0) return;
  if (core.commitIndex < leadership.firstIndex) return;
  if (hasLease(core, leadership, now)) {
    finishReads(core, leadership, () => true);
    return;
  }
  if (leadership.reads.some(read => read.round !== undefined)) return;
  const round = leadership.rounds.begin(now);
  leadership.reads = leadership.reads.map(({ticket}) => ({ticket, round}));
  for (const progress of leadership.progress.values()) {
    sendHeartbeat(core, leadership, progress, now);
  }
}

/** Finishes the reads whose round a quorum has replied to, then starts the others. */
export function confirmReads(
  core: ReplicaCore,
  leadership: Leadership,
  now: Instant,
): void {
  if (leadership.reads.length === 0) return;
  const confirmed = computeQuorumRound(core, leadership);
  finishReads(
    core,
    leadership,
    ({round}) => round !== undefined && round <= confirmed,
  );
  beginReads(core, leadership, now);
}

function finishReads(
  core: ReplicaCore,
  leadership: Leadership,
  isConfirmed: (read: PendingRead) => boolean,
): void {
  const {reads} = leadership;
  leadership.reads = reads.filter(read => !isConfirmed(read));
  for (const {ticket} of reads.filter(isConfirmed)) {
    core.outbox.push({kind: 'readable', ticket, index: core.commitIndex});
  }
}
