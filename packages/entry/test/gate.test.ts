import test from 'ava';
import {Gate} from '../src/gate.js';
import type {Pool} from '../src/pool.js';
import {buildConfiguration, buildSubmission} from './builders.js';

const configuration = buildConfiguration([
  {name: 'team', tasksPerSecond: 100, burstTasks: 100, weight: 1},
]);
const jobTasks = 10;

/** A pool with idle slots and nothing in hand. */
const pool = {
  listCapacities: () => [{kind: 'executor', slots: 8, maxConnections: 8}],
  describeLoad: () => ({
    waiting: 0,
    teamWaiting: 0,
    teamShare: 1,
    freeSlots: 8,
    startsPerSecond: 100,
    running: 0,
  }),
  estimateRun: () => ({lowMs: 0, medianMs: 0, observations: 0}),
} as unknown as Pool;

/** A gate of one of two entries, on a clock that only the test moves. */
function openGate() {
  let now = 0;
  const gate = new Gate('e1', {now: () => now}, configuration);
  gate.setEntries(['e1', 'e2']);
  const admit = (name: string) => {
    const submission = buildSubmission(name, jobTasks);
    return gate.judge(submission, now + 60_000, pool) === undefined;
  };
  /** Counts the jobs that are admitted at once. */
  const countAdmitted = () => {
    let jobs = 0;
    while (admit(`${now}-${jobs}`)) jobs++;
    return jobs;
  };
  return {gate, admit, countAdmitted, pass: (ms: number) => (now += ms)};
}

test('an entry has an even part of a quota while nothing is known of the others', t => {
  const {countAdmitted, pass} = openGate();
  t.is(countAdmitted(), 5);
  pass(10_000);
  t.is(countAdmitted(), 5);
});

test('what a team does not ask of another entry it may ask of this one', t => {
  const {gate, admit, countAdmitted, pass} = openGate();
  for (let second = 0; second < 60; second++) {
    for (let i = 0; i < 10; i++) admit(`${second}-${i}`);
    pass(1000);
  }
  gate.followDemands({e2: {}});
  pass(10_000);
  t.is(countAdmitted(), 8);
});

test('an entry that a team asks for less leaves the rest to the other one', t => {
  const {gate, admit, countAdmitted, pass} = openGate();
  t.true(admit('first'));
  gate.followDemands({e2: {team: 500}});
  pass(10_000);
  t.is(countAdmitted(), 1);
});

test('demands are told at intervals and those of idle teams are left out', t => {
  const {gate, admit, pass} = openGate();
  t.deepEqual(gate.takeDemands(), {});
  t.is(gate.takeDemands(), undefined);
  for (let i = 0; i < 4; i++) admit(`job-${i}`);
  pass(10_000);
  t.deepEqual(gate.takeDemands(), {team: 1});
});
