import test from 'ava';
import {computeNearWaitDeadline} from '#policy';
import {replayHotRack, type Waiting} from './locality-model.js';

const question = {
  now: 0,
  dueAt: 1000,
  nearRunMs: 200,
  farRunMs: 400,
  nearWaitMs: 50,
  utilization: 0,
  isWaiting: false,
};

test('a wait lasts as long as the detour would, and longer on full targets', t => {
  t.is(computeNearWaitDeadline(question), 200);
  t.is(computeNearWaitDeadline({...question, utilization: 0.5}), 300);
});

test('a wait that is expected to take most of the detour is not begun, but continued', t => {
  const longer = {...question, nearWaitMs: 120};
  t.is(computeNearWaitDeadline(longer), undefined);
  t.is(computeNearWaitDeadline({...longer, isWaiting: true}), 200);
  const tooLong = {...question, nearWaitMs: 250, isWaiting: true};
  t.is(computeNearWaitDeadline(tooLong), undefined);
  t.is(computeNearWaitDeadline({...tooLong, nearWaitMs: Infinity}), undefined);
});

test('nothing waits where a task runs as fast elsewhere', t => {
  t.is(computeNearWaitDeadline({...question, farRunMs: 200}), undefined);
});

test('a wait ends while the task can still be in time elsewhere', t => {
  const urgent = {...question, dueAt: 632};
  t.is(computeNearWaitDeadline(urgent), 120);
  t.is(computeNearWaitDeadline({...urgent, nearWaitMs: 70}), undefined);
});

test('a task that is in time only near its data waits for it', t => {
  const late = {...question, dueAt: 362};
  t.is(computeNearWaitDeadline(late), 100);
  t.is(computeNearWaitDeadline({...late, nearWaitMs: 60}), undefined);
});

const seeds = [1, 2, 3];

function replayMean(
  waiting: Waiting,
  changes: Partial<Parameters<typeof replayHotRack>[0]>,
) {
  const results = seeds.map(seed =>
    replayHotRack({
      hotLoad: 0.9,
      factor: 3,
      waiting,
      reportAgeMs: 20,
      seed,
      ...changes,
    }),
  );
  const mean = (key: keyof (typeof results)[0]) =>
    results.reduce((sum, result) => sum + result[key], 0) / results.length;
  return {
    meanMs: mean('meanMs'),
    hotInTime: mean('hotInTime'),
    otherInTime: mean('otherInTime'),
    detourShare: mean('detourShare'),
  };
}

for (const hotLoad of [0.5, 0.9, 1.5]) {
  for (const factor of [1.5, 3]) {
    test(`with a hot rack at ${hotLoad} of its room and factor ${factor}, waiting serves no class worse`, t => {
      const never = replayMean({kind: 'never'}, {hotLoad, factor});
      const fixed = replayMean({kind: 'fixed', waitMs: 100}, {hotLoad, factor});
      const decided = replayMean(
        {kind: 'decided', toldFactor: factor},
        {hotLoad, factor},
      );
      t.log({never, fixed, decided});
      const tolerance = 0.01;
      t.true(decided.hotInTime >= never.hotInTime - tolerance);
      t.true(decided.otherInTime >= never.otherInTime - tolerance);
      t.true(decided.meanMs <= never.meanMs * (1 + tolerance));
    });
  }
}

test('with a factor of 1 nothing waits', t => {
  const never = replayMean({kind: 'never'}, {factor: 1});
  const decided = replayMean({kind: 'decided', toldFactor: 1}, {factor: 1});
  t.deepEqual(decided, never);
});

test('a wrong factor costs no class its answers', t => {
  const right = replayMean({kind: 'decided', toldFactor: 1.5}, {factor: 1.5});
  const wrong = replayMean({kind: 'decided', toldFactor: 3}, {factor: 1.5});
  t.log({right, wrong});
  t.true(wrong.hotInTime >= right.hotInTime - 0.05);
  t.true(wrong.otherInTime >= right.otherInTime - 0.05);
});

test('tasks that wait for a rack that is lost run elsewhere', t => {
  const options = {hotLoad: 0.9, rackLostAt: 2500};
  const never = replayMean({kind: 'never'}, options);
  const decided = replayMean({kind: 'decided', toldFactor: 3}, options);
  t.log({never, decided});
  t.true(decided.hotInTime >= never.hotInTime - 0.01);
});
