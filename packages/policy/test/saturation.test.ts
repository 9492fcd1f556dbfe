import test from 'ava';
import {judgeSaturation} from '#policy';

const job = {chainMs: 86, leavesAt: 600};

test('a job is admitted while the loop is no later than usual', t => {
  t.is(judgeSaturation(job, 20, 0).kind, 'admit');
  t.is(judgeSaturation({...job, leavesAt: 90}, 20, 0).kind, 'admit');
});

test('a job that the loop would answer too late is refused, a patient one is not', t => {
  t.is(judgeSaturation(job, 200, 0).kind, 'refuse');
  t.is(judgeSaturation({...job, leavesAt: 3000}, 200, 0).kind, 'admit');
});

/**
 * Replays an entry that is offered twice what it can do: each turn of its loop takes what the jobs
 * read in it cost, a refused one a tenth. Counts the jobs answered while that was of use.
 */
function replayOverload(judges: boolean): {served: number; refused: number} {
  const costMs = 4;
  const refusalMs = 0.4;
  const everyMs = 2;
  const chainMs = 86;
  const usefulMs = 600;
  let now = 0;
  let read = 0;
  let served = 0;
  let refused = 0;
  let lagMs = 0;
  while (now < 20_000) {
    const beganAt = now;
    const arrived = Math.max(1, Math.floor(now / everyMs) - read);
    const taken: number[] = [];
    for (let i = 0; i < arrived; i++) {
      const leavesAt = (read + i) * everyMs + usefulMs;
      const seenMs = Math.max(lagMs, now - beganAt);
      const verdict = judgeSaturation({chainMs, leavesAt}, seenMs, now);
      if (judges && verdict.kind === 'refuse') {
        refused++;
        now += refusalMs;
        continue;
      }
      now += costMs;
      taken.push(leavesAt);
    }
    read += arrived;
    now = Math.max(now, read * everyMs);
    lagMs = Math.max(now - beganAt, 0.6 * lagMs);
    const answeredAt = now + chainMs + 3 * (now - beganAt);
    served += taken.filter(leavesAt => answeredAt <= leavesAt).length;
  }
  return {served, refused};
}

test('an entry offered twice what it can do serves what it can and refuses the rest', t => {
  const offered = 10_000;
  const judged = replayOverload(true);
  t.true(judged.served > 0.35 * offered, `${judged.served}`);
  t.true(judged.served + judged.refused > 0.8 * offered);
  t.true(replayOverload(false).served < 0.1 * offered);
});
