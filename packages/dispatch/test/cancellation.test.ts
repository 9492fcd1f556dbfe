import test from 'ava';
import {PersistentMap} from '#membership';
import {sleep, waitUntil} from '../../runner/test/harness.js';
import {buildLongJob, queue} from './harness.js';
import {startSite} from './site.js';

// Guards against tasks that start although their job's caller was told that it no longer exists.
test('a job that its caller cancels at another entry ends, and a late copy of it does not run', async t => {
  await using site = await startSite();
  const [one, two] = site.entries;
  const job = buildLongJob('job', 6);
  const outcome = one.submit(job);
  await waitUntil(() => site.countStarts() === 6);
  const deadline = performance.now() + 2000;
  const cancelled = await two.router.cancelForCaller('job', queue, deadline);
  t.deepEqual(cancelled, {kind: 'cancelled'});
  t.deepEqual(await outcome, {kind: 'cancelled'});
  await waitUntil(() =>
    site.homes.every(({executor}) => executor.running.size === 0),
  );
  t.deepEqual(await two.submit(job), {kind: 'cancelled'});
  t.is(site.countStarts(), 6);
});

test('a job that is cancelled before it arrives does not run', async t => {
  await using site = await startSite();
  const [one, two] = site.entries;
  const deadline = performance.now() + 2000;
  const first = await one.router.cancelForCaller('job', queue, deadline);
  t.deepEqual(first, {kind: 'unknown'});
  t.deepEqual(await two.submit(buildLongJob('job', 2)), {kind: 'cancelled'});
  t.is(site.countStarts(), 0);
});

// Guards against a cancellation that asks the homes of the queue's present service alone, while the job runs on those of its former one.
test('a job is cancelled although its queue has moved to another service since', async t => {
  await using site = await startSite();
  const [one, two] = site.entries;
  const outcome = one.submit(buildLongJob('job', 2));
  await waitUntil(() => site.countStarts() === 2);
  const deadline = performance.now() + 2000;
  const moved = {...queue, service: 'renewal'};
  t.deepEqual(await two.router.cancelForCaller('job', moved, deadline), {
    kind: 'cancelled',
  });
  t.deepEqual(await outcome, {kind: 'cancelled'});
});

test('a job whose home did not run it is cancelled at its owner', async t => {
  await using site = await startSite();
  const [home, next] = site.rank('job');
  const at = site.homes.indexOf(home!);
  site.lags.set(`target-${at}`, 5000);
  const outcome = site.entries[0].submit(buildLongJob('job', 2));
  await waitUntil(() => site.countStarts() === 2);
  t.is(next!.dispatcher.jobCount, 1);
  site.lags.set(`target-${at}`, 0);
  const deadline = performance.now() + 2000;
  const [, two] = site.entries;
  const cancelled = await two.router.cancelForCaller('job', queue, deadline);
  t.deepEqual(cancelled, {kind: 'cancelled'});
  t.deepEqual(await outcome, {kind: 'cancelled'});
});

test('a job whose home is lost is cleared at the targets when it is cancelled, and does not run again', async t => {
  await using site = await startSite();
  const [home] = site.rank('job');
  const job = buildLongJob('job', 6);
  const outcome = site.entries[0].submit(job);
  await waitUntil(() => site.countStarts() === 6);
  await home!.dispatcher[Symbol.asyncDispose]();
  await home!.runner[Symbol.asyncDispose]();
  t.deepEqual(await outcome, {kind: 'expired'});
  const [, two] = site.entries;
  const cancel = async () => {
    const deadline = performance.now() + 2000;
    return (await two.router.cancelForCaller('job', queue, deadline)).kind;
  };
  // The target at the lost home's address may still run some of it.
  t.is(await cancel(), 'uncertain');
  const others = site.homes.filter(each => each !== home);
  const targets = [...site.view.targets.list()].filter(
    ({address}) => address !== home!.address,
  );
  const view = {
    ...site.view,
    targets: PersistentMap.collect(
      targets.map(target => [target.target, target] as const),
    ),
  };
  for (const {dispatcher} of others) dispatcher.follow(view);
  for (const {router} of site.entries) router.follow(view);
  // A link with runs outlives its target in the view, until the runs have lapsed.
  let result = await cancel();
  while (result === 'uncertain') {
    await sleep(20);
    result = await cancel();
  }
  t.is(result, 'cancelled');
  t.deepEqual(await two.submit(job), {kind: 'cancelled'});
  t.is(site.countStarts(), 6);
});
