import type {Address, Instant} from '#model';
import type {RandomSource} from './random.js';

/** A job that asks to be admitted by a process that may be at the limit of its processor. */
export interface SaturatingJob {
  /** Its longest chain of work, in ms. */
  readonly chainMs: number;
  /** When its answer is of no use any more, or its caller leaves. */
  readonly leavesAt: Instant;
}

/** What another process that takes jobs has told of its load. */
export interface FellowLoad {
  readonly address: Address;
  /** How late its event loop is, in ms. */
  readonly lagMs: number;
  /** Work that waits there for a target, in thousandths of a core times ms. */
  readonly waitingCoreMs: number;
}

export type SaturationVerdict =
  | {readonly kind: 'admit'}
  | {readonly kind: 'refuse'; readonly retryAfterMs: number};

/** Waits for the event loop between a job's arrival and its answer: for its claim, its placing, an end and the answer. */
const turnsPerJob = 4;
/** Below this the loop's lag is the usual one of a busy process, in ms. */
const usualLagMs = 25;
/** A job is handed to a process whose loop is no later than this share of the own one's lag. */
const relayShare = 0.5;
/** What came before it was refused is done within some turns of the loop. */
const turnsToRecover = 10;
const minRetryMs = 200;
const maxRetryMs = 2000;

/**
 * Refuses a job that this process, and not the targets, would answer too late. Load pattern: more
 * jobs than the process has processor time for, with room at every target; each job that is taken makes
 * the loop later for all that are in hand, until none is answered in time.
 */
export function judgeSaturation(
  {chainMs, leavesAt}: SaturatingJob,
  lagMs: number,
  now: Instant,
): SaturationVerdict {
  if (lagMs <= usualLagMs) return {kind: 'admit'};
  const endsAt = now + chainMs + turnsPerJob * lagMs;
  if (endsAt <= leavesAt) return {kind: 'admit'};
  const recoveryMs = Math.ceil(turnsToRecover * lagMs);
  const retryAfterMs = Math.min(maxRetryMs, Math.max(minRetryMs, recoveryMs));
  return {kind: 'refuse', retryAfterMs};
}

/**
 * Chooses to whom a job is handed by a process whose event loop is late; undefined while it keeps up
 * itself, or where nobody is known to be much better off. Load pattern: callers that crowd one of
 * several entries, as one entry serves a whole failure domain. Draws among those that are much less
 * late, so that several do not crowd one.
 */
export function chooseRelay(
  lagMs: number,
  fellows: readonly Pick<FellowLoad, 'address' | 'lagMs'>[],
  random: RandomSource,
): Address | undefined {
  if (lagMs <= usualLagMs) return undefined;
  const better = fellows.filter(fellow => fellow.lagMs <= relayShare * lagMs);
  if (better.length === 0) return undefined;
  return better[random.drawInt(better.length)]!.address;
}
