import test from 'ava';
import {sleep, waitUntil} from '../../runner/test/harness.js';
import {PlacementScheduler} from '../src/placement-scheduler.js';

test('placement is retried while it asks for it, without any other change', async t => {
  let placings = 0;
  using scheduler = new PlacementScheduler(() => ++placings < 3);
  scheduler.schedule();
  await waitUntil(() => placings >= 3);
  await sleep(100);
  t.is(placings, 3);
});

test('placement does not run after disposal', async t => {
  let placings = 0;
  const scheduler = new PlacementScheduler(() => ++placings > 0);
  scheduler.schedule();
  await waitUntil(() => placings >= 1);
  scheduler[Symbol.dispose]();
  const before = placings;
  scheduler.schedule();
  await sleep(100);
  t.is(placings, before);
});
