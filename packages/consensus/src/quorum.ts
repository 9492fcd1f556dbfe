import type {ControlId, Instant} from '#model';
import type {Core} from './core.js';
import type {Leadership} from './leadership.js';
import {computeQuorum} from './member.js';
import type {Progress} from './progress.js';

/** Finds the largest value that a quorum of voters has reached. */
function findQuorumValue(
  core: Core,
  leadership: Leadership,
  own: number,
  getValue: (progress: Progress) => number,
): number {
  const getOf = (id: ControlId) => {
    if (id === core.options.id) return own;
    const progress = leadership.progress.get(id);
    return progress ? getValue(progress) : 0;
  };
  const values = core.voters.map(getOf).sort((a, b) => b - a);
  return values[computeQuorum(values.length) - 1] ?? 0;
}

/** Computes the last index that is on a quorum's disks. */
export function computeQuorumMatch(core: Core, leadership: Leadership): number {
  return findQuorumValue(
    core,
    leadership,
    core.durableIndex,
    progress => progress.matchIndex,
  );
}

/** Computes the latest round that a quorum replied to; Infinity where the leader alone is one. */
export function computeQuorumRound(core: Core, leadership: Leadership): number {
  return findQuorumValue(
    core,
    leadership,
    Infinity,
    progress => progress.ackedRound,
  );
}

/** Computes when the leader must step down unless a quorum replies. */
export function computeQuorumDeadline(
  core: Core,
  leadership: Leadership,
): Instant {
  const round = computeQuorumRound(core, leadership);
  if (round === Infinity) return Infinity;
  const heardSince = Math.max(
    leadership.rounds.getStart(round),
    leadership.electedAt,
  );
  return heardSince + core.options.timing.electionTimeoutMs;
}

/**
 * Whether no other replica can be elected yet. A quorum replied to a round,
 * and each of them gives no vote within an election timeout of receiving it,
 * which it did after the round began.
 */
export function hasLease(
  core: Core,
  leadership: Leadership,
  now: Instant,
): boolean {
  if (leadership.leaseEnded) return false;
  const round = computeQuorumRound(core, leadership);
  if (round === Infinity) return true;
  const {electionTimeoutMs, clockMarginMs} = core.options.timing;
  const start = leadership.rounds.getStart(round);
  return now < start + electionTimeoutMs - clockMarginMs;
}
