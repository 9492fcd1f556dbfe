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

/** Credits, two on a fast and two on a slow target. */
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
  const verdict = placement.place({waiting, deadline}, now);
  return verdict.kind === 'start' ? verdict.target : 'wait';
}

const sum = (actions: readonly PlacementAction[]) =>
  actions.reduce(
    (total, one) => total + (one.kind === 'demand' ? 0 : one.slots),
    0,
  );

test('a policy is chosen by the objective unless the service names one', t => {
  t.deepEqual(choosePolicy({kind: 'fewest-messages'}), {kind: 'credit'});
  const placement = {kind: 'random'} as const;
  const objective = {kind: 'response-time'} as const;
  t.is(resolvePolicy({objective, placement}), placement);
  t.deepEqual(resolvePolicy({objective}), {kind: 'credit'});
});

test('credits use the fastest target and hold the slow one for a longer queue', t => {
  const placement = buildUneven();
  t.deepEqual([place(placement), place(placement)], ['fast', 'fast']);
  t.is(place(placement), 'wait');
  t.is(place(placement, {waiting: 100}), 'slow');
});

test('a task held back too long starts on the slow target after all', t => {
  const placement = buildUneven();
  place(placement);
  place(placement);
  const verdict = placement.place({waiting: 1, deadline: Infinity}, 0);
  const until = verdict.kind === 'wait' ? verdict.until : NaN;
  t.true(until > 0 && until <= 500);
  t.is(place(placement, {now: until}), 'slow');
});

test('a task that only a fast target can end in time waits for it', t => {
  const placement = buildUneven();
  place(placement);
  place(placement);
  t.is(place(placement, {waiting: 100, deadline: 400}), 'wait');
  t.is(place(placement, {waiting: 100, deadline: 60}), 'slow');
});

test('nothing is held back while no faster slot is in use', t => {
  const placement = buildUneven();
  placement.apply({kind: 'target-disconnected', target: 'fast'}, 0);
  t.is(place(placement), 'slow');
});

test('waiting tasks are told to a few agents, each its part', t => {
  const targets = Array.from({length: 20}, (_, i) => `t${i}`);
  const {placement} = build({kind: 'credit'}, targets);
  const told = placement.settle(40, 0);
  t.is(told.length, 4);
  t.true(told.every(one => one.kind === 'demand' && one.waiting === 10));
  t.deepEqual(placement.settle(40, 1), []);
  t.is(placement.tellWaiting(40, 1), 2);
});

test('of the agents drawn, the fastest are told first', t => {
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
  const tellOne = (now: number) =>
    placement.settle(1, now).map(({target}) => target);
  t.deepEqual([tellOne(0), tellOne(30)], [['fast'], ['medium']]);
});

test('probes reserve d slots a task and give back what is not needed', t => {
  const targets = Array.from({length: 10}, (_, i) => `t${i}`);
  const {placement} = build({kind: 'probe', probesPerTask: 2}, targets);
  t.is(sum(placement.settle(6, 0)), 12);
  t.is(sum(placement.settle(6, 1)), 0);
  t.is(sum(placement.settle(4, 2)), 4);
  t.is(sum(placement.settle(0, 3)), 8);
});

test('a grant that crossed a withdrawal is not used', t => {
  const {placement} = build({kind: 'probe', probesPerTask: 1}, ['a']);
  placement.settle(2, 0);
  placement.settle(1, 1);
  grant(placement, 'a', 2);
  t.is(place(placement), 'a');
  t.is(place(placement), 'wait');
});

test('tasks whose reservations are not answered are probed for elsewhere', t => {
  const targets = Array.from({length: 10}, (_, i) => `t${i}`);
  const {placement} = build({kind: 'probe', probesPerTask: 2}, targets);
  placement.settle(1, 0);
  t.is(sum(placement.settle(1, 60)), 2);
});

for (const policy of policies) {
  test(`${policy.kind}: a barred target gets nothing, one on probation one task`, t => {
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

interface Seen {
  connected: boolean;
  free: number;
  inFlight: number;
  maxInFlight: number;
}

/** What a correct entry would allow, kept apart from the placement's own book. */
class Witness {
  readonly targets = new Map<string, Seen>();

  get(name: string): Seen {
    const known = this.targets.get(name) ?? {
      connected: false,
      free: 0,
      inFlight: 0,
      maxInFlight: Infinity,
    };
    this.targets.set(name, known);
    return known;
  }

  note(event: PlacementEvent): void {
    const seen = this.get(event.target);
    if (event.kind === 'target-connected') {
      Object.assign(seen, {connected: true, free: 0});
    } else if (event.kind === 'slots-granted') {
      seen.free += seen.connected ? event.slots : 0;
    } else if (event.kind === 'target-allowed') {
      seen.maxInFlight = event.maxInFlight;
    } else if (event.kind === 'task-ended') {
      seen.inFlight = Math.max(0, seen.inFlight - 1);
    } else if (event.kind !== 'slots-recalled') {
      Object.assign(seen, {connected: false, free: 0});
    }
    const isForgotten = !seen.connected && seen.inFlight === 0;
    if (isForgotten) seen.maxInFlight = Infinity;
  }

  release(actions: readonly PlacementAction[]): void {
    for (const action of actions) {
      if (action.kind !== 'release') continue;
      const seen = this.get(action.target);
      seen.free = Math.max(0, seen.free - action.slots);
    }
  }
}

for (const policy of policies) {
  test(`${policy.kind}: tasks start only where they may, whatever happens`, t => {
    const all = fc.array(stepArbitrary, {maxLength: 100});
    fc.assert(
      fc.property(all, steps => {
        const {placement} = build(policy, []);
        const witness = new Witness();
        steps.forEach((step, now) => {
          if (step.kind === 'settle') {
            witness.release(placement.settle(step.waiting, now));
          } else if (step.kind === 'place') {
            const verdict = placement.place({...step, deadline: Infinity}, now);
            if (verdict.kind === 'wait') return;
            const seen = witness.get(verdict.target);
            t.true(seen.connected && seen.inFlight < seen.maxInFlight);
            t.is(verdict.granted, policy.kind !== 'random');
            if (verdict.granted) t.true(seen.free-- > 0);
            seen.inFlight++;
          } else {
            const actions = placement.apply(step, now);
            witness.note(step);
            witness.release(actions);
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
  speeds: [1, 1, 1, 1.5, 2, 2, 3, 4, 6, 10],
  slotsPerAgent: 8,
  load: 0.6,
  jobs: 400,
  maxTasksPerJob: 16,
  oneWayMs: 0.5,
  seed,
};

test('every job ends under each policy; credits are fastest, with fewer messages than probes', t => {
  const [random, probe, credit] = policies.map(policy =>
    new SlotModel({...setup, policy}).run(),
  );
  for (const score of [random, probe, credit]) t.is(score!.completed, 400);
  t.true(credit!.meanRatio < probe!.meanRatio);
  t.true(credit!.meanRatio < random!.meanRatio);
  t.true(credit!.messagesPerJob < probe!.messagesPerJob);
});
