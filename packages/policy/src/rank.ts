import type {Instant} from '#model';

/** Work that waits for room. */
export interface WaitingWork {
  /** The last moment at which it can be begun and still be in time. */
  readonly latestStart: Instant;
  /** Of its queue; 0 comes first. */
  readonly priority: number;
}

/** Work that cannot be in time any more comes after all that can; beyond any time of a process in ms. */
const lateOffset = 1e12;
/** A queue comes before one of the next lower priority that must start this much sooner, in ms. */
const priorityStepMs = 50;

/**
 * Ranks work for room: the lowest goes first. Load pattern: a burst beyond what the pool can do, with
 * queues whose jobs have a tenth of a second to spare beside queues whose jobs have a whole one. What
 * must start soonest goes first; what is late already takes no room from what can be in time.
 */
export function rankWork(
  {latestStart, priority}: WaitingWork,
  now: Instant,
): number {
  const offset = latestStart < now ? lateOffset : 0;
  return offset + latestStart + priority * priorityStepMs;
}

/** Work is preferred to other work that waits at a target only when it ranks before it by this, in ms: giving it back costs messages. */
const notableRankMs = 10;

/** True when work is to take the place of other work that waits. */
export function isBefore(rank: number, other: number): boolean {
  return rank + notableRankMs < other;
}
