import test from 'ava';
import {sleep, waitUntil} from '../../runner/test/stand.js';
import {PlacingTurns} from '../src/placing-turns.js';

test('what waits for a faster target is placed again though nothing else changes', async t => {
  let placings = 0;
  using turns = new PlacingTurns(() => ++placings < 3);
  turns.schedule();
  await waitUntil(() => placings >= 3);
  await sleep(100);
  t.is(placings, 3);
});

test('nothing is placed once its owner has gone', async t => {
  let placings = 0;
  const turns = new PlacingTurns(() => ++placings > 0);
  turns.schedule();
  await waitUntil(() => placings >= 1);
  turns[Symbol.dispose]();
  const before = placings;
  turns.schedule();
  await sleep(100);
  t.is(placings, before);
});
