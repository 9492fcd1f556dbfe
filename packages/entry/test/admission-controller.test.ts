import test from 'ava';
import {AdmissionController} from '../src/admission-controller.js';
import type {Pool} from '../src/pool.js';
import {buildConfiguration, buildSubmission} from './builders.js';

const tasksPerJob = 10;

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
function openController(team = 'team') {
  let now = 0;
  const configuration = buildConfiguration([
    {name: team, tasksPerSecond: 100, burstTasks: 100, weight: 1},
  ]);
  const controller = new AdmissionController(
    'e1',
    {now: () => now},
    configuration,
  );
  controller.setEntries(['e1', 'e2']);
  const admit = (name: string) => {
    const submission = buildSubmission(name, tasksPerJob, {team});
    return controller.check(submission, now + 60_000, pool) === undefined;
  };
  /** Submits jobs until one is refused and returns how many were admitted. */
  const countAdmitted = () => {
    let jobs = 0;
    while (admit(`${now}-${jobs}`)) jobs++;
    return jobs;
  };
  return {
    controller,
    admit,
    countAdmitted,
    advance: (ms: number) => (now += ms),
  };
}

test('an entry has an equal share of a quota while the demand at the others is unknown', t => {
  const {countAdmitted, advance} = openController();
  t.is(countAdmitted(), 5);
  advance(10_000);
  t.is(countAdmitted(), 5);
});

test('quota that a team does not use at another entry is available at this one', t => {
  const {controller, admit, countAdmitted, advance} = openController();
  for (let second = 0; second < 60; second++) {
    for (let i = 0; i < 10; i++) admit(`${second}-${i}`);
    advance(1000);
  }
  controller.setPeerDemands({e2: {}});
  advance(10_000);
  t.is(countAdmitted(), 8);
});

test('an entry with less demand leaves quota to the other entry', t => {
  const {controller, admit, countAdmitted, advance} = openController();
  t.true(admit('first'));
  controller.setPeerDemands({e2: {team: 500}});
  advance(10_000);
  t.is(countAdmitted(), 1);
});

test('demand is reported at intervals and omits idle teams', t => {
  const {controller, admit, advance} = openController();
  t.deepEqual(controller.takeDueDemands(), {});
  t.is(controller.takeDueDemands(), undefined);
  for (let i = 0; i < 4; i++) admit(`job-${i}`);
  advance(10_000);
  t.deepEqual(controller.takeDueDemands(), {team: 1});
});

// Guards against a quota that is not a number: every object has a property `toString`.
test('a team named like a property of all objects has its share of the quota', t => {
  const [inherited, usual] = ['toString', 'team'].map(name => {
    const {controller, countAdmitted, advance} = openController(name);
    controller.setPeerDemands({e2: {}});
    advance(10_000);
    return countAdmitted();
  });
  t.is(inherited, usual);
});
