import type {Instant} from '#model';

/** Work that waits for room. */
export interface WaitingWork {
  /** When its job is due. */
  readonly dueAt: Instant;
  /** What is left of its job is expected to take this long, in ms. */
  readonly restMs: number;
  /** Of its queue; 0 comes first. */
  readonly priority: number;
  /** True when other work of its job was sent to targets already. */
  readonly isBegun: boolean;
}

/** Untouched work that cannot be in time any more comes after all that can; beyond any time of a process in ms. */
const lateOffset = 1e12;
/** Work may take this much longer than is expected: uneven tasks of a job end with the longest one. */
const unevenness = 1.15;
/** A start and the report of an end take this long, in ms: two messages between hosts and one to the executor each. */
const orderMs = 12;
/** A queue comes before one of the next lower priority that must start this much sooner, in ms. */
const priorityStepMs = 50;

/**
 * Ranks work for room: the lowest goes first. Load pattern: a burst beyond what the pool can do, with
 * queues whose jobs have a tenth of a second to spare beside queues whose jobs have a whole one. What
 * must start soonest goes first. An untouched job that is not surely in time takes no room from those
 * that can be: begun at their last moment, most jobs were late by their longest task. A job that has
 * begun is finished: late by a task, it starved until its caller left, and its work was for nothing.
 */
export function rankWork(
  {dueAt, restMs, priority, isBegun}: WaitingWork,
  now: Instant,
): number {
  const latestStart = dueAt - restMs * unevenness - orderMs;
  const rank = latestStart + priority * priorityStepMs;
  return latestStart < now && !isBegun ? lateOffset + rank : rank;
}

/** Work is preferred to other work that waits at a target only when it ranks before it by this, in ms: giving it back costs messages. */
const notableRankMs = 10;

/** True when work is to take the place of other work that waits. */
export function isBefore(rank: number, other: number): boolean {
  return rank + notableRankMs < other;
}
