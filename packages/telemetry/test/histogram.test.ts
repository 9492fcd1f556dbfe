import test from 'ava';
import {Histograms, overflowTeam} from '#telemetry';

test('percentiles of a known series are correct to two digits', t => {
  const histograms = new Histograms();
  for (let ms = 1; ms <= 1000; ms++) {
    histograms.record('herders', 'tally', 'response', ms);
  }
  const [summary] = histograms.summarize();
  t.is(summary?.count, 1000);
  const isNear = (value: number, expected: number) =>
    Math.abs(value - expected) <= expected * 0.01;
  t.true(isNear(summary!.p50, 500));
  t.true(isNear(summary!.p90, 900));
  t.true(isNear(summary!.p99, 990));
  t.true(isNear(summary!.max, 1000));
  t.true(isNear(summary!.mean, 500.5));
});

test('ratios keep two decimals and long times keep their magnitude', t => {
  const histograms = new Histograms();
  histograms.record('a', 's', 'response-over-ideal', 1.25);
  histograms.record('a', 's', 'run', 600_000);
  const [run, ratio] = [...histograms.summarize()].reverse();
  t.is(run!.measure, 'run');
  t.true(Math.abs(run!.max - 600_000) < 6000);
  t.is(ratio!.p50, 1.25);
});

test('negative and non-finite values are ignored', t => {
  const histograms = new Histograms();
  for (const value of [NaN, -1, Infinity]) {
    histograms.record('a', 's', 'run', value);
  }
  t.deepEqual(histograms.summarize(), []);
});

test('teams beyond the series limit share one series', t => {
  const histograms = new Histograms(2);
  for (const team of ['a', 'b', 'c', 'd']) {
    histograms.record(team, 's', 'run', 1);
  }
  const counts = histograms
    .summarize()
    .map(({team, count}) => [team, count] as const);
  t.deepEqual(counts, [
    [overflowTeam, 2],
    ['a', 1],
    ['b', 1],
  ]);
});
