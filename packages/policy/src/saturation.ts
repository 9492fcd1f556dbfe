import type {Address, Instant} from '#model';
import type {RandomSource} from './random.js';

/** Times of a job that decide whether a busy process can answer it in time. */
export interface JobTiming {
  /** Estimated run time of its critical path, in ms. */
  readonly chainMs: number;
  /** When its answer becomes useless or its caller stops waiting. */
  readonly answerDeadline: Instant;
}

/** Load reported by another dispatcher. */
export interface DispatcherLoad {
  readonly address: Address;
  /** Its event loop lag, in ms. */
  readonly lagMs: number;
  /** Work that waits there for targets, in thousandths of a core times ms. */
  readonly waitingCoreMs: number;
}

export type SaturationDecision =
  | {readonly kind: 'admit'}
  | {readonly kind: 'refuse'; readonly retryAfterMs: number};

/** Event loop turns between a job's arrival and its answer: claim, placement, end of a run, answer. */
const loopTurnsPerJob = 4;
/** Event loop lag up to this is normal for a busy process. */
const maxNormalLagMs = 25;
/** A job is relayed only to a dispatcher whose lag is at most this fraction of this process's lag. */
const maxRelayLagRatio = 0.5;
/** Event loop turns within which the work accepted before a refusal is expected to end. */
const loopTurnsToRecover = 10;
const minRetryAfterMs = 200;
const maxRetryAfterMs = 2000;

/**
 * Refuses a job that this process would answer too late because of its own event loop lag. When more
 * jobs arrive than this process has CPU time for, even if all targets have free capacity, each further
 * job increases the lag for all active jobs, until none is answered in time.
 */
export function checkSaturation(
  {chainMs, answerDeadline}: JobTiming,
  lagMs: number,
  now: Instant,
): SaturationDecision {
  if (lagMs <= maxNormalLagMs) return {kind: 'admit'};
  const endsAt = now + chainMs + loopTurnsPerJob * lagMs;
  if (endsAt <= answerDeadline) return {kind: 'admit'};
  const recoveryMs = Math.ceil(loopTurnsToRecover * lagMs);
  const retryAfterMs = Math.min(
    maxRetryAfterMs,
    Math.max(minRetryAfterMs, recoveryMs),
  );
  return {kind: 'refuse', retryAfterMs};
}

/**
 * Chooses the dispatcher to which a process with event loop lag relays a job; undefined while the lag
 * is normal or no dispatcher is known to have much less. Callers may be concentrated on one of several
 * entries, as one entry serves a whole failure domain. The choice among dispatchers with much less lag
 * is random, so that several processes do not overload the same one.
 */
export function chooseRelay(
  lagMs: number,
  dispatchers: readonly Pick<DispatcherLoad, 'address' | 'lagMs'>[],
  random: RandomSource,
): Address | undefined {
  if (lagMs <= maxNormalLagMs) return undefined;
  const candidates = dispatchers.filter(
    dispatcher => dispatcher.lagMs <= maxRelayLagRatio * lagMs,
  );
  if (candidates.length === 0) return undefined;
  return candidates[random.drawInt(candidates.length)]!.address;
}
