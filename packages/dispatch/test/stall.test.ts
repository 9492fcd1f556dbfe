import test from 'ava';
import {sleep, startRunner, waitUntil} from '../../runner/test/harness.js';
import {buildJob, buildView, startDispatcher} from './harness.js';

// In a separate file, as it blocks the event loop that the tests of a file share.
test('a dispatcher whose event loop was blocked does not treat its targets as lost', async t => {
  await using runner = await startRunner();
  await using entry = await startDispatcher('a');
  entry.dispatcher.follow(buildView([runner.address], [entry.address]));
  await waitUntil(() => entry.dispatcher.isConnected);
  await sleep(50);
  const until = performance.now() + 1500;
  while (performance.now() < until);
  const outcome = entry.submit(buildJob('job', 2));
  const {executor} = runner;
  const first = await Promise.race([
    outcome,
    waitUntil(() => executor.starts.length === 2),
  ]);
  t.is(first, undefined);
  for (const ref of executor.starts) executor.end(ref, 'succeeded');
  t.deepEqual(await outcome, {kind: 'completed'});
});
