import test from 'ava';
import {
  advanceLoadReturn,
  beginLoadReturn,
  computeOfferedRoom,
  type LoadReturn,
} from '#policy';

const room = {cpuMillis: 32_000, memoryMb: 65_536, accelerators: 1};
const runCpuMillis = 3300;
const usualSlowness = 1.2;
const tickMs = 50;

/**
 * Replays the return of load to a busy target. It is offered more work than it may take, and is as slow
 * as `readSlowness` says. Each second of run time is a measurement.
 */
function replay(readSlowness: (elapsedMs: number) => number) {
  const speed = {slowness: usualSlowness, baselineSlowness: usualSlowness};
  let state: LoadReturn | undefined = beginLoadReturn(
    {...speed, samples: 40},
    0,
  );
  let measuredMs = 0;
  const shares = new Map<number, number>();
  for (let now = 0; state !== undefined; now += tickMs) {
    shares.set(state.share, shares.get(state.share) ?? now);
    const {cpuMillis} = computeOfferedRoom(room, state);
    measuredMs += Math.max(1, Math.floor(cpuMillis / runCpuMillis)) * tickMs;
    const samples = 40 + Math.floor(measuredMs / 1000);
    const slowness = readSlowness(now);
    state = advanceLoadReturn(state, {...speed, slowness, samples}, now);
    if (state === undefined) return {shares, fullAt: now};
  }
  return {shares, fullAt: Infinity};
}

test('a target that carries its load has all of it back within a second', t => {
  const {shares, fullAt} = replay(() => usualSlowness);
  t.deepEqual([...shares.keys()], [0.25, 0.5]);
  t.true(fullAt <= 1000, String(fullAt));
});

test('a cold target is not given more until it has warmed up', t => {
  const {shares, fullAt} = replay(now => (now < 3000 ? 5 : usualSlowness));
  t.true(shares.get(0.5)! >= 3000, String(shares.get(0.5)));
  t.true(fullAt >= 3000 && fullAt <= 4000, String(fullAt));
});

test('a target that remains slow gets all its load in bounded time', t => {
  const {shares, fullAt} = replay(() => 5);
  t.deepEqual([...shares.keys()], [0.25]);
  t.is(fullAt, 12_000);
});

test('a target without runs is offered all its room after a while', t => {
  const speed = {slowness: 1, baselineSlowness: 1, samples: 0};
  const state = beginLoadReturn(speed, 0);
  t.is(advanceLoadReturn(state, speed, 3999), state);
  t.is(advanceLoadReturn(state, speed, 4000), undefined);
});

test('a new executor whose first runs are slow counts as slow', t => {
  const state = beginLoadReturn(
    {slowness: 1, baselineSlowness: 1, samples: 0},
    0,
  );
  const cold = {slowness: 4, baselineSlowness: 4, samples: 1};
  t.is(advanceLoadReturn(state, cold, 500)?.share, 0.25);
});
