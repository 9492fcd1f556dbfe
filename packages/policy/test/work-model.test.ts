import test from 'ava';
import {
  createRandom,
  observeRun,
  predictWorkMs,
  initialWorkModel,
} from '#policy';

/** Draws from the standard normal distribution. */
function drawNormal(next: () => number): number {
  const radius = Math.sqrt(-2 * Math.log(1 - next()));
  return radius * Math.cos(2 * Math.PI * next());
}

test('estimates that scatter and are a fifth too low are corrected', t => {
  const random = createRandom(7);
  const next = () => random.drawFloat();
  let model = initialWorkModel;
  let errorBefore = 0;
  let errorAfter = 0;
  const count = 4000;
  for (let i = 0; i < count; i++) {
    const workMs = 86 * Math.exp(0.4 * drawNormal(next));
    const estimateMs = 0.8 * workMs * Math.exp(0.4 * drawNormal(next));
    const relativeSlowness = i % 4 === 0 ? 0.55 : 1.2;
    if (i >= count / 2) {
      errorBefore += Math.abs(Math.log(estimateMs / workMs));
      errorAfter += Math.abs(
        Math.log(predictWorkMs(model, estimateMs) / workMs),
      );
    }
    const runMs = workMs * relativeSlowness;
    model = observeRun(model, {estimateMs, runMs, relativeSlowness});
  }
  t.true(errorAfter < 0.75 * errorBefore);
});

test('with too few samples, or without an estimate, the estimate is returned unchanged', t => {
  t.is(predictWorkMs(initialWorkModel, 100), 100);
  const model = {logWork: 4, logBias: 0, samples: 100};
  t.is(predictWorkMs(model, 0), 0);
});

test('runs on a far slower target are ignored', t => {
  const sample = {estimateMs: 100, runMs: 700, relativeSlowness: 7};
  t.is(observeRun(initialWorkModel, sample), initialWorkModel);
});
