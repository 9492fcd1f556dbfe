import test from 'ava';
import {AdmissionController} from '../src/admission-controller.js';
import type {Pool} from '../src/pool.js';
import {buildConfiguration, buildSubmission} from './builders.js';

const configuration = buildConfiguration([
  {name: 'team', tasksPerSecond: 100, burstTasks: 100, weight: 1},
]);
const jobTasks = 10;

/** A pool with idle slots and no tasks. */
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

/** The admission controller of one of two entries, with a clock that the test advances. */
function openController() {
  let now = 0;
  const controller = new AdmissionController(
    'e1',
    {now: () => now},
    configuration,
  );
  controller.setEntries(['e1', 'e2']);
  const admit = (name: string) => {
    const submission = buildSubmission(name, jobTasks);
    return controller.check(submission, now + 60_000, pool) === undefined;
  };
  /** Submits jobs until one is refused and returns how many were admitted. */
  const countAdmitted = () => {
    let jobs = 0;
    while (admit(`${now}-${jobs}`)) jobs++;
    return jobs;
  };
  return {
    gate: controller,
    admit,
    countAdmitted,
    advance: (ms: number) => (now += ms),
  };
}

test('an entry has an equal share of a quota while the demand at the others is unknown', t => {
  const {countAdmitted, advance: pass} = openController();
  t.is(countAdmitted(), 5);
  pass(10_000);
  t.is(countAdmitted(), 5);
});

test('quota that a team does not use at another entry is available at this one', t => {
  const {gate, admit, countAdmitted, advance: pass} = openController();
  for (let second = 0; second < 60; second++) {
    for (let i = 0; i < 10; i++) admit(`${second}-${i}`);
    pass(1000);
  }
  gate.setPeerDemands({e2: {}});
  pass(10_000);
  t.is(countAdmitted(), 8);
});

test('an entry with less demand leaves quota to the other entry', t => {
  const {gate, admit, countAdmitted, advance: pass} = openController();
  t.true(admit('first'));
  gate.setPeerDemands({e2: {team: 500}});
  pass(10_000);
  t.is(countAdmitted(), 1);
});

test('demand is reported at intervals and omits idle teams', t => {
  const {gate, admit, advance: pass} = openController();
  t.deepEqual(gate.takeDueDemands(), {});
  t.is(gate.takeDueDemands(), undefined);
  for (let i = 0; i < 4; i++) admit(`job-${i}`);
  pass(10_000);
  t.deepEqual(gate.takeDueDemands(), {team: 1});
});
