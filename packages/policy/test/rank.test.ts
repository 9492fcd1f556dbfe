import test from 'ava';
import {rankWork} from '#policy';

const work = {latestStart: 500, priority: 0};

test('the earliest latest start goes first, with each level of priority counting as 50 ms', t => {
  t.true(rankWork(work, 0) < rankWork({...work, latestStart: 501}, 0));
  const lower = (latestStart: number) =>
    rankWork({latestStart, priority: 1}, 0);
  t.true(rankWork(work, 0) < lower(460));
  t.true(rankWork(work, 0) > lower(440));
});

test('work that is already late comes after all work that can end in time', t => {
  t.true(rankWork(work, 501) > rankWork({latestStart: 5000, priority: 3}, 501));
});
