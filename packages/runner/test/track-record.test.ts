import test from 'ava';
import {
  freshRecord,
  observeWork,
  recoverSpeed,
  type TrackRecord,
} from '../src/track-record.js';

const reportMs = 20;
const runs = 10;

/** Lets ten runs progress side by side; each report shows what they did in 20 ms. */
function observeRuns(
  record: TrackRecord,
  slowness: number,
  ms: number,
): TrackRecord {
  let after = record;
  for (let at = 0; at < ms; at += reportMs) {
    const runMs = reportMs * runs;
    after = observeWork(after, {workMs: runMs / slowness, runMs});
  }
  return after;
}

test('a target that turns seven times slower is known to within half a second, before its tasks end', t => {
  const usual = observeRuns(freshRecord, 1.5, 5000);
  t.true(Math.abs(usual.slowness - 1.5) < 0.05);
  const slow = observeRuns(usual, 7 * 1.5, 400);
  t.true(slow.slowness > 4);
  t.true(slow.usualSlowness < 3);
});

test('a target that stands still counts as the slowest, and is known at once when it goes on', t => {
  const still = observeRuns(
    observeRuns(freshRecord, 1.5, 5000),
    Infinity,
    1000,
  );
  t.true(still.slowness > 15);
  t.true(observeRuns(still, 1.5, 1000).slowness < 2.5);
});

test('an idle target comes back to its usual speed', t => {
  let record = observeRuns(observeRuns(freshRecord, 1.5, 5000), 10, 500);
  for (let tick = 0; tick < 200; tick++) record = recoverSpeed(record);
  t.true(record.slowness < 2 * record.usualSlowness);
});
