import type {Instant} from '#model';
import type {RunCapacity} from './capacity.js';

/** How a target's runs progress. Slowness is run time divided by callers' estimates. */
export interface ObservedSpeed {
  readonly slowness: number;
  readonly baselineSlowness: number;
  /** Number of measurements of the slowness so far, each over about a second of run time. */
  readonly samples: number;
}

/** The return of load to a target whose failure domain was taken back into service. Immutable. */
export interface LoadReturn {
  /** Share of its room that the target offers, from 0 to 1. */
  readonly share: number;
  readonly beganAt: Instant;
  /** The slowness before the target was empty. */
  readonly usualSlowness: number;
  /** Measurements that were taken into account. */
  readonly samples: number;
}

const initialShare = 0.25;
/** A target that is slower than usual by more than this is not offered more. */
const maxSlowdown = 2;
/** A target that isn't known to be slow offers all its room after this long, in ms, even if nothing was measured. */
const unmeasuredReturnMs = 4000;
/** After this long, in ms, dispatchers weigh a slow target by its slowness. */
const maxReturnMs = 12_000;

/** Begins to return load to a target. */
export function beginLoadReturn(
  {baselineSlowness, samples}: ObservedSpeed,
  now: Instant,
): LoadReturn {
  const usualSlowness = baselineSlowness;
  return {share: initialShare, beganAt: now, usualSlowness, samples};
}

/**
 * Raises the share of its room that a target offers; undefined once it offers all of it.
 *
 * Load pattern: a failure domain with a third of a busy pool is taken back, and its executors have become
 * cold. If they were filled at once, all tasks of the first second would run several times longer than
 * estimated. The share is doubled each time that a further measurement shows that the target carries what
 * it was given. While it is slow, the share remains. The time to the full share is bounded.
 */
export function advanceLoadReturn(
  state: LoadReturn,
  {slowness, samples}: ObservedSpeed,
  now: Instant,
): LoadReturn | undefined {
  const elapsedMs = now - state.beganAt;
  if (elapsedMs >= maxReturnMs) return undefined;
  if (slowness > maxSlowdown * state.usualSlowness) return {...state, samples};
  if (elapsedMs >= unmeasuredReturnMs) return undefined;
  if (samples <= state.samples) return state;
  const share = state.share * 2;
  return share >= 1 ? undefined : {...state, share, samples};
}

/** Computes the part of its room that a target offers, in whole units. */
export function computeOfferedRoom(
  {cpuMillis, memoryMb, accelerators}: RunCapacity,
  {share}: LoadReturn,
): RunCapacity {
  return {
    cpuMillis: Math.floor(cpuMillis * share),
    memoryMb: Math.floor(memoryMb * share),
    accelerators: Math.floor(accelerators * share),
  };
}
