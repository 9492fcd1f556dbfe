import test from 'ava';
import {isStalled} from '../src/progress.js';
import {openRuns, type Run} from '../src/run.js';

function buildRun(run: number, estimateMs: number): Run {
  const [opened] = openRuns(
    {
      job: 'job',
      payload: '',
      step: 0,
      demand: {cpuMillis: 1000, memoryMb: 1, accelerators: 0},
      estimateMs,
      rankMs: 0,
      runs: [[1, 0, run]],
    },
    0,
  );
  return {...opened!, phase: {kind: 'running', confirmedAt: 0}};
}

test('a run is stalled after 250 ms without progress, or after a fifth of the estimate of a long task', t => {
  t.false(isStalled(buildRun(1, 100), 1, 240));
  t.true(isStalled(buildRun(1, 100), 1, 250));
  t.false(isStalled(buildRun(1, 5000), 1, 900));
  t.true(isStalled(buildRun(1, 5000), 1, 1000));
});

test('a task that takes far longer than estimated gets enough time after repeated runs', t => {
  const longMs = 20_000;
  const runs = [1, 2, 3, 4, 5, 6, 7, 8, 9];
  const stalled = runs.map(run =>
    isStalled(buildRun(run, 100), 1, longMs / 100),
  );
  t.false(stalled.at(-1));
  t.true(isStalled(buildRun(1, 100), 1, 600));
  t.false(isStalled(buildRun(3, 100), 1, 600));
});
