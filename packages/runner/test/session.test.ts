import test from 'ava';
import type {TargetLoad} from '#protocol';
import {isLoadNews} from '../src/load.js';
import {chooseLoadInterval} from '../src/session.js';

test('what a target spends on telling its load does not grow with its dispatchers', t => {
  const countMessages = (isTight: boolean, dispatchers: number) =>
    Math.round((1000 / chooseLoadInterval(isTight, dispatchers)) * dispatchers);
  for (const isTight of [true, false]) {
    t.is(countMessages(isTight, 11), countMessages(isTight, 3));
  }
  t.true(chooseLoadInterval(true, 11) < chooseLoadInterval(false, 11));
});

const load: TargetLoad = {
  open: true,
  cpuMillis: 4000,
  memoryMb: 100,
  accelerators: 0,
  slowness: 1,
  failing: 0,
};
const ample = {cpuMillis: 40_000, memoryMb: 40_000, accelerators: 0};
const scarce = {cpuMillis: 1000, memoryMb: 40_000, accelerators: 0};

test('a start at a target with ample room is not news to other dispatchers', t => {
  const after = {...load, cpuMillis: 5000, memoryMb: 164};
  t.false(isLoadNews(load, after, ample));
  t.true(isLoadNews(load, after, scarce));
  t.false(isLoadNews(load, load, {...scarce, cpuMillis: 0}));
  t.true(isLoadNews(undefined, load, ample));
});

test('a target that closes, slows down or fails is news however much room it has', t => {
  t.true(isLoadNews(load, {...load, open: false}, ample));
  t.true(isLoadNews(load, {...load, slowness: 1.5}, ample));
  t.true(isLoadNews(load, {...load, failing: 0.2}, ample));
  t.true(isLoadNews(load, {...load, cpuMillis: 30_000}, ample));
});
