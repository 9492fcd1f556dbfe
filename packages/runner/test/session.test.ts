import test from 'ava';
import {chooseLoadInterval} from '../src/session.js';

test('what a target spends on telling its load does not grow with its dispatchers', t => {
  const countMessages = (isTight: boolean, dispatchers: number) =>
    Math.round((1000 / chooseLoadInterval(isTight, dispatchers)) * dispatchers);
  for (const isTight of [true, false]) {
    t.is(countMessages(isTight, 11), countMessages(isTight, 3));
  }
  t.true(chooseLoadInterval(true, 11) < chooseLoadInterval(false, 11));
});
