import test from 'ava';
import {
  type AdmissionState,
  computeDrainRate,
  createBucket,
  createDrainRate,
  decideAdmission,
  type RunEstimate,
  type ServiceLoad,
  updateDrainRate,
} from '#policy';
import {SlotModel} from './slot-model.js';

const now = 1000;
const idle: ServiceLoad = {
  waiting: 0,
  teamWaiting: 0,
  teamShare: 0.5,
  freeSlots: 10,
  startsPerSecond: 0,
};
const runs: RunEstimate = {
  lowMs: 50,
  medianMs: 100,
  highMs: 300,
  observations: 100,
};
const largeBucket = createBucket({tasksPerSecond: 1000, burstTasks: 1000}, now);
const base: AdmissionState = {
  service: {
    name: 's',
    objective: {kind: 'response-time'},
    demand: {cores: 4, memoryMb: 100, accelerators: 1},
    maxTaskMs: 1000,
    maxPlacements: 3,
  },
  team: {name: 'a', tasksPerSecond: 1000, burstTasks: 1000, weight: 1},
  limits: {
    maxTasksPerJob: 100,
    maxBodyBytes: 1000,
    maxDeadlineMs: 60_000,
    retentionMs: 1,
    unrepeatableRetentionMs: 1,
    maxQueuedTasks: 100,
  },
  capacities: [{kind: 'executor', slots: 8, maxConnections: 60}],
  bucket: largeBucket,
  load: idle,
  runs,
};

function decide(
  changes: Partial<AdmissionState> = {},
  tasks = 1,
  remainingMs = 5000,
) {
  const submission = {
    job: 'j',
    team: 'a',
    service: 's',
    digest: '',
    unrepeatable: false,
    tasks: Array.from({length: tasks}, () => ({payload: null})),
  };
  const state = {...base, ...changes};
  return decideAdmission(state, submission, now + remainingMs, now);
}

const decideReason = (...args: Parameters<typeof decide>) => {
  const decision = decide(...args);
  return decision.kind === 'admit' ? 'admit' : decision.reason;
};
const worker = (cores: number, accelerators: number) => ({
  kind: 'worker' as const,
  cores,
  memoryMb: 1000,
  accelerators,
});

test('a job that can run at once is admitted and spends tokens for its tasks', t => {
  const decision = decide({}, 10);
  t.is(decision.kind === 'admit' && decision.bucket.tokens, 990);
});

test('jobs that can never run are refused without a retry delay', t => {
  t.is(decideReason({service: undefined}), 'unknown-service');
  t.is(decideReason({team: undefined}), 'unknown-team');
  t.is(decideReason({}, 0), 'bad-request');
  t.is(decideReason({}, 101), 'too-many-tasks');
  const capacities = [worker(2, 4), worker(64, 0)];
  const decision = decide({capacities});
  t.like(decision, {reason: 'can-never-run', retryAfterMs: 0});
  t.is(decideReason({capacities: [...capacities, worker(4, 1)]}), 'admit');
});

test('without targets a job is refused with a retry delay', t => {
  const decision = decide({capacities: []});
  t.like(decision, {reason: 'no-targets'});
  t.true(decision.kind === 'refuse' && decision.retryAfterMs > 0);
});

test('a full queue refuses teams beyond their share, with the drain time as retry delay', t => {
  const load = {...idle, waiting: 100, startsPerSecond: 50, freeSlots: 0};
  const beyond = decide({load: {...load, teamWaiting: 45}}, 10, 60_000);
  t.like(beyond, {reason: 'overloaded', retryAfterMs: 200});
  const within = decide({load: {...load, teamWaiting: 40}}, 10, 60_000);
  t.is(within.kind, 'admit');
});

test('a job larger than the queue limit is admitted when nothing waits', t => {
  const limits = {...base.limits, maxQueuedTasks: 5};
  t.is(decideReason({limits}, 10), 'admit');
});

test('a job expected to end late is refused under a backlog; without one, only if it cannot end in time', t => {
  const busy = {
    ...idle,
    waiting: 90,
    teamWaiting: 20,
    freeSlots: 0,
    startsPerSecond: 20,
  };
  t.is(decideReason({load: busy}, 5, 2000), 'deadline-unreachable');
  t.is(decideReason({load: busy}, 5, 8000), 'admit');
  t.is(decideReason({load: idle}, 100, 60), 'admit');
  t.is(decideReason({load: idle}, 1, 40), 'deadline-unreachable');
  t.is(decideReason({}, 1, 0), 'deadline-unreachable');
});

test('a job is not refused on hints alone', t => {
  const hinted = {lowMs: 9000, medianMs: 9000, observations: 3};
  t.is(decideReason({runs: hinted}, 1, 1000), 'admit');
});

test('a job beyond the quota of its team is refused', t => {
  const bucket = createBucket({tasksPerSecond: 10, burstTasks: 5}, now);
  const first = decide({bucket}, 5);
  t.is(first.kind, 'admit');
  const spent = first.kind === 'admit' ? first.bucket : bucket;
  t.like(decide({bucket: spent}, 5), {
    reason: 'team-over-quota',
    retryAfterMs: 500,
  });
});

test('the drain rate is measured in sustained backlogs only', t => {
  let rate = createDrainRate(0);
  rate = updateDrainRate(rate, 50, 1, 100);
  t.is(computeDrainRate(updateDrainRate(rate, 5, 0, 150)), 0);
  for (let at = 200; at <= 3000; at += 100) {
    rate = updateDrainRate(rate, 10, 5, at);
  }
  t.true(Math.abs(computeDrainRate(rate) - 100) < 1);
});

/** Simulates a service whose third team submits eight times as much as each of the others. */
function runOverload(load: number) {
  return new SlotModel({
    policy: {kind: 'credit'},
    objective: {kind: 'response-time'},
    entries: 2,
    runTimeFactors: [1, 1, 1, 1.5, 2, 2, 3, 4, 6, 10],
    slotsPerAgent: 8,
    load,
    jobs: 1000 * load,
    maxTasksPerJob: 16,
    oneWayMs: 0.5,
    seed: 7,
    deadlineMs: 5000,
    teamRates: [1, 1, 8],
  }).run();
}

test('at three times the capacity, goodput stays near its peak and no team starves', t => {
  const peak = runOverload(1);
  const overload = runOverload(3);
  t.true(
    overload.goodput > 0.9 * peak.goodput,
    `${overload.goodput} of ${peak.goodput}`,
  );
  for (const team of ['0', '1']) {
    const done = overload.inTime.get(team) ?? 0;
    const refused = overload.jobRefusals.get(team) ?? 0;
    t.true(refused < 0.1 * done, `team ${team}: ${done} done, ${refused} not`);
  }
});

test('at low load nothing is refused', t => {
  t.is(runOverload(0.5).jobRefusals.size, 0);
});
