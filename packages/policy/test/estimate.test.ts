import test from 'ava';
import {createRandom, defaultEstimateLimits, RunTimes} from '#policy';

const near = (value: number, expected: number, factor = 1.2) =>
  value < expected * factor && value > expected / factor;

function observe(
  runs: RunTimes,
  count: number,
  runMs: number | (() => number),
  hintMs?: number,
  now = 0,
  target = 't',
): void {
  for (let i = 0; i < count; i++) {
    const value = typeof runMs === 'number' ? runMs : runMs();
    runs.observe('s', target, value, hintMs, now);
  }
}

test('quantiles match the observed run times', t => {
  const random = createRandom(5);
  const runs = new RunTimes();
  observe(runs, 2000, () => 100 + 900 * random.drawFloat());
  t.true(near(runs.estimateRun('s', 0.5, undefined, 0), 550));
  t.true(near(runs.estimateRun('s', 0.95, undefined, 0), 955));
  t.true(near(runs.computeMean('s'), 550));
});

test('the influence of a hint fades as observations accumulate', t => {
  const runs = new RunTimes();
  t.is(runs.estimateRun('s', 0.5, 500, 0), 500);
  observe(runs, 3, 100);
  const few = runs.estimateRun('s', 0.5, 500, 0);
  t.true(few > 150 && few < 300, `${few}`);
  observe(runs, 300, 100);
  t.true(near(runs.estimateRun('s', 0.5, 500, 0), 100));
});

test('hints that are off by a constant factor are corrected', t => {
  const runs = new RunTimes();
  observe(runs, 50, 100, 500);
  t.true(near(runs.estimateRun('s', 0.5, 500, 0), 100));
});

test('old observations are outweighed by new ones', t => {
  const runs = new RunTimes();
  const later = 20 * defaultEstimateLimits.halfLifeMs;
  observe(runs, 1000, 1000);
  observe(runs, 30, 50, undefined, later);
  t.true(near(runs.estimateRun('s', 0.9, undefined, later), 50));
  t.true(near(runs.countObservations('s', later), 30));
});

test('weights stay finite over years', t => {
  const runs = new RunTimes();
  for (let day = 0; day < 800; day++) {
    observe(runs, 10, 80, undefined, day * 86_400_000);
  }
  t.true(near(runs.estimateRun('s', 0.5, undefined, 800 * 86_400_000), 80));
});

test('a target without enough recent observations is estimated by the mean of the service', t => {
  const runs = new RunTimes();
  observe(runs, 100, 50, undefined, 0, 'fast');
  t.true(near(runs.estimateMeanOnTarget('s', 'new', 0), 50));
  observe(runs, 20, 500, undefined, 0, 'slow');
  t.true(near(runs.estimateMeanOnTarget('s', 'slow', 0), 500));
  const later = 10 * defaultEstimateLimits.halfLifeMs;
  observe(runs, 100, 50, undefined, later, 'fast');
  t.true(near(runs.estimateMeanOnTarget('s', 'slow', later), 55));
});

test('the number of targets kept is bounded', t => {
  const runs = new RunTimes({
    ...defaultEstimateLimits,
    maxTargetsPerService: 2,
  });
  for (const target of ['a', 'b', 'c']) observe(runs, 50, 900, 1, 0, target);
  observe(runs, 5000, 10, undefined, 0, 'c');
  t.true(
    near(runs.estimateMeanOnTarget('s', 'a', 0), runs.computeMean('s'), 1.01),
  );
});

test('the tail ratio is relative to each target, whatever their speeds', t => {
  const random = createRandom(5);
  const runs = new RunTimes();
  t.true(runs.estimateTailRatio('s', 0) > 1);
  for (const [target, speed] of [
    ['fast', 1],
    ['slow', 10],
  ] as const) {
    observe(
      runs,
      500,
      () => speed * 200 * random.drawFloat(),
      undefined,
      0,
      target,
    );
  }
  t.true(near(runs.estimateTailRatio('s', 0), 1.9));
});
