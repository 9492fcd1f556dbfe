import test from 'ava';
import type {Peer, ReportRunsParams, TargetLoad} from '#protocol';
import {shouldReportLoad} from '../src/load.js';
import {openRuns} from '../src/run.js';
import {
  chooseLoadInterval,
  renewalIntervalMs,
  Session,
} from '../src/session.js';

test('the rate of load reports does not grow with the number of dispatchers', t => {
  const countMessages = (isNearlyFull: boolean, dispatchers: number) =>
    Math.round(
      (1000 / chooseLoadInterval(isNearlyFull, dispatchers)) * dispatchers,
    );
  for (const isNearlyFull of [true, false]) {
    t.is(countMessages(isNearlyFull, 11), countMessages(isNearlyFull, 3));
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

test('a start at a target with ample capacity is not reported to other dispatchers', t => {
  const after = {...load, cpuMillis: 5000, memoryMb: 164};
  t.false(shouldReportLoad(load, after, ample));
  t.true(shouldReportLoad(load, after, scarce));
  t.false(shouldReportLoad(load, load, {...scarce, cpuMillis: 0}));
  t.true(shouldReportLoad(undefined, load, ample));
});

test('a target that closes, slows down or fails is reported whatever its free capacity', t => {
  t.true(shouldReportLoad(load, {...load, open: false}, ample));
  t.true(shouldReportLoad(load, {...load, slowness: 1.5}, ample));
  t.true(shouldReportLoad(load, {...load, failing: 0.2}, ample));
  t.true(shouldReportLoad(load, {...load, cpuMillis: 30_000}, ample));
});

test('an idle dispatcher that gets a run is asked for permission long before the last one expires', t => {
  const questions: number[] = [];
  const peer = {
    notify: (_: string, {question}: ReportRunsParams) => {
      if (question !== undefined) questions.push(question);
    },
  } as unknown as Peer;
  const session = new Session('d', 1, peer, 0);
  const ask = (monotonic: number) => {
    const isAsked = session.requestPermission({monotonic, wall: monotonic});
    session.report({load, free: ample, executor: undefined}, 0, monotonic);
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
