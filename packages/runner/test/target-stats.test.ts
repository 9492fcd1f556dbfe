import test from 'ava';
import {
  initialStats,
  observeWork,
  recoverSpeed,
  type TargetStats,
} from '../src/target-stats.js';

const reportMs = 20;
const runs = 10;

/** Simulates ten concurrent runs; each report covers the work of 20 ms. */
function observeRuns(
  stats: TargetStats,
  slowness: number,
  ms: number,
): TargetStats {
  let current = stats;
  for (let at = 0; at < ms; at += reportMs) {
    const runMs = reportMs * runs;
    current = observeWork(current, {workMs: runMs / slowness, runMs});
  }
  return current;
}

test('a target that becomes seven times slower is detected within half a second, before its tasks end', t => {
  const usual = observeRuns(initialStats, 1.5, 5000);
  t.true(Math.abs(usual.slowness - 1.5) < 0.05);
  const slow = observeRuns(usual, 7 * 1.5, 400);
  t.true(slow.slowness > 4);
  t.true(slow.baselineSlowness < 3);
});

test('a target without progress counts as the slowest, and its recovery is detected within a second', t => {
  const still = observeRuns(
    observeRuns(initialStats, 1.5, 5000),
    Infinity,
    1000,
  );
  t.true(still.slowness > 15);
  t.true(observeRuns(still, 1.5, 1000).slowness < 2.5);
});

test('an idle target recovers its baseline speed', t => {
  let stats = observeRuns(observeRuns(initialStats, 1.5, 5000), 10, 500);
  for (let tick = 0; tick < 200; tick++) stats = recoverSpeed(stats);
  t.true(stats.slowness < 2 * stats.baselineSlowness);
});
