import test from 'ava';
import {
  createRandom,
  createRetryBudget,
  defaultRetryLimits,
  depositRetryTokens,
  decideRetry,
  type RetryBudget,
} from '#policy';

const {maxTokens, retriesPerStart, maxDelayMs} = defaultRetryLimits;

function decide(budget: RetryBudget, placements = 1, seed = 3) {
  return decideRetry(budget, placements, 5, 100, createRandom(seed));
}

test('the number of placements is limited', t => {
  const decision = decide(createRetryBudget(), 5);
  t.deepEqual(decision, {kind: 'exhausted', cause: 'placements'});
});

test('retries beyond the initial budget are limited to a fraction of starts', t => {
  let budget = createRetryBudget();
  let retries = 0;
  const starts = 10_000;
  for (let i = 0; i < starts; i++) {
    budget = depositRetryTokens(budget);
    for (let k = 0; k < 4; k++) {
      const decision = decide(budget);
      if (decision.kind === 'exhausted') continue;
      budget = decision.budget;
      retries++;
    }
  }
  t.true(retries <= maxTokens + starts * retriesPerStart + 1);
  t.true(retries >= starts * retriesPerStart - 1);
});

test('delays grow, are jittered and are reproducible from the seed', t => {
  const delay = (placements: number, seed: number) => {
    const decision = decideRetry(
      createRetryBudget(),
      placements,
      99,
      100,
      createRandom(seed),
    );
    return decision.kind === 'retry' ? decision.at - 100 : NaN;
  };
  t.is(delay(4, 1), delay(4, 1));
  t.not(delay(4, 1), delay(4, 2));
  const largest = (placements: number) =>
    Math.max(...Array.from({length: 50}, (_, seed) => delay(placements, seed)));
  t.true(largest(1) <= 2);
  t.true(largest(4) > largest(1));
  t.true(largest(60) <= maxDelayMs);
});
