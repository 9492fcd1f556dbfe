import type {Instant} from '#model';
import type {RandomSource} from './random.js';

/** Limits repeated placements to a fraction of first starts, so that refusals cannot multiply the load. */
export interface RetryBudget {
  readonly tokens: number;
}

export interface RetryLimits {
  /** Tokens added by each first start of a task. */
  readonly retriesPerStart: number;
  readonly maxTokens: number;
  readonly baseDelayMs: number;
  readonly maxDelayMs: number;
}

export const defaultRetryLimits: RetryLimits = {
  retriesPerStart: 0.2,
  maxTokens: 200,
  baseDelayMs: 2,
  maxDelayMs: 250,
};

export type RetryDecision =
  | {
      readonly kind: 'retry';
      readonly budget: RetryBudget;
      /** The earliest time at which the task may be queued again. */
      readonly at: Instant;
    }
  | {readonly kind: 'exhausted'; readonly cause: 'placements' | 'budget'};

/** Creates a full budget. */
export function createRetryBudget(
  limits: RetryLimits = defaultRetryLimits,
): RetryBudget {
  return {tokens: limits.maxTokens};
}

/** Adds the tokens for the first start of a task. */
export function depositRetryTokens(
  budget: RetryBudget,
  limits: RetryLimits = defaultRetryLimits,
): RetryBudget {
  const tokens = budget.tokens + limits.retriesPerStart;
  return {tokens: Math.min(limits.maxTokens, tokens)};
}

/**
 * Decides whether a task that provably did not run may be placed again.
 * `placements` counts its placements so far. Uses exponential backoff with full
 * jitter.
 */
export function decideRetry(
  budget: RetryBudget,
  placements: number,
  maxPlacements: number,
  now: Instant,
  random: RandomSource,
  limits: RetryLimits = defaultRetryLimits,
): RetryDecision {
  if (placements >= maxPlacements) {
    return {kind: 'exhausted', cause: 'placements'};
  }
  if (budget.tokens < 1) return {kind: 'exhausted', cause: 'budget'};
  const doublings = Math.max(0, placements - 1);
  const boundMs = Math.min(
    limits.maxDelayMs,
    limits.baseDelayMs * 2 ** doublings,
  );
  return {
    kind: 'retry',
    budget: {tokens: budget.tokens - 1},
    at: now + boundMs * random.drawFloat(),
  };
}
