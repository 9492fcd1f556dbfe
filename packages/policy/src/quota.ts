import type {EntryId, Instant} from '#model';

/** A token bucket with one token per task. A negative balance is a debt that later refills pay off. */
export interface TokenBucket {
  readonly tokensPerSecond: number;
  /** Maximum number of tokens; at least 1. */
  readonly capacity: number;
  readonly tokens: number;
  readonly refilledAt: Instant;
}

export type SpendResult =
  | {readonly kind: 'allowed'; readonly bucket: TokenBucket}
  | {readonly kind: 'denied'; readonly retryAfterMs: number};

/** The share of a team's quota that one entry enforces. */
export interface QuotaShare {
  readonly tasksPerSecond: number;
  readonly burstTasks: number;
}

const maxRetryAfterMs = 60_000;
const msPerSecond = 1000;
/** Fraction of the even share that an entry without demand keeps. */
const minShareRatio = 0.25;

/** Creates a full bucket. */
export function createBucket(quota: QuotaShare, now: Instant): TokenBucket {
  const capacity = Math.max(1, quota.burstTasks);
  return {
    tokensPerSecond: quota.tasksPerSecond,
    capacity,
    tokens: capacity,
    refilledAt: now,
  };
}

/** Changes the rate and capacity of a bucket. Tokens above the new capacity are dropped; debts remain. */
export function adjustBucket(
  bucket: TokenBucket,
  quota: QuotaShare,
  now: Instant,
): TokenBucket {
  const {tokens} = refillBucket(bucket, now);
  const full = createBucket(quota, now);
  return {...full, tokens: Math.min(tokens, full.capacity)};
}

/**
 * Spends one token per task of a job. A job larger than the capacity is allowed
 * when the bucket is full and leaves a debt, so that the long-term rate holds and
 * no job is denied forever.
 */
export function spendTokens(
  bucket: TokenBucket,
  cost: number,
  now: Instant,
): SpendResult {
  const refilled = refillBucket(bucket, now);
  const needed = Math.min(cost, refilled.capacity);
  if (refilled.tokens >= needed) {
    const tokens = refilled.tokens - cost;
    return {kind: 'allowed', bucket: {...refilled, tokens}};
  }
  const shortfall = needed - refilled.tokens;
  const waitMs = Math.ceil((shortfall / bucket.tokensPerSecond) * msPerSecond);
  return {kind: 'denied', retryAfterMs: Math.min(maxRetryAfterMs, waitMs)};
}

/** Returns the tokens of a job that was refused for another reason. */
export function returnTokens(bucket: TokenBucket, cost: number): TokenBucket {
  const tokens = Math.min(bucket.capacity, bucket.tokens + cost);
  return {...bucket, tokens};
}

/**
 * Divides a team's quota between the live entries of its site. `demands` holds
 * the recent demand at each live entry in tasks per second, `undefined` while
 * unknown. Every entry keeps a minimum share, so that a caller who switches
 * entries is served at once. Entries with more demand get what the others do not
 * need. The shares add up to the quota.
 */
export function divideQuota(
  quota: QuotaShare,
  demands: ReadonlyMap<EntryId, number | undefined>,
): ReadonlyMap<EntryId, QuotaShare> {
  const evenShare = quota.tasksPerSecond / Math.max(1, demands.size);
  const minShare = evenShare * minShareRatio;
  const requested = new Map(
    [...demands].map(([entry, demand]) => [
      entry,
      Math.max(minShare, demand ?? evenShare),
    ]),
  );
  const rates = computeMaxMinShares(quota.tasksPerSecond, requested);
  return new Map(
    [...rates].map(([entry, tasksPerSecond]) => [
      entry,
      {
        tasksPerSecond,
        burstTasks: computeBurst(quota, tasksPerSecond),
      },
    ]),
  );
}

/** Computes max-min fair shares of the total. What exceeds all requests is divided evenly. */
function computeMaxMinShares(
  total: number,
  requested: ReadonlyMap<EntryId, number>,
): ReadonlyMap<EntryId, number> {
  const ascending = [...requested].sort(([, one], [, other]) => one - other);
  const shares = new Map<EntryId, number>();
  let remaining = total;
  ascending.forEach(([entry, want], i) => {
    const share = Math.min(want, remaining / (ascending.length - i));
    shares.set(entry, share);
    remaining -= share;
  });
  const surplus = remaining / Math.max(1, shares.size);
  return new Map([...shares].map(([entry, share]) => [entry, share + surplus]));
}

function refillBucket(bucket: TokenBucket, now: Instant): TokenBucket {
  const elapsedMs = Math.max(0, now - bucket.refilledAt);
  const refill = (elapsedMs * bucket.tokensPerSecond) / msPerSecond;
  const tokens = Math.min(bucket.capacity, bucket.tokens + refill);
  return {...bucket, tokens, refilledAt: Math.max(now, bucket.refilledAt)};
}

function computeBurst(quota: QuotaShare, tasksPerSecond: number): number {
  if (quota.tasksPerSecond === 0) return 0;
  return (quota.burstTasks * tasksPerSecond) / quota.tasksPerSecond;
}
