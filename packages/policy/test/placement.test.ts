import test from 'ava';
import fc from 'fast-check';
import type {PlacementPolicy} from '#model';
import {
  choosePolicy,
  createPlacement,
  createRandom,
  type Placement,
  type PlacementAction,
  type PlacementEvent,
  resolvePolicy,
  RunTimes,
} from '#policy';
import type {ModelSetup} from './model-entry.js';
import {SlotModel} from './slot-model.js';

const seed = 31;
const service = 's';
const slots = 8;
const policies: readonly PlacementPolicy[] = [
  {kind: 'random'},
  {kind: 'probe', probesPerTask: 2},
  {kind: 'credit'},
];

function build(policy: PlacementPolicy, targets: readonly string[]) {
  const runTimes = new RunTimes();
  const random = createRandom(seed);
  const objective = {kind: 'response-time'} as const;
  const placement = createPlacement(policy, {
    service,
    objective,
    runTimes,
    random,
  });
  for (const target of targets) {
    placement.apply({kind: 'target-connected', target, slots}, 0);
  }
  return {placement, runTimes};
}

/** A credit placement with two granted slots on a fast and two on a slow target. */
function buildUneven() {
  const {placement, runTimes} = build({kind: 'credit'}, []);
  for (let i = 0; i < 50; i++) {
    runTimes.observe(service, 'fast', 50, undefined, 0);
    runTimes.observe(service, 'slow', 500, undefined, 0);
  }
  for (const target of ['slow', 'fast']) {
    placement.apply({kind: 'target-connected', target, slots}, 0);
    grant(placement, target, 2);
  }
  return placement;
}

function grant(placement: Placement, target: string, count: number): void {
  placement.apply({kind: 'slots-granted', target, slots: count}, 0);
}

function place(
  placement: Placement,
  {waiting = 1, deadline = Infinity, now = 0} = {},
): string {
  const decision = placement.place({waiting, deadline}, now);
  return decision.kind === 'start' ? decision.target : 'wait';
}

const sumSlots = (actions: readonly PlacementAction[]) =>
  actions.reduce(
    (total, one) => total + (one.kind === 'demand' ? 0 : one.slots),
    0,
  );

test('the objective determines the policy unless the service specifies one', t => {
  t.deepEqual(choosePolicy({kind: 'fewest-messages'}), {kind: 'credit'});
  const placement = {kind: 'random'} as const;
  const objective = {kind: 'response-time'} as const;
  t.is(resolvePolicy({objective, placement}), placement);
  t.deepEqual(resolvePolicy({objective}), {kind: 'credit'});
});

test('credit placement prefers the fastest target and uses a slow one under a longer backlog', t => {
  const placement = buildUneven();
  t.deepEqual([place(placement), place(placement)], ['fast', 'fast']);
  t.is(place(placement), 'wait');
  t.is(place(placement, {waiting: 100}), 'slow');
});

test('a task deferred for too long starts on the slow target', t => {
  const placement = buildUneven();
  place(placement);
  place(placement);
  const decision = placement.place({waiting: 1, deadline: Infinity}, 0);
  const until = decision.kind === 'wait' ? decision.until : NaN;
  t.true(until > 0 && until <= 500);
  t.is(place(placement, {now: until}), 'slow');
});

test('a task that only a fast target can complete before its deadline waits for it', t => {
  const placement = buildUneven();
  place(placement);
  place(placement);
  t.is(place(placement, {waiting: 100, deadline: 400}), 'wait');
  t.is(place(placement, {waiting: 100, deadline: 60}), 'slow');
});

test('no task is deferred while no faster slot is in use', t => {
  const placement = buildUneven();
  placement.apply({kind: 'target-disconnected', target: 'fast'}, 0);
  t.is(place(placement), 'slow');
});

test('demand messages go to a few agents, each with its share of the waiting tasks', t => {
  const targets = Array.from({length: 20}, (_, i) => `t${i}`);
  const {placement} = build({kind: 'credit'}, targets);
  const actions = placement.settle(40, 0);
  t.is(actions.length, 4);
  t.true(actions.every(one => one.kind === 'demand' && one.waiting === 10));
  t.deepEqual(placement.settle(40, 1), []);
  t.is(placement.reportWaiting(40, 1), 2);
});

test('demand messages go to the fastest of the drawn agents first', t => {
  const {placement, runTimes} = build({kind: 'credit'}, []);
  const runMs = new Map([
    ['slow', 500],
    ['fast', 50],
    ['medium', 200],
  ]);
  for (const [target, ms] of runMs) {
    for (let i = 0; i < 50; i++) {
      runTimes.observe(service, target, ms, undefined, 0);
    }
  }
  for (const target of runMs.keys()) {
    placement.apply({kind: 'target-connected', target, slots}, 0);
  }
  const settleOne = (now: number) =>
    placement.settle(1, now).map(({target}) => target);
  t.deepEqual([settleOne(0), settleOne(30)], [['fast'], ['medium']]);
});

test('probe placement reserves d slots per task and releases those not needed', t => {
  const targets = Array.from({length: 10}, (_, i) => `t${i}`);
  const {placement} = build({kind: 'probe', probesPerTask: 2}, targets);
  t.is(sumSlots(placement.settle(6, 0)), 12);
  t.is(sumSlots(placement.settle(6, 1)), 0);
  t.is(sumSlots(placement.settle(4, 2)), 4);
  t.is(sumSlots(placement.settle(0, 3)), 8);
});

test('a grant sent before a withdrawal was received is not used', t => {
  const {placement} = build({kind: 'probe', probesPerTask: 1}, ['a']);
  placement.settle(2, 0);
  placement.settle(1, 1);
  grant(placement, 'a', 2);
  t.is(place(placement), 'a');
  t.is(place(placement), 'wait');
});

