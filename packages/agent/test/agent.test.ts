import test from 'ava';
import {closeStand, FakeEntry, openStand, waitUntil} from './stand.js';

test('a granted task runs and its report carries the slot back', async t => {
  const stand = await openStand({slots: 1});
  const entry = await FakeEntry.connect(stand, 1);
  await waitUntil(() => entry.free === 1);
  entry.free = 0;
  entry.start({payload: {echo: 5}});
  t.deepEqual(await entry.awaitFate('a.0'), {
    kind: 'succeeded',
    result: {echo: 5},
  });
  t.is(entry.free, 1);
  await closeStand(stand);
});
