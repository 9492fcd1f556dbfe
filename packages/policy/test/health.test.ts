import test from 'ava';
import fc from 'fast-check';
import {
  type InFlightLimit,
  createRandom,
  defaultHealthLimits,
  PoolHealth,
} from '#policy';

const {maxEjectedShare, baseEjectionMs, probationSuccesses} =
  defaultHealthLimits;
const seed = 88;

function createHealth(count: number): PoolHealth {
  const health = new PoolHealth();
  for (let i = 0; i < count; i++) health.addTarget(`t${i}`, 0);
  return health;
}

let nextJob = 0;

/** Records outcomes of tasks at a target, each of a separate job unless one is given. */
function record(
  health: PoolHealth,
  target: string,
  succeeded: boolean,
  {count = 1, now = 0, job}: {count?: number; now?: number; job?: string} = {},
): readonly InFlightLimit[] {
  const changes: InFlightLimit[] = [];
  for (let i = 0; i < count; i++) {
    const outcome = {target, succeeded, job: job ?? `own${nextJob++}`};
    changes.push(...health.record(outcome, now));
  }
  return changes;
}

function recordSuccesses(health: PoolHealth, count: number): void {
  for (let i = 0; i < count; i++) record(health, `t${i}`, true, {count: 10});
}

test('a target that fails all tasks is limited to one task, then ejected', t => {
  const health = createHealth(10);
  recordSuccesses(health, 9);
  t.deepEqual(record(health, 't9', false, {count: 5}), [
    {target: 't9', maxInFlight: 1},
    {target: 't9', maxInFlight: 0},
  ]);
});

test('failing jobs eject no target, wherever their tasks fail', t => {
  const health = createHealth(10);
  recordSuccesses(health, 10);
  for (let k = 0; k < 40; k++) {
    for (let i = 0; i < 10; i++) {
      t.deepEqual(
        record(health, `t${i}`, false, {job: `bad${k}`, count: 3}),
        [],
      );
    }
  }
  t.is(health.countEjected(), 0);
});

test('failures of one job at a target count once', t => {
  const health = createHealth(10);
  t.deepEqual(record(health, 't0', false, {job: 'one', count: 100}), []);
});

test('two failing targets are detected by jobs spread over all targets', t => {
  const health = createHealth(10);
  const random = createRandom(seed);
  for (let k = 0; k < 60; k++) {
    for (let i = 0; i < 10; i++) {
      const target = `t${random.drawInt(10)}`;
      const succeeded = target !== 't3' && target !== 't7';
      record(health, target, succeeded, {job: `j${k}`});
    }
  }
  const ejected = Array.from({length: 10}, (_, i) => `t${i}`).filter(
    target => health.getStanding(target).kind !== 'healthy',
  );
  t.deepEqual(ejected, ['t3', 't7']);
});

test('no target is ejected when the whole pool fails', t => {
  const health = createHealth(6);
  const random = createRandom(seed);
  for (let i = 0; i < 600; i++) {
    record(health, `t${random.drawInt(6)}`, random.drawFloat() < 0.4);
  }
  t.is(health.countEjected(), 0);
});

test('probation admits one task at a time and ends after enough successes', t => {
  const health = createHealth(4);
  recordSuccesses(health, 3);
  record(health, 't3', false, {count: 5});
  t.deepEqual(health.advance(baseEjectionMs - 1), []);
  const back = health.advance(baseEjectionMs);
  t.deepEqual(back, [{target: 't3', maxInFlight: 1}]);
  const now = baseEjectionMs + 1;
  const changes = record(health, 't3', true, {
    count: probationSuccesses,
    now,
  });
  t.deepEqual(changes, [{target: 't3', maxInFlight: Infinity}]);
});

test('each repeated ejection lasts twice as long', t => {
  const health = createHealth(4);
  recordSuccesses(health, 3);
  record(health, 't3', false, {count: 5});
  let now = 0;
  for (const factor of [1, 2, 4, 8]) {
    const standing = health.getStanding('t3');
    t.is(
      standing.kind === 'ejected' && standing.until - now,
      factor * baseEjectionMs,
    );
    now += factor * baseEjectionMs;
    health.advance(now);
    record(health, 't3', false, {now});
  }
});

test('once the maximum share is ejected, failing targets are limited to one task', t => {
  const health = createHealth(10);
  recordSuccesses(health, 5);
  for (let i = 5; i < 10; i++) record(health, `t${i}`, false, {count: 8});
  const kinds = [5, 6, 7, 8, 9].map(i => health.getStanding(`t${i}`).kind);
  t.deepEqual(kinds, ['ejected', 'ejected', 'ejected', 'suspect', 'suspect']);
});

test('a new incarnation starts healthy', t => {
  const health = createHealth(4);
  recordSuccesses(health, 3);
  record(health, 't3', false, {count: 5});
  health.addTarget('t3', 10);
  t.is(health.getStanding('t3').kind, 'healthy');
});

test('ejected targets never exceed the maximum share of the pool', t => {
  const outcome = fc.record({
    target: fc.nat(11),
    job: fc.nat(40),
    succeeded: fc.boolean(),
    gapMs: fc.nat(600),
  });
  const outcomes = fc.array(outcome, {minLength: 50, maxLength: 300});
  fc.assert(
    fc.property(fc.integer({min: 1, max: 12}), outcomes, (size, all) => {
      const health = createHealth(size);
      const cap =
        size < 2 ? 0 : Math.max(1, Math.floor(size * maxEjectedShare));
      let now = 0;
      for (const {target, job, succeeded, gapMs} of all) {
        now += gapMs;
        record(health, `t${target % size}`, succeeded && target > 2, {
          now,
          job: `j${job}`,
        });
        health.advance(now);
        t.true(health.countEjected() <= cap);
      }
    }),
    {seed, numRuns: 100},
  );
});
