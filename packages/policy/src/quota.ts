import type {EntryId, Instant} from '#model';

/** A token bucket. Tokens are tasks; below 0 they are borrowed from the future. */
export interface TokenBucket {
  readonly tokensPerSecond: number;
  /** The most that the bucket holds; at least 1. */
  readonly capacity: number;
  readonly tokens: number;
  readonly refilledAt: Instant;
}

export type Spending =
  | {readonly kind: 'allowed'; readonly bucket: TokenBucket}
  | {readonly kind: 'denied'; readonly retryAfterMs: number};

/** What one entry enforces of a team's quota. */
export interface QuotaShare {
  readonly tasksPerSecond: number;
  readonly burstTasks: number;
}

const maxRetryAfterMs = 60_000;
const msPerSecond = 1000;
/** Of the even share, what an entry keeps that was asked for nothing. */
const floorShare = 0.25;

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

/** Changes what a bucket enforces from now on. Tokens above the new capacity are lost; debts stay. */
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
 * Takes a job's tasks out of the bucket. A job larger than the capacity is
 * allowed when the bucket is full and leaves a debt, so that the sustained rate
 * holds and every job can be served at some time.
 */
export function spendTokens(
  bucket: TokenBucket,
  cost: number,
  now: Instant,
): Spending {
  const refilled = refillBucket(bucket, now);
  const needed = Math.min(cost, refilled.capacity);
  if (refilled.tokens >= needed) {
    const tokens = refilled.tokens - cost;
    return {kind: 'allowed', bucket: {...refilled, tokens}};
  }
  const missing = needed - refilled.tokens;
  const waitMs = Math.ceil((missing / bucket.tokensPerSecond) * msPerSecond);
  return {kind: 'denied', retryAfterMs: Math.min(maxRetryAfterMs, waitMs)};
}

/** Gives back the tokens of a job that was refused for another reason. */
export function returnTokens(bucket: TokenBucket, cost: number): TokenBucket {
  const tokens = Math.min(bucket.capacity, bucket.tokens + cost);
  return {...bucket, tokens};
}

/**
 * Splits a team's quota between the live entries of its site. `demands` has for
 * each live entry the tasks a second that it was lately asked for, or `undefined`
 * when that is not known. Every entry keeps a floor, so that a caller who moves
 * is served at once; what an entry does not ask for goes to those that ask for
 * more. The shares add up to the quota.
 */
export function shareQuota(
  quota: QuotaShare,
  demands: ReadonlyMap<EntryId, number | undefined>,
): ReadonlyMap<EntryId, QuotaShare> {
  const even = quota.tasksPerSecond / Math.max(1, demands.size);
  const floor = even * floorShare;
  const wants = new Map(
    [...demands].map(([entry, demand]) => [
      entry,
      Math.max(floor, demand ?? even),
    ]),
  );
  const rates = fillShares(quota.tasksPerSecond, wants);
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

/** Max-min fair: nobody gets more than wanted while another goes short; the rest is split evenly. */
function fillShares(
  total: number,
  wants: ReadonlyMap<EntryId, number>,
): ReadonlyMap<EntryId, number> {
  const ascending = [...wants].sort(([, one], [, other]) => one - other);
  const shares = new Map<EntryId, number>();
  let rest = total;
  ascending.forEach(([entry, want], i) => {
    const share = Math.min(want, rest / (ascending.length - i));
    shares.set(entry, share);
    rest -= share;
  });
  const surplus = rest / Math.max(1, shares.size);
  return new Map([...shares].map(([entry, share]) => [entry, share + surplus]));
}

function refillBucket(bucket: TokenBucket, now: Instant): TokenBucket {
  const elapsedMs = Math.max(0, now - bucket.refilledAt);
  const gained = (elapsedMs * bucket.tokensPerSecond) / msPerSecond;
  const tokens = Math.min(bucket.capacity, bucket.tokens + gained);
  return {...bucket, tokens, refilledAt: Math.max(now, bucket.refilledAt)};
}

function computeBurst(quota: QuotaShare, tasksPerSecond: number): number {
  if (quota.tasksPerSecond === 0) return 0;
  return (quota.burstTasks * tasksPerSecond) / quota.tasksPerSecond;
}
