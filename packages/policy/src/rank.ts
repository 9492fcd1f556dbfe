import type {Instant} from '#model';

/** Work that waits for capacity at a target. */
export interface WaitingWork {
  /** Latest time at which it can start and still end in time. */
  readonly latestStart: Instant;
  /** Priority of its queue; 0 is the highest. */
  readonly priority: number;
}

/** Ranks work that can no longer end in time after all other work. Larger than any clock value. */
const lateRankOffsetMs = 1e12;
/** Difference of latest starts that one level of priority outweighs. */
const priorityStepMs = 50;

/**
 * Ranks waiting work; the lowest rank goes first. Work with the earlier latest start goes first, and
 * work that is already late goes last, so that it takes no capacity from work that can end in time.
 * This matters in a burst beyond the capacity of the targets, with jobs of 100 ms slack in some queues
 * and of 1 s in others.
 */
export function rankWork(
  {latestStart, priority}: WaitingWork,
  now: Instant,
): number {
  const offset = latestStart < now ? lateRankOffsetMs : 0;
  return offset + latestStart + priority * priorityStepMs;
}

/** Minimum lead in rank for displacing work that waits at a target, as returning it costs messages. */
const minRankLeadMs = 10;

/** Whether work of the first rank should displace waiting work of the other rank. */
export function shouldDisplace(rank: number, other: number): boolean {
  return rank + minRankLeadMs < other;
}
