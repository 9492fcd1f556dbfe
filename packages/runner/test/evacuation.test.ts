import test from 'ava';
import {type FakeDispatcher, startRunner, waitUntil} from './harness.js';

const listEnds = ({ends}: FakeDispatcher) =>
  ends.map(([ticket, end]) => [ticket, end]);

const getLoad = ({reports}: FakeDispatcher) => reports.at(-1)?.load;

test('an evacuated runner returns what waits and starts nothing, while runs at work go on', async t => {
  await using harness = await startRunner();
  const {executor, runner} = harness;
  const dispatcher = await harness.attach('d');
  for (let i = 0; i < 5; i++) dispatcher.place(i + 1, i);
  await waitUntil(() => executor.starts.length === 4);
  runner.setEvacuated(true);
  dispatcher.place(6, 5);
  await waitUntil(() => dispatcher.ends.length === 2);
  executor.end(executor.starts[0]!, 'succeeded');
  await waitUntil(() => dispatcher.ends.length === 3);
  t.deepEqual(listEnds(dispatcher), [
    [5, 'not-run'],
    [6, 'not-run'],
    [1, 'succeeded'],
  ]);
  t.is(executor.starts.length, 4);
  t.is(executor.running.size, 3);
  const late = await harness.attach('late');
  await waitUntil(() => getLoad(late)?.open === false);
});

test('a start that waits for its turn at the executor is not sent once the domain is evacuated', async t => {
  await using harness = await startRunner();
  const {executor, runner} = harness;
  const answers: (() => void)[] = [];
  const startRun = executor.startRun.bind(executor);
  executor.startRun = async request => {
    await new Promise<void>(resolve => answers.push(resolve));
    return startRun(request);
  };
  const dispatcher = await harness.attach('d');
  const small = {demand: {cpuMillis: 100, memoryMb: 1, accelerators: 0}};
  for (let i = 0; i < 6; i++) dispatcher.place(i + 1, i, 1, small);
  await waitUntil(() => answers.length === 4 && runner.runCount === 6);
  runner.setEvacuated(true);
  for (const answer of answers) answer();
  await waitUntil(() => dispatcher.ends.length === 2);
  t.deepEqual(listEnds(dispatcher), [
    [5, 'not-run'],
    [6, 'not-run'],
  ]);
  t.is(executor.starts.length, 4);
  t.is(answers.length, 4);
});

test('load returns to a runner step by step, as its runs progress as estimated', async t => {
  await using harness = await startRunner();
  const {executor, runner} = harness;
  const beganAt = performance.now();
  executor.readPercent = () => (performance.now() - beganAt) / 100;
  runner.setEvacuated(true);
  runner.setEvacuated(false);
  const dispatcher = await harness.attach('d');
  await waitUntil(() => getLoad(dispatcher)?.cpuMillis === 3000);
  for (let i = 0; i < 4; i++) dispatcher.place(i + 1, i);
  await waitUntil(() => dispatcher.ends.length === 2);
  t.is(executor.starts.length, 1);
  await waitUntil(() => executor.starts.length === 2);
  t.is(runner.runCount, 2);
  await waitUntil(() => getLoad(dispatcher)!.cpuMillis === 0);
});

test('a run that needs all of the executor is started alone while load returns', async t => {
  await using harness = await startRunner();
  const {executor, runner} = harness;
  runner.setEvacuated(true);
  runner.setEvacuated(false);
  const dispatcher = await harness.attach('d');
  const large = {demand: {cpuMillis: 4000, memoryMb: 1, accelerators: 0}};
  dispatcher.place(1, 0, 1, large);
  await waitUntil(() => executor.starts.length === 1);
  t.is(runner.runCount, 1);
});

test('a runner that has just started takes runs once it knows that its domain is in service', async t => {
  const options = {evacuationWaitMs: Infinity};
  await using harness = await startRunner([], {}, options);
  const {executor, runner} = harness;
  const dispatcher = await harness.attach('d');
  await waitUntil(() => getLoad(dispatcher)?.open === false);
  dispatcher.place(1);
  await waitUntil(() => dispatcher.ends.length === 1);
  runner.setEvacuated(true);
  dispatcher.place(2, 1);
  await waitUntil(() => dispatcher.ends.length === 2);
  t.is(executor.starts.length, 0);
  runner.setEvacuated(false);
  dispatcher.place(3, 2);
  await waitUntil(() => executor.starts.length === 1);
});

test('a runner that hears nothing of its domain takes runs after a while', async t => {
  let now = performance.now();
  const clock = {now: () => now};
  const options = {clock, evacuationWaitMs: 60_000};
  await using harness = await startRunner([], {}, options);
  const dispatcher = await harness.attach('d');
  await waitUntil(() => getLoad(dispatcher)?.open === false);
  now += 60_000;
  await waitUntil(() => getLoad(dispatcher)?.open === true);
  t.is(harness.executor.starts.length, 0);
});
