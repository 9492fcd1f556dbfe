import test from 'ava';
import {estimateBacklogMs, estimatePoolBacklog} from '#policy';

const pool = {rates: [1000, 3000], targets: 50, dispatchers: 50};

test('what waits at some of many dispatchers stands for all of them', t => {
  const backlog = estimatePoolBacklog({
    ...pool,
    ownCoreMs: 400_000,
    toldCoreMs: [200_000, 600_000],
  });
  t.is(backlog.workCoreMs, 50 * 400_000);
  t.is(backlog.rate, 50 * 2000);
  t.is(estimateBacklogMs(backlog), 200);
});

test('a dispatcher that is alone counts what it has, and a pool without targets does nothing', t => {
  const alone = {ownCoreMs: 500, toldCoreMs: [], dispatchers: 1};
  t.deepEqual(estimatePoolBacklog({...alone, rates: [10], targets: 1}), {
    workCoreMs: 500,
    rate: 10,
  });
  const none = estimatePoolBacklog({...alone, rates: [], targets: 0});
  t.is(estimateBacklogMs(none), Infinity);
});
