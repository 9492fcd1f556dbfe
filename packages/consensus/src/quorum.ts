import type {ControlId, Instant} from '#model';
import type {ReplicaCore} from './core.js';
import type {Leadership} from './leadership.js';
import {computeQuorum} from './member.js';
import type {Progress} from './progress.js';

/** Finds the largest value that a quorum of voters has reached. */
function findQuorumValue(
  core: ReplicaCore,
  leadership: Leadership,
  ownValue: number,
  getValue: (progress: Progress) => number,
): number {
  const getMemberValue = (id: ControlId) => {
    if (id === core.options.id) return ownValue;
    const progress = leadership.progress.get(id);
    return progress ? getValue(progress) : 0;
  };
  const values = core.voters.map(getMemberValue).sort((a, b) => b - a);
  return values[computeQuorum(values.length) - 1] ?? 0;
}

/** Computes the last index that is synced on a quorum of voters. */
export function computeQuorumMatch(
  core: ReplicaCore,
  leadership: Leadership,
): number {
  return findQuorumValue(
    core,
    leadership,
    core.durableIndex,
    progress => progress.matchIndex,
  );
}

/** Computes the latest round that a quorum replied to; Infinity if the leader alone is a quorum. */
export function computeQuorumRound(
  core: ReplicaCore,
  leadership: Leadership,
): number {
  return findQuorumValue(
    core,
    leadership,
    Infinity,
    progress => progress.ackedRound,
  );
}

/** Computes when the leader must step down unless a quorum replies to a later round. */
export function computeQuorumDeadline(
  core: ReplicaCore,
  leadership: Leadership,
): Instant {
  const round = computeQuorumRound(core, leadership);
  if (round === Infinity) return Infinity;
  const lastContactAt = Math.max(
    leadership.rounds.getStartTime(round),
    leadership.electedAt,
  );
  return lastContactAt + core.options.timing.electionTimeoutMs;
}

/** Whether the leader holds its lease: no other replica can be elected yet. */
export function hasLease(
  core: ReplicaCore,
  leadership: Leadership,
  now: Instant,
): boolean {
  return now < computeLeaseDeadline(core, leadership);
}

/**
 * Computes when the leader's lease ends. Each member of the quorum that replied
 * to a round grants no vote for one election timeout after it received the
 * message, which it did after the round started.
 */
export function computeLeaseDeadline(
  core: ReplicaCore,
  leadership: Leadership,
): Instant {
  if (leadership.leaseEnded) return -Infinity;
  const round = computeQuorumRound(core, leadership);
  if (round === Infinity) return Infinity;
  const {electionTimeoutMs, clockMarginMs} = core.options.timing;
  const start = leadership.rounds.getStartTime(round);
  return start + electionTimeoutMs - clockMarginMs;
}
