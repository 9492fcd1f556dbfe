import test from 'ava';
import {chooseRelay, createRandom} from '#policy';
import {startRunner, sleep, waitUntil} from '../../runner/test/harness.js';
import {buildJob, buildLongJob, buildView, startDispatcher} from './harness.js';

/** Starts two dispatchers with settable event loop lags; the first learns the lag of the other from claims of its jobs. */
async function startPair() {
  const runner = await startRunner();
  let lagMs = 0;
  let otherLagMs = 0;
  const late = await startDispatcher('late', {readLagMs: () => lagMs});
  const idle = await startDispatcher('idle', {readLagMs: () => otherLagMs});
  const view = buildView([runner.address], [late.address, idle.address]);
  for (const {dispatcher} of [late, idle]) dispatcher.follow(view);
  await waitUntil(() =>
    [late, idle].every(({dispatcher}) => dispatcher.isConnected),
  );
  const ends = setInterval(() => {
    for (const ref of [...runner.executor.running.values()]) {
      if (!ref.job.startsWith('long')) runner.executor.end(ref, 'succeeded');
    }
  }, 5);
  const submitMany = (name: string) =>
    Promise.all(
      Array.from({length: 8}, (_, i) =>
        late.submit(buildJob(`${name}-${i}`, 1)),
      ),
    );
  return {
    runner,
    late,
    idle,
    submitMany,
    setLags: (own: number, other: number) => {
      lagMs = own;
      otherLagMs = other;
    },
    async [Symbol.asyncDispose]() {
      clearInterval(ends);
      for (const each of [late, idle, runner]) {
        await each[Symbol.asyncDispose]();
      }
    },
  };
}

test('a lagging dispatcher relays jobs to one that is not lagging and returns their outcomes', async t => {
  await using pair = await startPair();
  t.true((await pair.submitMany('first')).every(isCompleted));
  pair.setLags(100, 0);
  const submitted = pair.submitMany('second');
  await waitUntil(() => pair.idle.dispatcher.jobCount > 0);
  t.true((await submitted).every(isCompleted));
  t.is(pair.late.dispatcher.jobCount, 0);
  t.is(pair.runner.executor.duplicateStarts, 0);
});

test('a lagging dispatcher keeps its jobs while the other one lags as much', async t => {
  await using pair = await startPair();
  pair.setLags(30, 30);
  await pair.submitMany('first');
  const long = pair.late.submit(buildLongJob('long', 1), 20_000);
  await waitUntil(() => pair.runner.executor.starts.length > 8);
  t.is(pair.idle.dispatcher.jobCount, 0);
  pair.late.dispatcher.cancel('long');
  await long;
});

test('cancelling a relayed job stops its runs at the other dispatcher', async t => {
  await using pair = await startPair();
  await pair.submitMany('first');
  pair.setLags(100, 0);
  const long = pair.late.submit(buildLongJob('long', 1), 20_000);
  await waitUntil(() => pair.runner.executor.running.size === 1);
  t.is(pair.idle.dispatcher.jobCount, 1);
  pair.late.dispatcher.cancel('long');
  t.deepEqual(await long, {kind: 'expired'});
  await waitUntil(() => pair.runner.executor.running.size === 0);
});

test('no jobs are relayed to a dispatcher that is leaving', async t => {
  await using pair = await startPair();
  await pair.submitMany('first');
  pair.idle.dispatcher.leave();
  await pair.submitMany('second');
  pair.setLags(100, 0);
  await pair.submitMany('third');
  t.is(pair.idle.dispatcher.jobCount, 0);
  await sleep(0);
});

test('relayed jobs are spread over all dispatchers that lag much less', t => {
  const loads = ['a:1', 'b:1', 'c:1'].map(address => ({address, lagMs: 1}));
  const random = createRandom(1);
  const chosen = new Set<string | undefined>();
  for (let i = 0; i < 50; i++) chosen.add(chooseRelay(60, loads, random));
  t.deepEqual([...chosen].sort(), ['a:1', 'b:1', 'c:1']);
  t.is(chooseRelay(10, loads, random), undefined);
  const late = loads.map(load => ({...load, lagMs: 40}));
  t.is(chooseRelay(60, late, random), undefined);
  t.not(chooseRelay(120, late, random), undefined);
});

function isCompleted({kind}: {readonly kind: string}): boolean {
  return kind === 'completed';
}
