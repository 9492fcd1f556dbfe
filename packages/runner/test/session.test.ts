import test from 'ava';
import type {Peer, ReportRunsParams, TargetLoad} from '#protocol';
import {isLoadNews} from '../src/load.js';
import {openRuns} from '../src/run.js';
import {
  chooseLoadInterval,
  renewalIntervalMs,
  Session,
} from '../src/session.js';

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

test('a dispatcher that was idle is asked for its permission long before that runs out', t => {
  const questions: number[] = [];
  const peer = {
    notify: (_: string, {question}: ReportRunsParams) => {
      if (question !== undefined) questions.push(question);
    },
  } as unknown as Peer;
  const session = new Session('d', 1, peer, 0);
  const ask = (monotonic: number) => {
    const isAsked = session.ask({monotonic, wall: monotonic});
    session.report(load, ample, 0, monotonic);
    return isAsked;
  };
  t.true(ask(0));
  t.true(session.grant(questions[0]!));
  t.false(ask(250));
  const [run] = openRuns(
    {
      job: 'job',
      payload: '',
      step: 0,
      demand: {cpuMillis: 1, memoryMb: 1, accelerators: 0},
      estimateMs: 100,
      rankMs: 0,
      runs: [[1, 0, 1]],
    },
    260,
  );
  session.add(run!);
  t.false(ask(290));
  t.true(ask(renewalIntervalMs));
});
