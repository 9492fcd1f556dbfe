import test from 'ava';
import fc from 'fast-check';
import {
  addDemand,
  adjustBucket,
  computeDemandRate,
  createBucket,
  createDemandRate,
  returnTokens,
  divideQuota,
  spendTokens,
  type TokenBucket,
} from '#policy';

const seed = 411;
const quota = {tasksPerSecond: 10, burstTasks: 5};

function spend(bucket: TokenBucket, cost: number, now: number): TokenBucket {
  const result = spendTokens(bucket, cost, now);
  return result.kind === 'allowed' ? result.bucket : bucket;
}

test('a denied job gets the time until its tokens are available', t => {
  const empty = spend(createBucket(quota, 0), 5, 0);
  t.deepEqual(spendTokens(empty, 2, 0), {kind: 'denied', retryAfterMs: 200});
  t.is(spendTokens(empty, 2, 200).kind, 'allowed');
});

test('a job larger than the burst is allowed by a full bucket and leaves a debt', t => {
  const indebted = spend(createBucket(quota, 0), 50, 0);
  t.is(indebted.tokens, -45);
  t.is(spendTokens(indebted, 1, 4500).kind, 'denied');
  t.is(spendTokens(indebted, 1, 4600).kind, 'allowed');
});

test('a quota of zero denies with a bounded retry delay', t => {
  const bucket = createBucket({tasksPerSecond: 0, burstTasks: 0}, 0);
  const spent = spend(bucket, 1, 0);
  t.deepEqual(spendTokens(spent, 1, 1e9), {
    kind: 'denied',
    retryAfterMs: 60_000,
  });
});

test('a changed quota keeps debts and caps saved tokens', t => {
  const smaller = {tasksPerSecond: 10, burstTasks: 2};
  t.is(adjustBucket(createBucket(quota, 0), smaller, 0).tokens, 2);
  const indebted = spend(createBucket(quota, 0), 9, 0);
  t.is(adjustBucket(indebted, smaller, 100).tokens, -3);
  t.is(returnTokens(indebted, 100).tokens, 5);
});

test('starts over any period are bounded by rate, burst and one job', t => {
  const request = fc.record({
    gapMs: fc.nat(400),
    cost: fc.integer({min: 1, max: 20}),
  });
  fc.assert(
    fc.property(fc.array(request, {maxLength: 60}), requests => {
      let now = 0;
      let started = 0;
      let bucket = createBucket(quota, 0);
      for (const {gapMs, cost} of requests) {
        now += gapMs;
        const spending = spendTokens(bucket, cost, now);
        if (spending.kind === 'denied') {
          const retryAt = now + spending.retryAfterMs;
          t.is(spendTokens(bucket, cost, retryAt).kind, 'allowed');
          continue;
        }
        bucket = spending.bucket;
        started += cost;
        t.true(started <= 5 + 20 + (10 * now) / 1000);
      }
    }),
    {seed, numRuns: 200},
  );
});

test('shares add up to the quota, keep a minimum and meet small demands', t => {
  const demands = fc.array(fc.option(fc.nat(500), {nil: undefined}), {
    minLength: 1,
    maxLength: 8,
  });
  fc.assert(
    fc.property(fc.integer({min: 1, max: 1000}), demands, (rate, known) => {
      const total = {tasksPerSecond: rate, burstTasks: rate / 2};
      const shares = divideQuota(
        total,
        new Map(known.map((demand, i) => [`e${i}`, demand])),
      );
      const rates = known.map((_, i) => shares.get(`e${i}`)!.tasksPerSecond);
      const sum = rates.reduce((one, other) => one + other, 0);
      t.true(Math.abs(sum - rate) < 1e-6 * rate);
      const even = rate / known.length;
      rates.forEach((share, i) => {
        t.true(share >= even / 4 - 1e-6);
        t.true(share >= Math.min(known[i] ?? even, even) - 1e-6);
      });
    }),
    {seed, numRuns: 200},
  );
});

test('an unused share goes to the entry that needs it', t => {
  const shares = divideQuota(
    {tasksPerSecond: 100, burstTasks: 40},
    new Map([
      ['idle', 0],
      ['busy', 500],
    ]),
  );
  t.deepEqual(shares.get('busy'), {tasksPerSecond: 87.5, burstTasks: 35});
});

test('the demand rate converges to a steady demand and then halves in each half-life without any', t => {
  let demand = createDemandRate(0);
  for (let now = 0; now <= 100_000; now += 100)
    demand = addDemand(demand, 2, now);
  const rate = computeDemandRate(demand, 100_000);
  t.true(Math.abs(rate - 20) < 0.2, String(rate));
  t.is(computeDemandRate(demand, 110_000), rate / 2);
});
