import test from 'ava';
import fc from 'fast-check';
import {
  type ChaosOptions,
  computeLineFit,
  countPlacementOverhead,
  describeDisruption,
  checkRaces,
  MessageTap,
  planChaos,
  Random,
} from '#bench';
import {encodeFrame, preface} from '#protocol';

const chaos: ChaosOptions = {
  seed: 1,
  disruptions: 50,
  spanMs: 1000,
  maxDisruptionMs: 500,
  names: {
    control: ['c0', 'c1', 'c2'],
    entry: ['e0', 'e1'],
    agent: ['a0', 'a1'],
  },
};

test('the same seed plans the same disruptions, ordered by time', t => {
  const steps = planChaos(chaos);
  t.deepEqual(planChaos(chaos), steps);
  t.notDeepEqual(planChaos({...chaos, seed: 2}), steps);
  const times = steps.map(({atMs}) => atMs);
  t.deepEqual(
    times,
    [...times].sort((a, b) => a - b),
  );
  t.true(
    steps.every(step =>
      describeDisruption(step).includes(step.disruption.kind),
    ),
  );
});

test('random picks stay within their bounds', t => {
  fc.assert(
    fc.property(fc.integer(), fc.integer({min: 2, max: 1000}), (seed, max) => {
      const random = new Random(seed);
      const number = random.pickInt(1, max);
      const logUniform = random.pickLogUniform(1, max);
      return (
        number >= 1 &&
        number <= max &&
        logUniform >= 1 &&
        logUniform <= max &&
        random.pickExponential(max) >= 0
      );
    }),
    {seed: 11},
  );
  t.pass();
});

test('a line through points on it has no residual', t => {
  const points = [1, 2, 4, 8].map(x => ({x, y: 3 * x + 5}));
  const {slope, intercept, residual} = computeLineFit(points);
  t.true(Math.abs(slope - 3) < 1e-9 && Math.abs(intercept - 5) < 1e-9);
  t.true(residual < 1e-9);
});

test('two changes accepted on one version and a lost change are faults of a race', t => {
  const a = {changeId: 'a', version: 2};
  const b = {changeId: 'b', version: 2};
  const race = {expectedVersion: 1, conflicts: 0, unanswered: 0};
  t.deepEqual(checkRaces([{...race, accepted: [a]}], [a]), []);
  t.is(checkRaces([{...race, accepted: [a, b]}], [a]).length, 2);
  t.is(checkRaces([{...race, accepted: [a]}], []).length, 1);
});

test('a tap counts slot messages and refused tasks as placement overhead', t => {
  const tap = new MessageTap();
  const observe = tap.open();
  const frames = [
    {method: 'agent.reserve', params: {slots: 2}},
    {method: 'agent.start', params: {tasks: []}},
    {
      method: 'entry.report',
      params: {tasks: [{fate: {kind: 'not-run'}}, {fate: {kind: 'succeeded'}}]},
    },
  ].map(encodeFrame);
  const sent = Buffer.concat([preface, ...frames]);
  const foreign = Buffer.from('not the protocol');
  observe(sent);
  tap.open()(foreign);
  t.is(tap.messages, frames.length);
  t.is(tap.bytes, sent.length + foreign.length);
  t.is(tap.count('agent.start'), 1);
  t.is(countPlacementOverhead(tap), 2);
});
