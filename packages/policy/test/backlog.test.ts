import test from 'ava';
import {estimateBacklogMs, estimatePoolBacklog} from '#policy';

const pool = {rates: [1000, 3000], targets: 50, dispatchers: 50};

test('the backlog of some dispatchers is extrapolated to all of them', t => {
  const backlog = estimatePoolBacklog({
    ...pool,
    ownMillicoreMs: 400_000,
    reportedMillicoreMs: [200_000, 600_000],
  });
  t.is(backlog.workMillicoreMs, 50 * 400_000);
  t.is(backlog.rate, 50 * 2000);
  t.is(estimateBacklogMs(backlog), 200);
});

test('a single dispatcher counts its own backlog, and without targets the wait is infinite', t => {
  const alone = {ownMillicoreMs: 500, reportedMillicoreMs: [], dispatchers: 1};
  t.deepEqual(estimatePoolBacklog({...alone, rates: [10], targets: 1}), {
    workMillicoreMs: 500,
    rate: 10,
  });
  const none = estimatePoolBacklog({...alone, rates: [], targets: 0});
  t.is(estimateBacklogMs(none), Infinity);
});
