import test from 'ava';
import {checkSaturation} from '#policy';

const job = {chainMs: 86, answerDeadline: 600};

test('a job is admitted while the event loop lag is normal', t => {
  t.is(checkSaturation(job, 20, 0).kind, 'admit');
  t.is(checkSaturation({...job, answerDeadline: 90}, 20, 0).kind, 'admit');
});

test('a job that would be answered too late is refused, one with a later deadline is admitted', t => {
  t.is(checkSaturation(job, 200, 0).kind, 'refuse');
  t.is(checkSaturation({...job, answerDeadline: 3000}, 200, 0).kind, 'admit');
});

/**
 * Simulates an entry at twice its capacity. Each event loop turn takes the CPU time of the jobs read in
 * it, a refused job a tenth of that of an admitted one. Counts the jobs answered in time and refused.
 */
function simulateOverload(checksSaturation: boolean): {
  served: number;
  refused: number;
} {
  const jobCpuMs = 4;
  const refusalCpuMs = 0.4;
  const arrivalIntervalMs = 2;
  const chainMs = 86;
  const usefulMs = 600;
  let now = 0;
  let read = 0;
  let served = 0;
  let refused = 0;
  let lagMs = 0;
  while (now < 20_000) {
    const turnStartedAt = now;
    const arrived = Math.max(1, Math.floor(now / arrivalIntervalMs) - read);
    const admittedDeadlines: number[] = [];
    for (let i = 0; i < arrived; i++) {
      const answerDeadline = (read + i) * arrivalIntervalMs + usefulMs;
      const observedLagMs = Math.max(lagMs, now - turnStartedAt);
      const decision = checkSaturation(
        {chainMs, answerDeadline},
        observedLagMs,
        now,
      );
      if (checksSaturation && decision.kind === 'refuse') {
        refused++;
        now += refusalCpuMs;
        continue;
      }
      now += jobCpuMs;
      admittedDeadlines.push(answerDeadline);
    }
    read += arrived;
    now = Math.max(now, read * arrivalIntervalMs);
    lagMs = Math.max(now - turnStartedAt, 0.6 * lagMs);
    const answeredAt = now + chainMs + 3 * (now - turnStartedAt);
    served += admittedDeadlines.filter(
      answerDeadline => answeredAt <= answerDeadline,
    ).length;
  }
  return {served, refused};
}

test('an entry at twice its capacity serves what it can and refuses the rest', t => {
  const offered = 10_000;
  const checked = simulateOverload(true);
  t.true(checked.served > 0.35 * offered, `${checked.served}`);
  t.true(checked.served + checked.refused > 0.8 * offered);
  t.true(simulateOverload(false).served < 0.1 * offered);
});