test('unanswered reservations cause further probes', t => {
  const targets = Array.from({length: 10}, (_, i) => `t${i}`);
  const {placement} = build({kind: 'probe', probesPerTask: 2}, targets);
  placement.settle(1, 0);
  t.is(sumSlots(placement.settle(1, 60)), 2);
});

for (const policy of policies) {
  test(`${policy.kind}: an excluded target receives no task, one on probation a single task`, t => {
    const {placement} = build(policy, ['a']);
    placement.apply({kind: 'target-allowed', target: 'a', maxInFlight: 1}, 0);
    placement.settle(4, 0);
    grant(placement, 'a', 4);
    t.is(place(placement), 'a');
    t.is(place(placement), 'wait');
    placement.apply({kind: 'target-allowed', target: 'a', maxInFlight: 0}, 0);
    placement.apply({kind: 'task-ended', target: 'a'}, 0);
    t.is(place(placement), 'wait');
  });
}

type Step =
  | PlacementEvent
  | {kind: 'place'; waiting: number}
  | {kind: 'settle'; waiting: number};
const target = fc.constantFrom('a', 'b', 'c');
const count = fc.nat(6);
const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  fc.record({
    kind: fc.constant('target-connected' as const),
    target,
    slots: fc.constant(slots),
  }),
  fc.record({kind: fc.constant('target-disconnected' as const), target}),
  fc.record({kind: fc.constant('target-gone' as const), target}),
  fc.record({
    kind: fc.constant('target-allowed' as const),
    target,
    maxInFlight: fc.constantFrom(0, 1, Infinity),
  }),
  fc.record({
    kind: fc.constant('slots-granted' as const),
    target,
    slots: count,
  }),
  fc.record({
    kind: fc.constant('slots-recalled' as const),
    target,
    slots: count,
  }),
  fc.record({kind: fc.constant('task-ended' as const), target}),
  fc.record({
    kind: fc.constant('place' as const),
    waiting: fc.integer({min: 1, max: 9}),
  }),
  fc.record({kind: fc.constant('settle' as const), waiting: fc.nat(9)}),
);

interface ExpectedTarget {
  connected: boolean;
  free: number;
  inFlight: number;
  maxInFlight: number;
}

/** Tracks independently of the placement which starts are allowed at each target. */
class ReferenceModel {
  readonly targets = new Map<string, ExpectedTarget>();

  get(name: string): ExpectedTarget {
    const known = this.targets.get(name) ?? {
      connected: false,
      free: 0,
      inFlight: 0,
      maxInFlight: Infinity,
    };
    this.targets.set(name, known);
    return known;
  }

  apply(event: PlacementEvent): void {
    const expected = this.get(event.target);
    if (event.kind === 'target-connected') {
      Object.assign(expected, {connected: true, free: 0});
    } else if (event.kind === 'slots-granted') {
      expected.free += expected.connected ? event.slots : 0;
    } else if (event.kind === 'target-allowed') {
      expected.maxInFlight = event.maxInFlight;
    } else if (event.kind === 'task-ended') {
      expected.inFlight = Math.max(0, expected.inFlight - 1);
    } else if (event.kind !== 'slots-recalled') {
      Object.assign(expected, {connected: false, free: 0});
    }
    const isForgotten = !expected.connected && expected.inFlight === 0;
    if (isForgotten) expected.maxInFlight = Infinity;
  }

  release(actions: readonly PlacementAction[]): void {
    for (const action of actions) {
      if (action.kind !== 'release') continue;
      const expected = this.get(action.target);
      expected.free = Math.max(0, expected.free - action.slots);
    }
  }
}

for (const policy of policies) {
  test(`${policy.kind}: tasks start only where allowed, under any sequence of events`, t => {
    const all = fc.array(stepArbitrary, {maxLength: 100});
    fc.assert(
      fc.property(all, steps => {
        const {placement} = build(policy, []);
        const reference = new ReferenceModel();
        steps.forEach((step, now) => {
          if (step.kind === 'settle') {
            reference.release(placement.settle(step.waiting, now));
          } else if (step.kind === 'place') {
            const decision = placement.place(
              {...step, deadline: Infinity},
              now,
            );
            if (decision.kind === 'wait') return;
            const expected = reference.get(decision.target);
            t.true(
              expected.connected && expected.inFlight < expected.maxInFlight,
            );
            t.is(decision.granted, policy.kind !== 'random');
            if (decision.granted) t.true(expected.free-- > 0);
            expected.inFlight++;
          } else {
            const actions = placement.apply(step, now);
            reference.apply(step);
            reference.release(actions);
          }
        });
      }),
      {seed, numRuns: 200},
    );
  });
}

const setup: Omit<ModelSetup, 'policy'> = {
  objective: {kind: 'response-time'},
  entries: 4,
  runTimeFactors: [1, 1, 1, 1.5, 2, 2, 3, 4, 6, 10],
  slotsPerAgent: 8,
  load: 0.6,
  jobs: 400,
  maxTasksPerJob: 16,
  oneWayMs: 0.5,
  seed,
};

test('every job completes under each policy; credit placement is fastest and sends fewer messages than probes', t => {
  const [random, probe, credit] = policies.map(policy =>
    new SlotModel({...setup, policy}).run(),
  );
  for (const score of [random, probe, credit]) t.is(score!.completed, 400);
  t.true(credit!.meanRatio < probe!.meanRatio);
  t.true(credit!.meanRatio < random!.meanRatio);
  t.true(credit!.messagesPerJob < probe!.messagesPerJob);
});
