import test from 'ava';
import {estimateEnd, type MovableRun, shouldMove} from '#policy';

const run: MovableRun = {
  estimateMs: 300,
  placedAt: 0,
  slownessAtPlacement: 1,
  dueAt: 540,
  callerDeadline: 1500,
};

test('the end of a run is estimated from its remaining work at the present slowness', t => {
  t.is(estimateEnd(run, 7, 100), 100 + 200 * 7);
  t.is(estimateEnd(run, 7, 400), 400 + 0.3 * 300 * 7);
});

test('a run on a slowed target is moved where it ends in time', t => {
  t.true(shouldMove(run, 7, 360, 100));
});

test('a run is not moved when that would not keep its job in time', t => {
  t.false(shouldMove(run, 7, 500, 100));
  t.false(shouldMove({...run, dueAt: 5000, callerDeadline: 6000}, 7, 360, 100));
  t.false(shouldMove(run, 1.2, 360, 100));
});

test('a late run is moved when its caller would otherwise stop waiting before it ends', t => {
  const late = {...run, dueAt: 50};
  t.true(shouldMove(late, 20, 800, 200));
  t.false(shouldMove(late, 20, 1400, 200));
});
