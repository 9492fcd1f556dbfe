import type {Instant} from '#model';
import type {RandomSource} from './random.js';

/** Bounds placements anew to a share of the starts, so that refusals cannot multiply load. */
export interface RetryBudget {
  readonly tokens: number;
}

export interface RetryLimits {
  /** Tokens that each first start adds. */
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

export type RetryVerdict =
  | {
      readonly kind: 'retry';
      readonly budget: RetryBudget;
      /** The task may be queued again from then on. */
      readonly at: Instant;
    }
  | {readonly kind: 'exhausted'; readonly cause: 'placements' | 'budget'};

/** Creates a full budget. */
export function createRetryBudget(
  limits: RetryLimits = defaultRetryLimits,
): RetryBudget {
  return {tokens: limits.maxTokens};
}

/** Adds what one first start of a task earns. */
export function depositStart(
  budget: RetryBudget,
  limits: RetryLimits = defaultRetryLimits,
): RetryBudget {
  const tokens = budget.tokens + limits.retriesPerStart;
  return {tokens: Math.min(limits.maxTokens, tokens)};
}

/**
 * Judges whether a task that provably did not run may be placed once more.
 * `placements` counts those so far. The delay doubles with each placement and
 * is drawn between nothing and the whole of it.
 */
export function judgeRetry(
  budget: RetryBudget,
  placements: number,
  maxPlacements: number,
  now: Instant,
  random: RandomSource,
  limits: RetryLimits = defaultRetryLimits,
): RetryVerdict {
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
